#include "libsession/page_server.h"

#include "catkinlock/address.h"
#include "catkinlock/caller_limit_log.h"
#include "catkinlock/clock.h"
#include "libsession/spawn.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace catkinlock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    // A connection that was served stays open for this long without another request.
    constexpr std::chrono::seconds idleTimeout { 30 };
    // Requests for a page have small headers and no body.
    constexpr std::uint32_t maxHeaderBytes = 8 << 10;
    constexpr std::uint32_t maxBodyBytes = 1 << 10;
    constexpr std::size_t readChunkBytes = 1 << 10;
    // Delay after a failed accept, for example when the process is out of file descriptors.
    constexpr Milliseconds acceptRetryDelay { 20 };

    auto asResult() { return asio::as_tuple(asio::use_awaitable); }

} // namespace

struct PageServer::Acceptor {
    explicit Acceptor(asio::io_context& context)
        : socket(context)
    {
    }
    asio::ip::tcp::acceptor socket;
};

struct PageServer::Connection {
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<CallerCharge> charge)
        : stream(std::move(socket))
        , charge(std::move(charge))
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxHeaderBytes + maxBodyBytes };
    std::shared_ptr<CallerCharge> charge;
    bool served = false;
};

PageServer::PageServer(
    asio::io_context& context, std::string name, CallerLimits limits, std::function<Page(const std::string&)> render)
    : context(context)
    , name(std::move(name))
    , budget(std::make_shared<CallerBudget>(limits))
    , render(std::move(render))
    , acceptor(std::make_unique<Acceptor>(context))
{
}

PageServer::~PageServer() = default;

bool PageServer::start(const std::string& address)
{
    if (!listenOn(this->acceptor->socket, address))
        return false;
    spawn(this->context, [self = this->shared_from_this()] { return self->accept(); });
    return true;
}

asio::awaitable<void> PageServer::accept()
{
    auto self = this->shared_from_this();
    for (;;) {
        auto [error, accepted] = co_await this->acceptor->socket.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer pause(this->context, acceptRetryDelay);
            co_await pause.async_wait(asResult());
            continue;
        }
        auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
        co_await this->admit(socket);
    }
}

asio::awaitable<void> PageServer::admit(std::shared_ptr<asio::ip::tcp::socket> socket)
{
    auto self = this->shared_from_this();
    boost::system::error_code error;
    auto endpoint = socket->remote_endpoint(error);
    // A connection that has ended already has no address.
    if (error)
        co_return;
    std::string address = endpoint.address().to_string();
    auto charge = this->budget->admit(address);
    if (!charge) {
        reportCallerLimit(*this->budget, charge.error(), this->name, address, 0);
        this->closeOldest();
        charge = this->budget->admit(address);
    }
    if (!charge)
        co_return;
    auto connection = std::make_shared<Connection>(std::move(*socket), *charge);
    this->connections.push_back(connection);
    spawn(this->context, [self, connection] { return self->serve(connection); });
}

// Ends the oldest connection; its place is free at once.
void PageServer::closeOldest()
{
    if (this->connections.empty())
        return;
    auto oldest = this->connections.front();
    this->connections.pop_front();
    oldest->charge.reset();
    oldest->stream.close();
}

asio::awaitable<void> PageServer::serve(std::shared_ptr<Connection> connection)
{
    auto self = this->shared_from_this();
    bool open = true;
    while (open)
        open = co_await this->serveRequest(connection);
    connection->charge.reset();
    this->connections.remove(connection);
}

// False if the connection has to be closed.
asio::awaitable<bool> PageServer::serveRequest(std::shared_ptr<Connection> connection)
{
    auto& stream = connection->stream;
    Milliseconds arrivalTime = this->budget->limits().arrivalTime;
    // Between two requests there is more time than for a request to arrive.
    if (!connection->buffer.size()) {
        stream.expires_after(connection->served ? std::chrono::milliseconds(idleTimeout) : arrivalTime);
        auto [error, size] = co_await stream.async_read_some(connection->buffer.prepare(readChunkBytes), asResult());
        if (error)
            co_return false;
        connection->buffer.commit(size);
    }
    stream.expires_after(arrivalTime);
    http::request_parser<http::string_body> parser;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(maxBodyBytes);
    auto [readError, readSize] = co_await http::async_read(stream, connection->buffer, parser, asResult());
    if (readError)
        co_return false;
    const auto& request = parser.get();
    Page page = this->render(std::string(request.target()));
    http::response<http::string_body> response(http::int_to_status(page.status), request.version());
    response.set(http::field::content_type, "text/plain");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(page.body);
    response.prepare_payload();
    connection->served = true;
    stream.expires_after(this->budget->limits().replyTime);
    auto [writeError, writeSize] = co_await http::async_write(stream, response, asResult());
    co_return !writeError && response.keep_alive();
}

} // namespace catkinlock
