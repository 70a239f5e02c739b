#include "libserver/http_server.h"

#include "catkinlock/address.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Delay after a failed accept, for example when the process has run out of file descriptors.
    constexpr Milliseconds acceptRetryDelay { 20 };

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
        auto session = std::make_shared<HttpSession>(std::move(socket), this->httpContext);
        asio::co_spawn(
            strand, [session] { return session->run(); }, asio::detached);
    }
}

} // namespace catkinlock
