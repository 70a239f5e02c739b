#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/metadata_store.h"
#include "libsession/change_log.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace catkinlock::wire {
class ChangesRequest;
class ChangesReply;
}

namespace catkinlock {

class PeerLink;
class ViewFreshness;

/// What a peer answered to a follower.
struct RelayedChanges {
    KeyChanges changes;
    /// The store had nothing newer at this time, or later.
    TimePoint confirmedAt;
};

/// Passes changes of the metadata store between instances: answers those that follow this one out of its log, and asks
/// the one that it follows. A confirmation travels with its age, so a follower's view is never taken for fresher than
/// it is. On the control thread.
class ViewRelay : public std::enable_shared_from_this<ViewRelay> {
public:
    ViewRelay(boost::asio::io_context&, std::shared_ptr<PeerLink>, std::shared_ptr<ViewFreshness>);

    /// The copy of the store was read afresh.
    void restart(std::int64_t revision);
    /// The copy of the store was confirmed, with these changes.
    void append(const KeyChanges&);
    void receiveRequest(const std::string& sender, const wire::ChangesRequest&);
    void receiveReply(const wire::ChangesReply&);
    /// Asks the peer at `address` for changes after `after`; it answers after `wait` at the latest. Nothing if it did
    /// not, or can't tell.
    boost::asio::awaitable<std::optional<RelayedChanges>> ask(
        std::string address, std::int64_t after, Milliseconds wait);

private:
    struct Held {
        std::string sender;
        std::uint64_t id = 0;
        std::int64_t after = 0;
        TimePoint until;
    };
    struct Asked;

    void answer(const Held&);
    void answerHeld();
    bool mayAnswer(TimePoint now) const;

    boost::asio::io_context& context;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<ViewFreshness> freshness;
    ChangeLog log;
    std::vector<Held> held;
    boost::asio::steady_timer holdTimer;
    std::map<std::uint64_t, std::shared_ptr<Asked>> asked;
    std::uint64_t lastId = 0;
};

} // namespace catkinlock
