#pragma once

#include "catkinlock/clock.h"
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// A key of the metadata store and the revision that wrote it last.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool deleted = false;

    bool operator==(const KeyValue&) const = default;
};

/// A read of all keys under a prefix.
struct KeyRange {
    /// Every change up to this revision is in the values.
    std::int64_t revision = 0;
    std::vector<KeyValue> values;
};

/// Changes under a prefix, in order.
struct KeyChanges {
    /// Every change up to this revision is in the list.
    std::int64_t revision = 0;
    std::vector<KeyValue> changes;
    /// True if the store no longer has the changes that were asked for; read the range afresh.
    bool historyLost = false;
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
    /// The store's revision after the call; the revision of the key if it was swapped.
    std::int64_t revision = 0;
};

template <typename T> using PlatformResult = tl::expected<T, PlatformError>;

/// The platform's metadata store: linearizable reads, compare-and-swap, leases. Used from one thread.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    /// Reads all keys that start with `prefix`.
    virtual boost::asio::awaitable<PlatformResult<KeyRange>> readPrefix(std::string prefix) = 0;
    /// Reads one key; nothing if it does not exist.
    virtual boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> read(std::string key) = 0;
    /// Writes `value`, or deletes the key if there is none, if the key's revision still is `expected` (0: it must not
    /// exist). `lease` 0 means none.
    virtual boost::asio::awaitable<PlatformResult<SwapResult>> swap(
        std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease)
        = 0;
    /// Grants a lease and returns its id.
    virtual boost::asio::awaitable<PlatformResult<std::int64_t>> grantLease(std::uint32_t seconds) = 0;
    /// Renews a lease. False if it was over before.
    virtual boost::asio::awaitable<PlatformResult<bool>> keepLeaseAlive(std::int64_t lease) = 0;
    virtual boost::asio::awaitable<PlatformResult<bool>> revokeLease(std::int64_t lease) = 0;
    /// Calls so far, a waiting watch as one.
    virtual std::uint64_t calls() const = 0;
};

/// A metadata store whose changes are asked for one answer at a time.
class PolledStore : public MetadataStore {
public:
    /// Returns as soon as there is a change after `revision` under `prefix`, or without any after `wait`.
    virtual boost::asio::awaitable<PlatformResult<KeyChanges>> changesAfter(
        std::string prefix, std::int64_t revision, Milliseconds wait)
        = 0;
};

} // namespace catkinlock
