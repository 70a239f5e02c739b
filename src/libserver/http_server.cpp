#include "libserver/http_server.h"

#include "catkinlock/address.h"
#include "catkinlock/caller_limit_log.h"
#include <array>
#include <boost/asio.hpp>
#include <string_view>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Delay after a failed accept, for example when the process has run out of file descriptors.
    constexpr Milliseconds acceptRetryDelay { 20 };
    // Sent to a connection over the limits.
    constexpr std::string_view refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                                             "Content-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

struct HttpServer::Acceptor {
    explicit Acceptor(asio::io_context& context)
        : socket(asio::make_strand(context))
    {
    }
    asio::ip::tcp::acceptor socket;
};

HttpServer::HttpServer(asio::io_context& context, std::shared_ptr<HttpContext> httpContext)
    : context(context)
    , httpContext(std::move(httpContext))
    , acceptor(std::make_unique<Acceptor>(context))
{
}

HttpServer::~HttpServer() = default;

std::string HttpServer::listen(const std::string& address)
{
    auto& socket = this->acceptor->socket;
    return listenOn(socket, address) ? formatAddress(socket.local_endpoint()) : "";
}

void HttpServer::start()
{
    asio::co_spawn(
        this->acceptor->socket.get_executor(), [self = this->shared_from_this()] { return self->accept(); },
        asio::detached);
}

void HttpServer::stopAccepting()
{
    asio::post(this->acceptor->socket.get_executor(), [self = this->shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor->socket.close(ignored);
    });
}

// What a refused caller has sent is read before the close, which would otherwise reset the connection and could lose
// the refusal.
std::shared_ptr<CallerCharge> HttpServer::admit(asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    auto endpoint = socket.remote_endpoint(error);
    // A connection that has ended already has no address.
    if (error)
        return nullptr;
    std::string address = endpoint.address().to_string();
    auto charge = this->httpContext->budget->admit(address);
    if (charge)
        return *charge;
    reportCallerLimit(*this->httpContext->budget, charge.error(), "http", address, 0);
    socket.non_blocking(true, error);
    socket.write_some(asio::buffer(refusalText), error);
    std::array<char, 4096> discarded {};
    socket.read_some(asio::buffer(discarded), error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    return nullptr;
}

asio::awaitable<void> HttpServer::accept()
{
    auto self = this->shared_from_this();
    while (this->acceptor->socket.is_open()) {
        // Each session has a strand of its own, so that its timer and its stream don't race.
        auto strand = asio::make_strand(this->context);
        auto [error, socket]
            = co_await this->acceptor->socket.async_accept(strand, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer retryTimer(this->acceptor->socket.get_executor(), acceptRetryDelay);
            co_await retryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        asio::ip::tcp::socket accepted(std::move(socket));
        auto charge = this->admit(accepted);
        if (!charge)
            continue;
        auto session = std::make_shared<HttpSession>(std::move(accepted), this->httpContext, charge);
        asio::co_spawn(
            strand, [session] { return session->run(); }, asio::detached);
    }
}

} // namespace catkinlock
