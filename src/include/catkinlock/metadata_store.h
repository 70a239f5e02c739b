#pragma once

#include "catkinlock/clock.h"
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// A key of the metadata store with its value and the revision that last modified it.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    /// True if that revision deleted the key.
    bool deleted = false;

    bool operator==(const KeyValue&) const = default;
};

/// The result of reading all keys under a prefix.
struct KeyRange {
    /// `values` include every change up to this revision, and possibly some later ones.
    std::int64_t revision = 0;
    std::vector<KeyValue> values;
};

/// Changes under a prefix, in the order of their revisions.
struct KeyChanges {
    /// `changes` include every change up to this revision.
    std::int64_t revision = 0;
    std::vector<KeyValue> changes;
    /// True if the store has discarded (compacted) changes that were requested, or was restored from an older copy; the
    /// other members are then not set, and the caller has to read the range again.
    bool historyLost = false;
};

/// The reason why a call failed.
struct PlatformError {
    /// True if a write may have taken effect although no response arrived.
    bool mayHaveRun = false;
    std::string message;
};

/// The result of a compare-and-swap.
struct SwapResult {
    /// False if the key did not have the expected revision; nothing was written then.
    bool swapped = false;
    /// The key's new revision if the swap succeeded; not meaningful otherwise.
    std::int64_t revision = 0;
};

template <typename T> using PlatformResult = tl::expected<T, PlatformError>;

/// The platform's metadata store: linearizable reads, compare-and-swap, leases. Call it from one thread only.
///
/// Revisions and lease ids are sequence numbers (`StoreRevision::sequence`). If the store is restored from an older
/// copy of itself, later ones are still greater than all earlier ones, and what was conditional on an earlier one
/// fails: a swap is not done, or its outcome is unknown; a lease has ended, and is neither renewed nor ended.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    /// Reads all keys that start with `prefix`.
    virtual boost::asio::awaitable<PlatformResult<KeyRange>> readPrefix(std::string prefix) = 0;
    /// Reads one key; std::nullopt if it does not exist.
    virtual boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> read(std::string key) = 0;
    /// Compare-and-swap: writes `value`, or deletes the key if `value` is std::nullopt, provided that the key's
    /// revision is `expected` (0: the key must not exist). The key is attached to `lease`; 0 attaches it to none.
    virtual boost::asio::awaitable<PlatformResult<SwapResult>> swap(
        std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease)
        = 0;
    /// Creates a lease of `seconds` and returns its id.
    virtual boost::asio::awaitable<PlatformResult<std::int64_t>> grantLease(std::uint32_t seconds) = 0;
    /// Renews a lease. Returns false if the lease had already expired.
    virtual boost::asio::awaitable<PlatformResult<bool>> keepLeaseAlive(std::int64_t lease) = 0;
    /// Ends a lease and deletes the keys attached to it. If the lease no longer exists, returns false or an error,
    /// depending on the store.
    virtual boost::asio::awaitable<PlatformResult<bool>> revokeLease(std::int64_t lease) = 0;
    /// Number of calls made so far. A watch counts once, however long it waits.
    virtual std::uint64_t calls() const = 0;
};

/// A metadata store whose changes are read by long polling, one response per call.
class PolledStore : public MetadataStore {
public:
    /// Returns as soon as there is a change after `revision` under `prefix`, or with an empty list after `wait`.
    virtual boost::asio::awaitable<PlatformResult<KeyChanges>> changesAfter(
        std::string prefix, std::int64_t revision, Milliseconds wait)
        = 0;
    /// Lets the next calls use new connections.
    virtual void closeIdleConnections() = 0;
};

} // namespace catkinlock
