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

/// A client of the platform's metadata store, an etcd-compatible service, through etcd's v3 JSON interface over
/// HTTP/1.1. Used from one thread, which runs the given context.
class PlatformClient : public MetadataStore, public std::enable_shared_from_this<PlatformClient> {
public:
    /// `address` is "ip:port". `timeout` bounds connecting, and again sending a request and reading the response. For a
    /// watch, it bounds everything up to the response header together.
    PlatformClient(boost::asio::io_context&, std::string address, Milliseconds timeout);
    ~PlatformClient() override;

    /// Reads all keys that start with `prefix`.
    boost::asio::awaitable<PlatformResult<KeyRange>> readPrefix(std::string prefix) override;
    /// Reads one key. Returns std::nullopt if it does not exist.
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> read(std::string key) override;
    /// Writes `value`, or deletes the key if `value` is std::nullopt, provided that the key's revision is still
    /// `expected` (0: the key must not exist) and that every key of `required` exists. The key is attached to `lease`,
    /// unless this is 0. If `markerKey` is not empty, an empty value is written to that key in the same transaction,
    /// which raises its revision.
    boost::asio::awaitable<PlatformResult<SwapResult>> compareAndSwap(std::string key, std::int64_t expected,
        std::optional<std::string> value, std::int64_t lease = 0, std::vector<std::string> required = {},
        std::string markerKey = {});
    /// Compare-and-swap of the base class: `compareAndSwap` without required keys and without a marker key.
    boost::asio::awaitable<PlatformResult<SwapResult>> swap(
        std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease) override;
    /// Grants a lease and returns its id.
    boost::asio::awaitable<PlatformResult<std::int64_t>> grantLease(std::uint32_t seconds) override;
    /// Renews a lease. Returns false if the lease had already expired.
    boost::asio::awaitable<PlatformResult<bool>> keepLeaseAlive(std::int64_t lease) override;
    /// Ends a lease, which deletes the keys attached to it. The value is always true; a failed call returns an
    /// error.
    boost::asio::awaitable<PlatformResult<bool>> revokeLease(std::int64_t lease) override;

    /// Watches the keys that start with `prefix`, from `fromRevision` on, and calls `onResponse(revision, changes)` for
    /// each response; one without changes confirms the watch or reports progress up to `revision`. Returns the reason
    /// when the watch fails, is cancelled or ended by the service, or receives nothing for `idleTimeout`.
    boost::asio::awaitable<PlatformError> watch(std::string prefix, std::int64_t fromRevision, Milliseconds idleTimeout,
        std::function<void(std::int64_t, const std::vector<KeyValue>&)> onResponse);

    /// Number of calls so far, including failed ones; a watch counts as one.
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
