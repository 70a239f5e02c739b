#pragma once

#include "libserver/http_session.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace catkinlock {

/// Accepts callers and gives each its session.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    HttpServer(boost::asio::io_context&, std::shared_ptr<HttpContext>);
    ~HttpServer();

    /// Listens on "ip:port" and returns the address with the kernel's port; empty if it can't be bound.
    std::string listen(const std::string& address);
    void start();
    /// Takes no further connections; those that are there go on.
    void stopAccepting();

private:
    struct Acceptor;
    boost::asio::awaitable<void> accept();

    boost::asio::io_context& context;
    std::shared_ptr<HttpContext> shared;
    std::unique_ptr<Acceptor> acceptor;
};

} // namespace catkinlock
