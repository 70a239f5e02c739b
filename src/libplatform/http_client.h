#pragma once

#include "catkinlock/metadata_store.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkinlock {

/// A call to an HTTP/1.1 service with a JSON body.
struct HttpCall {
    /// "GET", "POST" or "DELETE".
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

struct HttpAnswer {
    unsigned status = 0;
    std::string body;
};

/// Calls one HTTP/1.1 service over a few kept connections. Used from one thread.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
    /// `address` is "ip:port".
    HttpClient(boost::asio::io_context&, std::string address);
    ~HttpClient();

    /// Returns the answer, whatever its status. The error says whether the service may have done what it was asked.
    boost::asio::awaitable<PlatformResult<HttpAnswer>> call(HttpCall, Milliseconds timeout);

    std::uint64_t calls() const { return this->callCount; }

private:
    struct Connection;

    boost::asio::io_context& context;
    std::string address;
    std::vector<std::shared_ptr<Connection>> idle;
    std::uint64_t callCount = 0;
};

} // namespace catkinlock
