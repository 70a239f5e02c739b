#pragma once

#include "catkinlock/caller_budget.h"
#include "catkinlock/caller_request.h"
#include "libserver/request_pipeline.h"
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace catkinlock {

/// State that all sessions of one server share.
struct HttpContext {
    struct Limits {
        /// Maximum size of a request's header.
        std::uint32_t headerBytes;
        /// Maximum size of a request's body.
        std::uint32_t bodyBytes;
        /// Time limit for reading a request, including the wait for it, and for writing a response.
        std::chrono::seconds idleTimeout;
    };
    /// Called on any thread for every finished request except GET requests and requests that could not be read as HTTP.
    /// `route` and `workspace` are empty if they could not be determined; the refusal is null if the request succeeded.
    using Observer
        = std::function<void(const std::string& route, const std::string& workspace, const Refusal*, Duration latency)>;

    std::shared_ptr<RequestPipeline> pipeline;
    /// The callers' connections are charged to it.
    std::shared_ptr<CallerBudget> budget;
    Limits limits;
    Observer observe;
    /// Returns the status code and the body of an operators' page, which is requested by GET.
    std::function<boost::asio::awaitable<std::pair<unsigned, std::string>>(std::string path)> page;
    /// True while the instance drains: each connection is closed after its next response.
    std::atomic<bool> closing { false };
    /// Number of sessions that exist.
    std::atomic<std::uint64_t> openConnections { 0 };
    /// Number of requests that have been read and whose response has not been written yet.
    std::atomic<std::uint64_t> inFlight { 0 };
};

/// One caller's connection. Serves its requests one at a time and in order. Keeps itself alive through shared ownership
/// while it runs.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(boost::asio::ip::tcp::socket, std::shared_ptr<HttpContext>, std::shared_ptr<CallerCharge>);
    ~HttpSession();

    /// Serves requests until the connection is closed.
    boost::asio::awaitable<void> run();

private:
    struct Parser;
    struct Stream;

    // Reads one request. The error is that of HTTP, or `no_buffer_space` if the request met a limit.
    boost::asio::awaitable<boost::system::error_code> readRequest(std::shared_ptr<Parser>);
    bool chargeReceived(const Parser&);
    // Reads one request and writes its response. False if the connection must be closed.
    boost::asio::awaitable<bool> serveRequest();

    std::unique_ptr<Stream> stream;
    std::shared_ptr<HttpContext> context;
    std::shared_ptr<CallerCharge> charge;
};

} // namespace catkinlock
