#include "standin/caller.h"

#include "catkinlock/address.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

namespace catkinlock::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

    std::string textOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_string() ? json::value_to<std::string>(*value) : "";
    }

    bool flagOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_bool() && value->get_bool();
    }

    CallResponse parseResponse(unsigned status, std::string body)
    {
        CallResponse response;
        response.status = status;
        response.body = std::move(body);
        json::error_code error;
        json::value value = json::parse(response.body, error);
        const json::object* object = error ? nullptr : value.if_object();
        if (!object)
            return response;
        response.outcome = textOf(*object, "outcome");
        response.code = textOf(*object, "code");
        response.session = textOf(*object, "session");
        response.fromReplica = flagOf(*object, "from_replica");
        response.repeated = flagOf(*object, "repeated");
        const json::value* results = object->if_contains("results");
        if (results && results->is_array() && !results->get_array().empty()) {
            for (const json::value& row : results->get_array().back().at("rows").as_array()) {
                const json::value& first = row.as_array()[0];
                response.values.push_back(first.is_string() ? json::value_to<std::string>(first) : "");
            }
        }
        return response;
    }

} // namespace

struct Caller::Stream {
    Stream()
        : tcp(context)
    {
    }

    // Runs one asynchronous operation until it completes, fails, or exceeds the stream's timeout. Returns true if it
    // succeeded.
    template <typename Start> bool runOperation(Start initiate)
    {
        boost::system::error_code result;
        initiate([&result](boost::system::error_code error, auto...) { result = error; });
        this->context.restart();
        this->context.run();
        return !result;
    }

    asio::io_context context;
    beast::tcp_stream tcp;
    beast::flat_buffer buffer;
};

Caller::Caller(std::string address)
    : address(std::move(address))
{
}

Caller::~Caller() = default;
Caller::Caller(Caller&&) noexcept = default;
Caller& Caller::operator=(Caller&&) noexcept = default;

CallResponse Caller::exchange(
    bool isPost, const std::string& path, const std::string& body, const Headers& headers, unsigned timeoutMs)
{
    std::chrono::milliseconds timeout(timeoutMs);
    if (!this->stream) {
        this->stream = std::make_unique<Stream>();
        this->stream->tcp.expires_after(timeout);
        auto endpoint = parseAddress(this->address);
        if (!this->stream->runOperation([&](auto handler) { this->stream->tcp.async_connect(endpoint, handler); })) {
            this->stream.reset();
            return {};
        }
        this->stream->tcp.socket().set_option(asio::ip::tcp::no_delay(true));
    }
    Stream& connection = *this->stream;
    http::request<http::string_body> request(isPost ? http::verb::post : http::verb::get, path, 11);
    request.set(http::field::host, this->address);
    for (const auto& [name, value] : headers)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::response<http::string_body> response;
    connection.tcp.expires_after(timeout);
    bool completed = connection.runOperation([&](auto handler) { http::async_write(connection.tcp, request, handler); })
        && connection.runOperation(
            [&](auto handler) { http::async_read(connection.tcp, connection.buffer, response, handler); });
    if (!completed || !response.keep_alive())
        this->stream.reset();
    return completed ? parseResponse(response.result_int(), response.body()) : CallResponse {};
}

CallResponse Caller::post(const std::string& path, const std::string& body, const Headers& headers, unsigned timeoutMs)
{
    return this->exchange(true, path, body, headers, timeoutMs);
}

CallResponse Caller::get(const std::string& path) { return this->exchange(false, path, "", {}, 5000); }

CallResponse Caller::run(const std::string& route, const std::string& sql, const std::vector<std::string>& parameters,
    const CallOptions& options)
{
    return this->post("/v1/" + route + "/transaction", transactionBody(sql, parameters, options.shard),
        requestHeaders(options), options.timeoutMs + 2000);
}

CallResponse Caller::settle(const std::string& route, const CallOptions& options)
{
    json::object body;
    if (!options.shard.empty())
        body["shard"] = options.shard;
    return this->post(
        "/v1/" + route + "/settle", json::serialize(body), requestHeaders(options), options.timeoutMs + 2000);
}

std::string transactionBody(
    const std::string& sql, const std::vector<std::string>& parameters, const std::string& shard)
{
    json::array values(parameters.begin(), parameters.end());
    json::object body { { "statements", json::array { json::object { { "sql", sql }, { "parameters", values } } } } };
    if (!shard.empty())
        body["shard"] = shard;
    return json::serialize(body);
}

Headers requestHeaders(const CallOptions& options)
{
    Headers headers { { "Content-Type", "application/json" },
        { "Catkinlock-Timeout-Ms", std::to_string(options.timeoutMs) } };
    if (!options.key.empty())
        headers.emplace_back("Authorization", "Bearer " + options.key);
    if (!options.session.empty())
        headers.emplace_back("Catkinlock-Session", options.session);
    if (!options.idempotencyKey.empty())
        headers.emplace_back("Idempotency-Key", options.idempotencyKey);
    return headers;
}

} // namespace catkinlock::standin
