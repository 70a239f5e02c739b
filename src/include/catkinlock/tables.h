#pragma once

#include "catkinlock/error.h"
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// One member of a database group.
struct Member {
    std::string name;
    /// "ip:port".
    std::string address;
    std::string dataCentre;
    /// True once operators want no new work sent to it.
    bool leaving = false;

    auto operator<=>(const Member&) const = default;
};

/// One database: a group of members that replicate one log.
struct Database {
    std::string name;
    std::vector<Member> members;
    /// Bound on the fleet's connections to each member, from 1.
    std::uint32_t connections = 0;

    auto operator<=>(const Database&) const = default;
};

/// A named set of databases. A request's shard picks one of them.
struct Pool {
    std::string name;
    std::vector<Database> databases;

    auto operator<=>(const Pool&) const = default;
};

/// What a read on a route must see.
enum class ReadConsistency {
    /// Every acknowledged write.
    Primary,
    /// Every write acknowledged longer ago than the route's age.
    BoundedAge,
    /// The same, and every write of its own session.
    ReadYourWrites,
};

/// A named way for callers to reach a pool.
struct Route {
    std::string name;
    std::string pool;
    /// True if requests run without a key, for the workspace "open".
    bool open = false;
    /// True if requests only read, and may be served by replicas.
    bool readOnly = false;
    /// Oldest data that a read accepts, in milliseconds; 0 means only what its session token needs.
    std::uint32_t maxAgeMs = 0;
    /// True if a request may run more than once without harm.
    bool repeatable = false;
    /// Workspaces that may use the route; empty means all.
    std::vector<std::string> workspaces;
    ReadConsistency consistency = ReadConsistency::Primary;
    /// Longest time of one statement, in milliseconds; 0 means the instance's own limit.
    std::uint32_t statementTimeoutMs = 0;
    /// Latency that callers want of a whole operation, in milliseconds; 0 means none is stated.
    std::uint32_t objectiveMs = 0;
    /// 0 is served first.
    std::uint32_t priority = 0;

    auto operator<=>(const Route&) const = default;
};

/// A tenant and its rate, counted over the whole fleet.
struct Workspace {
    std::string name;
    /// Requests a second, from 1.
    std::uint32_t rate = 0;
    /// Requests that may come at once, from 1.
    std::uint32_t burst = 0;
    /// Weight in the queues in front of the targets, from 1.
    std::uint32_t weight = 1;

    auto operator<=>(const Workspace&) const = default;
};

/// A key of a workspace. The key itself is not kept, only its SHA-256.
struct KeyRecord {
    std::string digest;
    std::string workspace;
    bool withdrawn = false;

    auto operator<=>(const KeyRecord&) const = default;
};

/// What operators want of one instance.
struct InstanceOrder {
    std::string name;
    /// True if the instance is to leave.
    bool drain = false;

    auto operator<=>(const InstanceOrder&) const = default;
};

/// Parse functions for the documents of the operators' tables (JSON). The name comes from the document's key. An error
/// names the faulty member.
tl::expected<Pool, Error> parsePool(const std::string& name, const std::string& json);
tl::expected<Route, Error> parseRoute(const std::string& name, const std::string& json);
tl::expected<Workspace, Error> parseWorkspace(const std::string& name, const std::string& json);
tl::expected<KeyRecord, Error> parseKeyRecord(const std::string& digest, const std::string& json);
tl::expected<InstanceOrder, Error> parseInstanceOrder(const std::string& name, const std::string& json);

/// One document of the operators' tables, at the revision of the platform's service that wrote it.
struct TableEntry {
    /// "route/NAME", "pool/NAME", "workspace/NAME", "key/DIGEST" or "instance/NAME".
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool deleted = false;

    auto operator<=>(const TableEntry&) const = default;
};

/// An immutable snapshot of the operators' tables.
struct Tables {
    /// All entries that this snapshot took in have a revision of at most this one.
    std::int64_t revision = 0;
    std::map<std::string, Route> routes;
    std::map<std::string, Pool> pools;
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, KeyRecord> keys;
    std::map<std::string, InstanceOrder> instances;
    /// A transaction that its caller leaves idle for longer may be ended, in milliseconds; 0 means no limit.
    std::uint32_t idleTransactionMs = 0;
    /// Every entry by key, deletions included, as peers and later snapshots need them.
    std::map<std::string, TableEntry> entries;

    bool operator==(const Tables&) const = default;
};

/// The snapshot after `entries`, which complete everything up to `revision`. An entry older than what the snapshot
/// holds under its key is passed over, so that nothing reverts. An entry that doesn't parse leaves the last accepted
/// one in force and is named in `rejected`.
Tables advanceTables(
    const Tables&, std::int64_t revision, const std::vector<TableEntry>& entries, std::vector<Error>& rejected);

/// Checks one document the way `advanceTables` would.
tl::expected<void, Error> checkEntry(const TableEntry&);

/// The database of a pool that serves `shard`.
const Database* databaseForShard(const Pool&, const std::string& shard);

} // namespace catkinlock
