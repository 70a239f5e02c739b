#pragma once

#include "catkinlock/caller_budget.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace catkinlock {

/// An HTTP status and a plain-text body.
struct Page {
    unsigned status = 200;
    std::string body;
};

/// Serves small plain-text pages over HTTP/1.1 on one address. A new connection over the limit of connections takes the
/// place of the oldest one, so that connections without requests don't keep a load balancer from its page.
class PageServer : public std::enable_shared_from_this<PageServer> {
public:
    /// `render` returns the page for a request of any method. `path` is the request target, with its query string.
    /// `render` is called on the thread that runs the context.
    /// `name` stands for the address in the log. `limits`: those of `derivePageLimits`.
    PageServer(boost::asio::io_context&, std::string name, CallerLimits limits,
        std::function<Page(const std::string& path)> render);
    ~PageServer();

    /// Starts to listen. Returns false if the address can't be bound.
    bool start(const std::string& address);

private:
    struct Acceptor;
    struct Connection;
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> admit(std::shared_ptr<boost::asio::ip::tcp::socket>);
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>);
    boost::asio::awaitable<bool> serveRequest(std::shared_ptr<Connection>);
    void closeOldest();

    boost::asio::io_context& context;
    std::string name;
    std::shared_ptr<CallerBudget> budget;
    std::function<Page(const std::string&)> render;
    std::unique_ptr<Acceptor> acceptor;
    // Open connections, the oldest first.
    std::list<std::shared_ptr<Connection>> connections;
};

} // namespace catkinlock
