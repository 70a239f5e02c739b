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

/// Prefix of the operators' tables in the platform's service.
inline constexpr const char* tablePrefix = "/catkinlock/table/";
/// Key that every edit of the tables writes too, so that one small read tells whether the tables have changed.
inline constexpr const char* tablesEditedKey = "/catkinlock/tables-edited";

/// Keeps this instance's tables at the newest accepted revision. A few instances (relays) watch the platform; the
/// others hear from peers, and read the platform themselves only at the start or when nobody has confirmed their tables
/// for long. On the control thread.
class ConfigFollower : public std::enable_shared_from_this<ConfigFollower> {
public:
    struct Hooks {
        /// The tables have changed.
        std::function<void(const Tables&)> changed;
        /// True if this instance is to watch the platform.
        std::function<bool()> isRelay;
    };

    ConfigFollower(boost::asio::io_context&, std::shared_ptr<PlatformClient>, std::shared_ptr<RcuSnapshot<Tables>>,
        std::shared_ptr<ConfigFreshness>, Hooks);

    void start();
    void stop() { this->stopped = true; }
    bool isLoaded() const { return this->loaded; }
    std::int64_t revision() const { return this->loaded ? this->tables->read()->revision : 0; }

    /// A peer says that its tables are at `revision` and were confirmed at `confirmedAsOf` at the latest. True if this
    /// instance should ask it for what it has more.
    bool notePeer(std::int64_t revision, std::optional<TimePoint> confirmedAsOf);
    wire::TableUpdate answer(const wire::TableRequest&) const;
    void receive(const wire::TableUpdate&);

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<bool> confirm();
    boost::asio::awaitable<void> confirmAsRelay();
    boost::asio::awaitable<void> sleep(Milliseconds);
    void accept(std::int64_t revision, const std::vector<TableEntry>&);
    std::vector<TableEntry> entriesOf(const std::vector<KeyValue>&) const;

    boost::asio::io_context& context;
    std::shared_ptr<PlatformClient> platform;
    std::shared_ptr<RcuSnapshot<Tables>> tables;
    std::shared_ptr<ConfigFreshness> freshness;
    Hooks hooks;
    bool loaded = false;
    bool stopped = false;
};

} // namespace catkinlock
