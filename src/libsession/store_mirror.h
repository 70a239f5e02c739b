#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/relay_choice.h"
#include "libsession/store_copy.h"
#include "libsession/view_freshness.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

class TimeSource;
class ViewRelay;

/// Keeps a local copy of all keys of the metadata store, from the store itself or through a relay, and records each
/// confirmation that the copy is up to date. Reads the whole store again once a response shows that the store was
/// restored from an older copy. Runs on the control thread.
class StoreMirror : public std::enable_shared_from_this<StoreMirror> {
public:
    struct Parts {
        std::shared_ptr<PolledStore> store;
        std::shared_ptr<ViewRelay> relay;
        std::shared_ptr<ViewFreshness> freshness;
        std::shared_ptr<TimeSource> time;
    };
    struct Hooks {
        /// Called after the copy has changed.
        std::function<void()> changed;
        /// Returns the sources to read from; its `relays` are peer addresses instead of instance names.
        std::function<RelayPlan()> plan;
    };

    StoreMirror(boost::asio::io_context&, Parts, Hooks);

    void start();
    /// Starts no further poll; a running one is completed.
    void stop() { this->stopped = true; }
    const std::map<std::string, KeyValue>& values() const { return this->copy.values(); }
    /// The copy contains every change up to this revision.
    std::int64_t revision() const { return this->copy.revision(); }
    /// When this instance learned last that the store had been restored from an older copy; std::nullopt if it never
    /// did.
    std::optional<TimePoint> restoredAt() const { return this->learnedOfRestoreAt; }
    /// True once the whole store has been read, until the copy has to be read again.
    bool isLoaded() const { return this->loaded; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<bool> poll();
    boost::asio::awaitable<bool> pollStore();
    boost::asio::awaitable<bool> pollRelay(std::string address);
    void skipRelay(const std::string& address);
    std::string selectRelay(TimePoint now) const;
    StoreCopy::Merge applyChanges(const KeyChanges&, TimePoint confirmedAt);
    boost::asio::awaitable<void> awaitBatch();
    boost::asio::awaitable<void> backOff(const std::string& message);
    void recordStoreReached();

    boost::asio::io_context& context;
    Parts parts;
    Hooks hooks;
    // The store is skipped until this time if a relay is available.
    TimePoint storeRetryAt;
    // Relays that did not reply, by address, and the time until which they are skipped.
    std::map<std::string, TimePoint> relayRetryAt;
    StoreCopy copy;
    std::optional<TimePoint> learnedOfRestoreAt;
    // Failed calls to the store since the last successful one.
    unsigned consecutiveFailures = 0;
    bool loaded = false;
    bool stopped = false;
};

} // namespace catkinlock
