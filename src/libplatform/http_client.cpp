#include "libplatform/http_client.h"

#include "catkinlock/address.h"
#include "libplatform/socket_options.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace catkinlock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr std::size_t maxIdleConnections = 4;
    constexpr std::uint64_t maxResponseBytes = 64 << 20;

    auto asTuple() { return asio::as_tuple(asio::use_awaitable); }

    PlatformError notExecutedError(std::string message) { return { false, std::move(message) }; }
    PlatformError maybeExecutedError(std::string message) { return { true, std::move(message) }; }

    http::request<http::string_body> makeRequest(const std::string& address, HttpRequest call)
    {
        http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
        request.set(http::field::host, address);
        if (!call.body.empty())
            request.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.body() = std::move(call.body);
        request.prepare_payload();
        return request;
    }

} // namespace

std::optional<std::string> HttpResponse::header(std::string_view name) const
{
    for (const auto& [candidate, value] : this->headers) {
        if (beast::iequals(candidate, beast::string_view(name.data(), name.size())))
            return value;
    }
    return std::nullopt;
}

struct HttpClient::Connection {
    explicit Connection(asio::io_context& context)
        : stream(context)
    {
    }

    // Until `endExchange`, closing the connection resets it.
    void beginExchange(Milliseconds timeout)
    {
        setResetOnClose(this->stream.socket(), true);
        if (timeout != this->deliveryTimeout)
            limitDelivery(this->stream.socket(), timeout);
        this->deliveryTimeout = timeout;
    }

    void endExchange() { setResetOnClose(this->stream.socket(), false); }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    // Limit of `limitDelivery` on this connection.
    Milliseconds deliveryTimeout {};
};

HttpClient::HttpClient(asio::io_context& context, std::string address)
    : context(context)
    , address(std::move(address))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<PlatformResult<HttpResponse>> HttpClient::call(
    HttpRequest call, Milliseconds timeout, SendGuard maySend)
{
    auto self = this->shared_from_this();
    TimePoint connectBy = Clock::now() + timeout;
    ++this->callCount;
    std::shared_ptr<Connection> connection;
    if (!this->idle.empty()) {
        connection = this->idle.back();
        this->idle.pop_back();
    }
    if (!connection) {
        connection = std::make_shared<Connection>(this->context);
        connection->stream.expires_after(timeout);
        auto [error] = co_await connection->stream.async_connect(parseAddress(this->address), asTuple());
        if (error)
            co_return tl::unexpected(notExecutedError("cannot reach the platform's service: " + error.message()));
        // A process that stood still may find the connection open after the timer should have fired.
        if (Clock::now() >= connectBy)
            co_return tl::unexpected(notExecutedError("connecting to the platform's service took too long"));
        boost::system::error_code ignored;
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    connection->beginExchange(timeout);
    connection->stream.expires_after(timeout);
    auto request = makeRequest(this->address, std::move(call));
    if (maySend && !maySend()) {
        connection->endExchange();
        co_return tl::unexpected(notExecutedError("the caller of the platform's service may no longer act"));
    }
    auto [writeError, written] = co_await http::async_write(connection->stream, request, asTuple());
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    boost::system::error_code error = writeError;
    if (!error) {
        auto [readError, size] = co_await http::async_read(connection->stream, connection->buffer, parser, asTuple());
        error = readError;
    }
    if (error) {
        // What silenced this connection may have silenced the idle ones too.
        this->closeIdleConnections();
        co_return tl::unexpected(maybeExecutedError("the platform's service did not respond: " + error.message()));
    }
    connection->endExchange();
    auto message = parser.release();
    if (message.keep_alive() && this->idle.size() < maxIdleConnections)
        this->idle.push_back(connection);
    HttpResponse response;
    response.status = message.result_int();
    for (const auto& field : message)
        response.headers.emplace_back(field.name_string(), field.value());
    response.body = std::move(message.body());
    co_return response;
}

} // namespace catkinlock
