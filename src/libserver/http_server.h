#pragma once

#include "libserver/http_session.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace catkinlock {

/// Accepts callers' connections and runs an HTTP session on each.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    HttpServer(boost::asio::io_context&, std::shared_ptr<HttpContext>);
    ~HttpServer();

    /// Listens on "ip:port" and returns the address with the port that was bound, which the kernel chooses if the given
    /// port is 0. Returns an empty string if the address can't be bound.
    std::string listen(const std::string& address);
    /// Starts to accept connections. Called once, after `listen`.
    void start();
    /// Stops accepting connections; existing ones stay open. May be called from any thread.
    void stopAccepting();

private:
    struct Acceptor;
    boost::asio::awaitable<void> accept();
    // Null, after a refusal, if a limit is reached.
    std::shared_ptr<CallerCharge> admit(boost::asio::ip::tcp::socket&);

    boost::asio::io_context& context;
    std::shared_ptr<HttpContext> httpContext;
    std::unique_ptr<Acceptor> acceptor;
};

} // namespace catkinlock
