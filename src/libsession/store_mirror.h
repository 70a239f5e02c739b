#pragma once

#include "catkinlock/metadata_store.h"
#include "catkinlock/view_budget.h"
#include "libsession/relay_choice.h"
#include "libsession/store_copy.h"
#include "libsession/view_sources.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

class TimeSource;
class ViewFreshness;
class ViewRelay;

/// Keeps a local copy of all keys of the metadata store, from the store itself or through a relay, and records each
/// confirmation that the copy is up to date. A copy that is overdue by the budget is confirmed by further sources, the
/// store among them, while the ordinary poll goes on. Reads the whole store again once a response shows that the store
/// was restored from an older copy. Runs on the control thread.
class StoreMirror : public std::enable_shared_from_this<StoreMirror> {
public:
    struct Parts {
        std::shared_ptr<PolledStore> store;
        std::shared_ptr<ViewRelay> relay;
        std::shared_ptr<ViewFreshness> freshness;
        std::shared_ptr<TimeSource> time;
        ViewBudget budget;
        /// Part of `ViewBudget::overdueSpread` by which this instance starts later than others, 0 to 1.
        double overdueOffset = 0;
    };
    struct Hooks {
        /// Called after the copy has changed, before the change counts as confirmed.
        std::function<void()> changed;
        /// Called after each confirmation of the copy.
        std::function<void()> confirmed;
        /// Returns the sources to read from; its `relays` are peer addresses instead of instance names.
        std::function<RelayPlan()> plan;
    };

    StoreMirror(boost::asio::io_context&, Parts, Hooks);

    void start();
    /// Replaces the time limits.
    void updateBudget(const ViewBudget& budget) { this->parts.budget = budget; }
    /// Requests the latest changes from the store at once, beside the ordinary poll. Does nothing before the first
    /// read.
    void requestChangesNow();
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
    boost::asio::awaitable<bool> pollPeer(std::string address);
    boost::asio::awaitable<void> confirmOverdue();
    void requestFromFurtherSources(unsigned attempt);
    void requestFromPeers(unsigned attempt);
    void retryStore();
    boost::asio::awaitable<std::optional<StoreCopy::Merge>> requestFromStore(Milliseconds wait);
    boost::asio::awaitable<std::optional<StoreCopy::Merge>> requestFromPeer(std::string address, Milliseconds wait);
    boost::asio::awaitable<void> readAgainIfNeeded(boost::asio::awaitable<std::optional<StoreCopy::Merge>>);
    Milliseconds viewAge() const;
    bool isOverdue() const { return this->viewAge() > this->parts.budget.overdueAfter; }
    StoreCopy::Merge applyChanges(const KeyChanges&, TimePoint confirmedAt);
    void confirm(TimePoint asOf);
    boost::asio::awaitable<void> awaitBatch();
    void recordStoreFailure(const std::string& message);
    void recordStoreReply();

    boost::asio::io_context& context;
    Parts parts;
    Hooks hooks;
    ViewSources sources;
    // Requests to other instances in the present overdue period.
    unsigned overdueRequests = 0;
    // Start of the last call to the store.
    TimePoint storeCalledAt;
    // The instance that the ordinary poll waits for; empty if it is the store.
    std::string polledPeer;
    StoreCopy copy;
    std::optional<TimePoint> learnedOfRestoreAt;
    bool loaded = false;
    // Number of times that reading the whole store has begun. Replies to requests from before are dropped, since the
    // contents that were read may be newer.
    unsigned loads = 0;
    bool stopped = false;
};

} // namespace catkinlock
