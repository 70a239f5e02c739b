#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/metadata_store.h"
#include "catkinlock/view_budget.h"
#include "libsession/change_log.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace catkinlock::wire {
class ChangesRequest;
class ChangesReply;
}

namespace catkinlock {

class PeerSender;
class TimeSource;

/// A relay's reply to a follower.
struct RelayedChanges {
    /// `historyLost` is set if the relay's copy of the store is of a later era.
    KeyChanges changes;
    /// The changes include everything that the store had acknowledged by this time.
    TimePoint confirmedAt;
};

/// Relays changes of the metadata store between instances: serves this instance's followers from its change log, and
/// requests changes from the relay that this instance follows. A reply carries the age of the relay's view, so that a
/// follower never takes its own view for fresher than it is. Runs on the control thread.
class ViewRelay : public std::enable_shared_from_this<ViewRelay> {
public:
    struct Parts {
        std::shared_ptr<PeerSender> link;
        std::shared_ptr<TimeSource> time;
        ViewBudget budget;
    };
    struct Hooks {
        /// The newest configuration that this instance knows, if the store has only an older one.
        std::function<std::optional<KeyValue>()> lostConfiguration;
        /// Called with such a configuration of a peer.
        std::function<void(const KeyValue&)> learn;
    };

    ViewRelay(boost::asio::io_context&, Parts, Hooks = {});

    /// Replaces the time limits.
    void updateBudget(const ViewBudget& budget) { this->parts.budget = budget; }
    /// Clears the change log, after the whole store was read again at `revision`, which includes everything that the
    /// store had acknowledged by `confirmedAt`. Replies to all held requests.
    void restart(std::int64_t revision, TimePoint confirmedAt);
    /// Adds changes to the log, which then includes everything that the store had acknowledged by `confirmedAt`.
    /// Replies to all held requests, also if there are no changes, since the reply passes the confirmation on.
    void append(const KeyChanges&, TimePoint confirmedAt);
    /// Replies to a follower at once if there are changes, if the request allows no wait, if this instance's view is
    /// overdue or of another era of the store than the request, or if too many requests are held. Otherwise holds the
    /// request until there are changes or a confirmation, or until the wait of the earliest held request is over.
    void receiveRequest(const std::string& sender, const wire::ChangesRequest&);
    /// Completes the pending request that the reply belongs to; a late or unknown reply is ignored.
    void receiveReply(const wire::ChangesReply&);
    /// Requests the changes after revision `after` from the instance at `address`, which may hold the request for up to
    /// `wait`. Returns std::nullopt if the request can't be sent, if no reply arrives in time, or if the relay's view
    /// is overdue, is of an earlier era, or its log does not reach back to `after`.
    boost::asio::awaitable<std::optional<RelayedChanges>> requestChanges(
        std::string address, std::int64_t after, Milliseconds wait);

private:
    // A follower's request that waits for changes or a confirmation.
    struct HeldRequest {
        std::string sender;
        std::uint64_t id = 0;
        std::int64_t after = 0;
        TimePoint receivedAt;
        TimePoint until;
    };
    // A request of this instance that waits for its reply.
    struct PendingRequest;

    static boost::asio::awaitable<void> endAfter(
        std::shared_ptr<TimeSource>, std::shared_ptr<PendingRequest>, Milliseconds limit);

    void sendReply(const HeldRequest&);
    void replyToHeldRequests();
    boost::asio::awaitable<void> replyAfter(Milliseconds wait);
    Milliseconds age(TimePoint now) const;
    bool isOverdue(TimePoint now) const;

    boost::asio::io_context& context;
    Parts parts;
    Hooks hooks;
    ChangeLog log;
    // The log includes everything that the store had acknowledged by this time.
    TimePoint logConfirmedAt;
    std::vector<HeldRequest> heldRequests;
    std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pendingRequests;
    std::uint64_t lastRequestId = 0;
};

} // namespace catkinlock
