#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkinlock::standin {

/// What a caller got back. No status means that there was no whole answer.
struct CallAnswer {
    unsigned status = 0;
    std::string body;
    /// "done", "not_run" or "unknown"; empty without a whole answer.
    std::string outcome;
    std::string code;
    std::string session;
    bool fromReplica = false;
    bool repeated = false;
    /// First value of each row of the last result set.
    std::vector<std::string> values;

    bool isDone() const { return this->outcome == "done"; }
};

/// What a caller sends along.
struct CallOptions {
    std::string key;
    std::string session = {};
    std::string idempotencyKey = {};
    std::string shard = {};
    unsigned timeoutMs = 5000;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A caller's keep-alive connection to one instance, with blocking calls.
class Caller {
public:
    explicit Caller(std::string address);
    ~Caller();
    Caller(Caller&&) noexcept;
    Caller& operator=(Caller&&) noexcept;

    /// One HTTP request; reconnects if the connection is gone.
    CallAnswer post(const std::string& path, const std::string& body, const Headers&, unsigned timeoutMs = 10000);
    CallAnswer get(const std::string& path);
    /// One statement as a transaction on a route.
    CallAnswer run(const std::string& route, const std::string& sql, const std::vector<std::string>& parameters,
        const CallOptions&);
    /// Settles a request by its idempotency key.
    CallAnswer settle(const std::string& route, const CallOptions&);

private:
    struct Stream;
    CallAnswer exchange(
        bool isPost, const std::string& path, const std::string& body, const Headers&, unsigned timeoutMs);

    std::string address;
    std::unique_ptr<Stream> stream;
};

/// The body of a request with one statement.
std::string statementBody(
    const std::string& sql, const std::vector<std::string>& parameters, const std::string& shard = {});
Headers callerHeaders(const CallOptions&);

} // namespace catkinlock::standin
