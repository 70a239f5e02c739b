#pragma once

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

/// What the sessions of one server share.
struct HttpContext {
    struct Limits {
        std::uint32_t headerBytes;
        std::uint32_t bodyBytes;
        std::chrono::seconds idle;
    };
    /// Called for every finished request, from any thread; with a refusal unless the request is done.
    using Observer
        = std::function<void(const std::string& route, const std::string& workspace, const Refusal*, Duration latency)>;

    std::shared_ptr<RequestPipeline> pipeline;
    Limits limits;
    Observer observe;
    /// Answers a GET for operators: status code and body.
    std::function<boost::asio::awaitable<std::pair<unsigned, std::string>>(std::string path)> page;
    /// True while callers are told to go elsewhere after their answer.
    std::atomic<bool> closing { false };
    std::atomic<std::uint64_t> sessions { 0 };
    std::atomic<std::uint64_t> inFlight { 0 };
};

/// One caller's connection. Answers its requests one after the other, each whole and in order. Keeps itself alive by
/// shared ownership.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(boost::asio::ip::tcp::socket, std::shared_ptr<HttpContext>);
    ~HttpSession();

    boost::asio::awaitable<void> run();

private:
    struct Stream;

    boost::asio::awaitable<bool> serveOne();

    std::unique_ptr<Stream> stream;
    std::shared_ptr<HttpContext> context;
};

} // namespace catkinlock
