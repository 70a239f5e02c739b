#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/relay_choice.h"
#include "libsession/view_freshness.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock {

class ViewRelay;

/// Keeps a copy of all keys of the metadata store and confirms how new it is. On the control thread.
class StoreMirror : public std::enable_shared_from_this<StoreMirror> {
public:
    struct Hooks {
        /// Called after each change of the copy.
        std::function<void()> changed;
        /// Whom to ask, with addresses in place of names.
        std::function<RelayPlan()> plan;
    };

    StoreMirror(boost::asio::io_context&, std::shared_ptr<PolledStore>, std::shared_ptr<ViewRelay>,
        std::shared_ptr<ViewFreshness>, Hooks);

    void start();
    void stop() { this->stopped = true; }
    const std::map<std::string, KeyValue>& values() const { return this->copy; }
    /// Every change up to this revision is in the copy.
    std::int64_t revision() const { return this->seen; }
    bool isLoaded() const { return this->loaded; }

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<bool> poll();
    boost::asio::awaitable<bool> pollStore();
    boost::asio::awaitable<bool> followRelay(std::string address);
    std::string relayToFollow(TimePoint now) const;
    bool takeIn(const KeyChanges&, TimePoint confirmedAt);
    boost::asio::awaitable<void> gather();
    boost::asio::awaitable<void> pause(Milliseconds);
    boost::asio::awaitable<void> pauseAfterFailure(const std::string& message);
    void noteReached();
    void apply(const KeyValue&);

    boost::asio::io_context& context;
    std::shared_ptr<PolledStore> store;
    std::shared_ptr<ViewFreshness> freshness;
    std::shared_ptr<ViewRelay> relay;
    Hooks hooks;
    TimePoint storeAvoidedUntil;
    // Relays that did not answer, and when they are asked again.
    std::map<std::string, TimePoint> avoidedUntil;
    std::map<std::string, KeyValue> copy;
    std::int64_t seen = 0;
    unsigned failures = 0;
    bool loaded = false;
    bool stopped = false;
};

} // namespace catkinlock
