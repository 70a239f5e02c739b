#pragma once

#include "catkinlock/platform_client.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/tables.h"
#include "libserver/config_freshness.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace catkinlock::wire {
class TableRequest;
class TableUpdate;
}

namespace catkinlock {

/// Key prefix of the operators' tables in the platform's key-value service.
inline constexpr const char* tablePrefix = "/catkinlock/table/";
/// Key that every edit of the tables writes as well, so that reading this one key shows whether the tables have
/// changed.
inline constexpr const char* tablesEditedKey = "/catkinlock/tables-edited";

/// Keeps this instance's tables at the newest accepted revision. A few instances (relays) watch the platform. The
/// others get updates from peers, and read the platform themselves only at the start or when their tables have not been
/// confirmed for `ConfigFreshness::staleAfter`. Used on the control thread only.
class ConfigFollower : public std::enable_shared_from_this<ConfigFollower> {
public:
    struct Hooks {
        /// Called with the new tables after they are first loaded and after each change of an entry.
        std::function<void(const Tables&)> changed;
        /// True if this instance is a relay and so must watch the platform.
        std::function<bool()> isRelay;
    };

    ConfigFollower(boost::asio::io_context&, std::shared_ptr<PlatformClient>, std::shared_ptr<RcuSnapshot<Tables>>,
        std::shared_ptr<ConfigFreshness>, Hooks);

    void start();
    void stop() { this->stopped = true; }
    /// True once tables have been read from the platform or received from a peer.
    bool isLoaded() const { return this->loaded; }
    /// Revision of the tables in force; 0 before the first load.
    std::int64_t revision() const { return this->loaded ? this->tables->read()->revision : 0; }

    /// Compares a peer's revision with that of the tables in force. Returns true if the peer's is newer, so that the
    /// caller should request the missing entries from it. Otherwise records `confirmedAsOf`, the time at which the
    /// peer's tables were last confirmed to be current, for the tables in force as well; no value if it is not known.
    bool recordPeerRevision(std::int64_t revision, std::optional<TimePoint> confirmedAsOf);
    /// The entries that changed after the revision in the request, deletions included.
    wire::TableUpdate makeUpdate(const wire::TableRequest&) const;
    /// Applies an update from a peer. An update that is not newer than the tables in force, or that starts after their
    /// revision and so might lack entries, is ignored.
    void receiveUpdate(const wire::TableUpdate&);

private:
    // Runs until `stop`: loads the tables at the start, watches the platform while this instance is a relay, and
    // otherwise reads the platform only when the tables are stale.
    boost::asio::awaitable<void> follow();
    // Reads all tables from the platform and applies them. False if they could not be read or are older than the tables
    // in force.
    boost::asio::awaitable<bool> load();
    // Applies changes that a watch on the platform delivers, until the watch ends.
    boost::asio::awaitable<void> watch();
    // Checks that the tables are current, and loads them if they are not. False if the platform could not be read.
    boost::asio::awaitable<bool> confirm();
    // Confirms the tables at a fixed interval while this instance is a relay.
    boost::asio::awaitable<void> confirmAsRelay();
    boost::asio::awaitable<void> sleep(Milliseconds);
    // Applies entries on top of the tables in force and publishes the result. A document that does not parse is logged,
    // and the last valid one of its key stays in force.
    void installEntries(std::int64_t revision, const std::vector<TableEntry>&);
    std::vector<TableEntry> toEntries(const std::vector<KeyValue>&) const;

    boost::asio::io_context& context;
    std::shared_ptr<PlatformClient> platform;
    std::shared_ptr<RcuSnapshot<Tables>> tables;
    std::shared_ptr<ConfigFreshness> freshness;
    Hooks hooks;
    bool loaded = false;
    bool stopped = false;
};

} // namespace catkinlock
