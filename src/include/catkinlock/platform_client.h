#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/error.h"
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace catkinlock {

/// A key of the platform's service and the revision that wrote it last.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool deleted = false;

    bool operator==(const KeyValue&) const = default;
};

/// A consistent read of all keys under a prefix.
struct KeyRange {
    /// The service's revision that this is a picture of.
    std::int64_t revision = 0;
    std::vector<KeyValue> values;
};

/// Why a call failed.
struct PlatformError {
    /// True if a write may have taken effect although its answer is missing.
    bool mayHaveRun = false;
    std::string message;
};

/// What a compare-and-swap came to.
struct SwapResult {
    bool swapped = false;
    /// The service's revision after the call; the revision of the key if it was swapped.
    std::int64_t revision = 0;
};

template <typename T> using PlatformResult = tl::expected<T, PlatformError>;

/// A client of the platform's key-value service: the etcd v3 JSON interface over HTTP/1.1. Used from one thread, which
/// runs the given context. Counts its calls, a waiting watch as one.
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
public:
    /// `address` is "ip:port"; `timeout` bounds each call but a watch.
    PlatformClient(boost::asio::io_context&, std::string address, Milliseconds timeout);
    ~PlatformClient();

    /// Reads all keys that start with `prefix`.
    boost::asio::awaitable<PlatformResult<KeyRange>> readPrefix(std::string prefix);
    /// Reads one key; nothing if it does not exist.
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> read(std::string key);
    /// Writes `value`, or deletes the key if there is none, if the key's revision still is `expected` (0: it must not
    /// exist) and every key of `required` exists. `lease` 0 means none. A key in `alsoWrite` gets an empty value in the
    /// same transaction.
    boost::asio::awaitable<PlatformResult<SwapResult>> compareAndSwap(std::string key, std::int64_t expected,
        std::optional<std::string> value, std::int64_t lease = 0, std::vector<std::string> required = {},
        std::string alsoWrite = {});
    /// Grants a lease and returns its id.
    boost::asio::awaitable<PlatformResult<std::int64_t>> grantLease(std::uint32_t seconds);
    /// Renews a lease. False if it was over before.
    boost::asio::awaitable<PlatformResult<bool>> keepLeaseAlive(std::int64_t lease);
    boost::asio::awaitable<PlatformResult<bool>> revokeLease(std::int64_t lease);

    /// Calls `onAnswer(revision, changes)` for every answer to a watch on `prefix`, from `fromRevision` on. Returns
    /// when the watch breaks, or when nothing came for `silence`.
    boost::asio::awaitable<PlatformError> watch(std::string prefix, std::int64_t fromRevision, Milliseconds silence,
        std::function<void(std::int64_t, const std::vector<KeyValue>&)> onAnswer);

    std::uint64_t calls() const { return this->callCount; }

private:
    struct Connection;
    boost::asio::awaitable<PlatformResult<std::string>> call(std::string path, std::string body);

    boost::asio::io_context& context;
    std::string address;
    Milliseconds timeout;
    std::vector<std::shared_ptr<Connection>> idle;
    std::uint64_t callCount = 0;
};

} // namespace catkinlock
