#pragma once

#include "catkinlock/error.h"
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// One member of a replicated database group.
struct Member {
    std::string name;
    /// "ip:port".
    std::string address;
    std::string dataCentre;
    /// True if operators are removing the member. It then gets no reads as a replica.
    bool leaving = false;

    auto operator<=>(const Member&) const = default;
};

/// One database: a group of members that replicate the same log.
struct Database {
    std::string name;
    std::vector<Member> members;
    /// Maximum number of connections of the whole fleet to each member, at least 1. It is divided among the slots of
    /// the database's gateways and rounded down for each instance, so a gateway may get 0 if there are fewer
    /// connections than slots.
    std::uint32_t connections = 0;

    auto operator<=>(const Database&) const = default;
};

/// A named set of databases. The shard of a request selects one of them.
struct Pool {
    std::string name;
    std::vector<Database> databases;
    /// Number of replicas that have received a commit before it is acknowledged.
    std::uint32_t syncReplicas = 1;
    /// Requests per second that a member takes while it warms up; 0 means no bound.
    std::uint32_t coldPerS = 0;

    auto operator<=>(const Pool&) const = default;
};

/// Consistency guarantee for the reads on a route.
enum class ReadConsistency {
    /// Reads see every acknowledged write.
    Primary,
    /// Reads see every write that was acknowledged longer ago than `Route::maxAgeMs`.
    BoundedAge,
    /// As BoundedAge, and reads also see every earlier write of their own session.
    ReadYourWrites,
};

/// A named access path of callers to a pool, with the rules for its requests.
struct Route {
    std::string name;
    /// Name of the pool.
    std::string pool;
    /// True if requests run without a key, for the workspace "open". Their rate is limited only if the tables contain
    /// that workspace.
    bool open = false;
    /// True if requests only read and may therefore be served by replicas.
    bool readOnly = false;
    /// Maximum staleness of a read, in milliseconds. 0 means that only the position in the session token bounds it.
    std::uint32_t maxAgeMs = 0;
    /// True if requests are idempotent, so that they may be retried although they may have run.
    bool repeatable = false;
    /// Names of the workspaces that may use the route. Empty means all. Ignored if `open` is set.
    std::vector<std::string> workspaces;
    ReadConsistency consistency = ReadConsistency::Primary;
    /// Timeout of one statement, in milliseconds. 0 means the instance's default.
    std::uint32_t statementTimeoutMs = 0;
    /// Latency objective for a whole operation, in milliseconds. 0 means none.
    std::uint32_t latencyObjectiveMs = 0;
    /// Priority when waiting for a connection. 0 is the highest.
    std::uint32_t priority = 0;

    auto operator<=>(const Route&) const = default;
};

/// How long a statement of the route may wait for capacity (a token of its workspace's rate, a connection, a free place
/// at a member) before it is refused: a quarter of the latency objective, at least 50 ms.
std::chrono::milliseconds capacityWait(const Route&);

/// How long a statement of the route may wait at a gateway for a place at a member: half of the latency objective, at
/// least 50 ms. Gateways keep the queue that would otherwise form at the member, where nothing bounds the wait.
std::chrono::milliseconds placeWait(const Route&);

/// A tenant, with its rate limit over the whole fleet.
struct Workspace {
    std::string name;
    /// Sustained rate in requests per second, at least 1.
    std::uint32_t rate = 0;
    /// Maximum burst in requests, at least 1.
    std::uint32_t burst = 0;
    /// Weight in the queues for connections to the targets, at least 1.
    std::uint32_t weight = 1;

    auto operator<=>(const Workspace&) const = default;
};

/// An access key of a workspace. Only the SHA-256 of the key is stored.
struct KeyRecord {
    /// SHA-256 of the key in lower-case hexadecimal.
    std::string digest;
    std::string workspace;
    /// True if the key is no longer accepted.
    bool withdrawn = false;

    auto operator<=>(const KeyRecord&) const = default;
};

/// Operators' configuration of one instance.
struct InstanceConfig {
    std::string name;
    /// True if the instance is to drain and stop.
    bool drain = false;

    auto operator<=>(const InstanceConfig&) const = default;
};

/// Parse the documents of the operators' tables (JSON). The name or digest comes from the key of the document. Unknown
/// members are errors. The error names the document and, unless the text is not valid JSON, the first invalid member.
tl::expected<Pool, Error> parsePool(const std::string& name, const std::string& json);
tl::expected<Route, Error> parseRoute(const std::string& name, const std::string& json);
tl::expected<Workspace, Error> parseWorkspace(const std::string& name, const std::string& json);
tl::expected<KeyRecord, Error> parseKeyRecord(const std::string& digest, const std::string& json);
tl::expected<InstanceConfig, Error> parseInstanceConfig(const std::string& name, const std::string& json);

/// One document of the operators' tables, as of one revision of the platform's metadata store.
struct TableEntry {
    /// "route/NAME", "pool/NAME", "workspace/NAME", "key/DIGEST" or "instance/NAME".
    std::string key;
    std::string value;
    /// Store revision of the write or deletion.
    std::int64_t revision = 0;
    /// True for a deletion; `value` is then unused.
    bool deleted = false;

    auto operator<=>(const TableEntry&) const = default;
};

/// An immutable snapshot of the operators' tables.
struct Tables {
    /// Store revision of the snapshot. No applied entry has a higher one.
    std::int64_t revision = 0;
    /// The parsed documents, by name. Keys are stored by digest.
    std::map<std::string, Route> routes;
    std::map<std::string, Pool> pools;
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, KeyRecord> keys;
    std::map<std::string, InstanceConfig> instances;
    /// Time after which a transaction that its caller leaves idle may be ended, in milliseconds. 0 means no limit.
    std::uint32_t idleTransactionMs = 0;
    /// Latest entry of every key. Includes deletions and rejected documents, so that an older entry that arrives late
    /// can be recognized, and for transfer to peers.
    std::map<std::string, TableEntry> entries;

    bool operator==(const Tables&) const = default;
};

/// Returns the snapshot with `entries` applied, which make it complete up to `revision`. An entry that is not newer
/// than the stored one of its key is ignored, so that updates that arrive out of order never revert a change. If an
/// entry does not parse or its key names no table, the last valid document of its key stays in force and an error is
/// appended to `rejected`.
Tables applyEntries(
    const Tables&, std::int64_t revision, const std::vector<TableEntry>& entries, std::vector<Error>& rejected);

/// Validates one document by the rules of `applyEntries`.
tl::expected<void, Error> validateEntry(const TableEntry&);

/// Returns the database of a pool that serves `shard`, chosen by hash, or null if the pool is empty.
const Database* databaseForShard(const Pool&, const std::string& shard);

} // namespace catkinlock
