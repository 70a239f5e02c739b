#pragma once

#include "catkinlock/metadata_store.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace catkinlock {

/// A request to an HTTP/1.1 service.
struct HttpRequest {
    /// "GET", "POST" or "DELETE".
    std::string method;
    /// Path and query.
    std::string target;
    /// JSON text; may be empty.
    std::string body;
    /// Names and values of headers besides Host and, if there is a body, Content-Type.
    std::vector<std::pair<std::string, std::string>> headers;
};

/// A response of an HTTP/1.1 service.
struct HttpResponse {
    /// HTTP status code.
    unsigned status = 0;
    std::string body;
    /// Names and values of all headers, in the order received.
    std::vector<std::pair<std::string, std::string>> headers;

    /// The value of the first header with this name, in any case of its letters; std::nullopt if there is none.
    std::optional<std::string> header(std::string_view name) const;
};

/// Asked right before a request is written to an open connection. Nothing is written if it returns false.
using SendGuard = std::function<bool()>;

/// A client of one HTTP/1.1 service, which reuses a few idle connections. Used from one thread, which runs the given
/// context.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
    /// `address` is "ip:port".
    HttpClient(boost::asio::io_context&, std::string address);
    ~HttpClient();

    /// Sends a request and returns the response, whatever its status code. An error means that there was no response;
    /// its `mayHaveRun` tells whether the service may have executed the request. `timeout` bounds connecting, and again
    /// sending the request and reading the response. Without a response in time the connection is reset: what the
    /// service has not received by then, it does not receive later. A request is not sent, and `mayHaveRun` is false,
    /// if connecting has taken longer or `maySend` returns false.
    boost::asio::awaitable<PlatformResult<HttpResponse>> call(
        HttpRequest, Milliseconds timeout, SendGuard maySend = {});

    /// Lets the next calls use new connections.
    void closeIdleConnections() { this->idle.clear(); }
    /// Number of calls so far, including failed ones.
    std::uint64_t calls() const { return this->callCount; }

private:
    struct Connection;

    boost::asio::io_context& context;
    std::string address;
    std::vector<std::shared_ptr<Connection>> idle;
    std::uint64_t callCount = 0;
};

} // namespace catkinlock
