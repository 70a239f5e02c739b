#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkinlock::standin {

/// Response to a call. The status is 0 if no complete response was received.
struct CallResponse {
    /// HTTP status.
    unsigned status = 0;
    std::string body;
    /// "done", "not_run" or "unknown"; empty without a complete response.
    std::string outcome;
    /// Error code; empty if the response has none.
    std::string code;
    /// Session token to send with the next request.
    std::string session;
    /// True if a replica served the request.
    bool fromReplica = false;
    /// True if the outcome is that of an earlier request with the same idempotency key.
    bool repeated = false;
    /// First value of each row of the last result set; NULL and values that are not strings
    /// become "".
    std::vector<std::string> values;

    bool isDone() const { return this->outcome == "done"; }
};

/// Options of a request. Empty strings are not sent.
struct CallOptions {
    /// Key that authenticates the workspace.
    std::string key;
    /// Session token of an earlier response.
    std::string session = {};
    std::string idempotencyKey = {};
    std::string shard = {};
    /// Timeout sent to the instance; the caller itself waits 2 s longer.
    unsigned timeoutMs = 5000;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// An HTTP client with blocking calls and one keep-alive connection to an instance. Not thread-safe.
class Caller {
public:
    /// `address` is "ip:port". Connects with the first call.
    explicit Caller(std::string address);
    ~Caller();
    Caller(Caller&&) noexcept;
    Caller& operator=(Caller&&) noexcept;

    /// Sends a POST request. If the instance has closed the connection since the last call, this call returns status 0
    /// and the next one opens a new connection. `timeoutMs` applies to connecting and to the exchange separately.
    CallResponse post(const std::string& path, const std::string& body, const Headers&, unsigned timeoutMs = 10000);
    /// Sends a GET request with a timeout of 5 s.
    CallResponse get(const std::string& path);
    /// Runs one statement as a transaction on a route.
    CallResponse run(const std::string& route, const std::string& sql, const std::vector<std::string>& parameters,
        const CallOptions&);
    /// Requests the outcome of an earlier request by its idempotency key.
    CallResponse settle(const std::string& route, const CallOptions&);

private:
    struct Stream;
    CallResponse exchange(
        bool isPost, const std::string& path, const std::string& body, const Headers&, unsigned timeoutMs);

    std::string address;
    std::unique_ptr<Stream> stream;
};

/// Body of a transaction request with one statement.
std::string transactionBody(
    const std::string& sql, const std::vector<std::string>& parameters, const std::string& shard = {});
/// Headers of a transaction or settle request.
Headers requestHeaders(const CallOptions&);

} // namespace catkinlock::standin
