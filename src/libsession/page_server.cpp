#include "libsession/page_server.h"

#include "catkinlock/address.h"
#include "catkinlock/clock.h"
#include "libsession/spawn.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace catkinlock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    // A connection without a complete request or response within this time is closed.
    constexpr std::chrono::seconds idleTimeout { 30 };
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

PageServer::PageServer(asio::io_context& context, std::function<Page(const std::string&)> render)
    : context(context)
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
        spawn(this->context, [self, socket] { return self->serve(std::move(*socket)); });
    }
}

asio::awaitable<void> PageServer::serve(asio::ip::tcp::socket socket)
{
    auto self = this->shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        stream.expires_after(idleTimeout);
        http::request<http::string_body> request;
        auto [readError, readSize] = co_await http::async_read(stream, buffer, request, asResult());
        if (readError)
            co_return;
        Page page = this->render(std::string(request.target()));
        http::response<http::string_body> response(http::int_to_status(page.status), request.version());
        response.set(http::field::content_type, "text/plain");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(page.body);
        response.prepare_payload();
        auto [writeError, writeSize] = co_await http::async_write(stream, response, asResult());
        if (writeError || !response.keep_alive())
            co_return;
    }
}

} // namespace catkinlock
