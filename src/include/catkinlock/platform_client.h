#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/metadata_store.h"
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

class HttpClient;

/// A client of the platform's key-value service: the etcd v3 JSON interface over HTTP/1.1. Used from one thread, which
/// runs the given context. Counts its calls, a waiting watch as one.
class PlatformClient : public MetadataStore, public std::enable_shared_from_this<PlatformClient> {
public:
    /// `address` is "ip:port"; `timeout` bounds each call but a watch.
    PlatformClient(boost::asio::io_context&, std::string address, Milliseconds timeout);
    ~PlatformClient() override;

    /// Reads all keys that start with `prefix`.
    boost::asio::awaitable<PlatformResult<KeyRange>> readPrefix(std::string prefix) override;
    /// Reads one key; nothing if it does not exist.
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> read(std::string key) override;
    /// Writes `value`, or deletes the key if there is none, if the key's revision still is `expected` (0: it must not
    /// exist) and every key of `required` exists. `lease` 0 means none. A key in `alsoWrite` gets an empty value in the
    /// same transaction.
    boost::asio::awaitable<PlatformResult<SwapResult>> compareAndSwap(std::string key, std::int64_t expected,
        std::optional<std::string> value, std::int64_t lease = 0, std::vector<std::string> required = {},
        std::string alsoWrite = {});
    boost::asio::awaitable<PlatformResult<SwapResult>> swap(
        std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease) override;
    /// Grants a lease and returns its id.
    boost::asio::awaitable<PlatformResult<std::int64_t>> grantLease(std::uint32_t seconds) override;
    /// Renews a lease. False if it was over before.
    boost::asio::awaitable<PlatformResult<bool>> keepLeaseAlive(std::int64_t lease) override;
    boost::asio::awaitable<PlatformResult<bool>> revokeLease(std::int64_t lease) override;

    /// Calls `onAnswer(revision, changes)` for every answer to a watch on `prefix`, from `fromRevision` on. Returns
    /// when the watch breaks, or when nothing came for `silence`.
    boost::asio::awaitable<PlatformError> watch(std::string prefix, std::int64_t fromRevision, Milliseconds silence,
        std::function<void(std::int64_t, const std::vector<KeyValue>&)> onAnswer);

    std::uint64_t calls() const override;

private:
    boost::asio::awaitable<PlatformResult<std::string>> call(std::string path, std::string body);

    boost::asio::io_context& context;
    std::string address;
    Milliseconds timeout;
    std::shared_ptr<HttpClient> http;
    std::uint64_t watchCount = 0;
};

} // namespace catkinlock
