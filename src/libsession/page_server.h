#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace catkinlock {

/// An HTTP status and a plain-text body.
struct Page {
    unsigned status = 200;
    std::string body;
};

/// Serves small plain-text pages over HTTP/1.1 on one address.
class PageServer : public std::enable_shared_from_this<PageServer> {
public:
    /// `render` returns the page for a request of any method. `path` is the request target, with its query string.
    /// `render` is called on the thread that runs the context.
    PageServer(boost::asio::io_context&, std::function<Page(const std::string& path)> render);
    ~PageServer();

    /// Starts to listen. Returns false if the address can't be bound.
    bool start(const std::string& address);

private:
    struct Acceptor;
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);

    boost::asio::io_context& context;
    std::function<Page(const std::string&)> render;
    std::unique_ptr<Acceptor> acceptor;
};

} // namespace catkinlock
