#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/target_message.h"
#include "catkinlock/target_record.h"
#include "libsession/member_choice.h"
#include "libsession/send_window.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

class TargetLink;
class TargetProtocol;
struct LinkFailure;

/// What one instance has seen of a member.
struct MemberHealth {
    TimePoint lastSuccess;
    /// Since when it has failed without a success between; meaningful while `failures` is not 0.
    TimePoint failingSince;
    unsigned failures = 0;
    TimePoint lastFailure;
    /// Since when commits and writes have gone unanswered without a success between; the same for `lostWrites`.
    TimePoint losingWritesSince;
    unsigned lostWrites = 0;
    TimePoint lastLostWrite;
};

/// How far a member's log was behind its primary's, and when that was seen.
struct LagSight {
    Duration lag { 0 };
    TimePoint seenAt;
};

/// The connections of this instance to one member: a few, each for one workspace, lent for a statement or a
/// transaction. On the request thread.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
public:
    TargetPool(boost::asio::any_io_executor, std::shared_ptr<const TargetProtocol>, TargetRecord);

    /// Lends a connection for `workspace`, opening one or waiting for one until `deadline`. Lower `priority` goes
    /// first.
    boost::asio::awaitable<tl::expected<std::shared_ptr<TargetLink>, LinkFailure>> borrow(
        std::string workspace, std::uint32_t priority, TimePoint deadline);
    /// Takes a connection back; a closed one, or one with an open transaction, is dropped.
    void giveBack(std::shared_ptr<TargetLink>);

    /// A statement that was sent `took` ago was answered; `wrote` if it was a write or a commit of writes.
    void noteAnswer(Duration took, bool wrote, const Position&, TimePoint now);
    /// The member refused a statement for want of room.
    void noteBusy() { this->window.noteRefused(); }
    /// A transaction holds a connection without a statement in it, or no longer does.
    void noteResting(bool rests);
    void noteFailure(bool lostWrite, TimePoint now);
    /// The member lacked the position `floor` that a read needed.
    void noteLagging(const Position& floor, const Position& had, TimePoint now);
    /// How far the member's log was behind the primary's just now.
    void noteLag(Duration lag, TimePoint now);
    /// True while it is not worth asking the member for data that is no older than `maxAge`.
    bool lagsBeyond(Duration maxAge, TimePoint now) const;
    LagSight lastLag() const { return { this->lag, this->lagSeenAt }; }
    /// True while it is not worth asking the member for data at `floor`.
    bool seemsBehind(const Position& floor, TimePoint now) const;
    /// `connections`: those that every instance may have open, 0 if there are more instances than connections. A busy
    /// one opens more until the member refuses. Half of them are kept while idle, and more for a moment only, so that
    /// there is room to open new ones while the member still counts those of instances that lost their power.
    void setShare(std::size_t connections);
    void setTarget(const TargetRecord&);
    /// Closes what has been idle for long.
    void closeIdle(TimePoint now);
    void closeAll();

    MemberLoad load(const std::string& workspace, TimePoint now) const;
    const MemberHealth& health() const { return this->seen; }
    const Position& lastPosition() const { return this->position; }
    const TargetRecord& target() const { return this->record; }
    std::size_t open() const { return this->opened; }
    std::size_t inUse() const { return this->opened - this->idle.size(); }
    std::size_t waiting() const { return this->waiters.size(); }
    std::uint64_t handshakes() const { return this->handshakeCount; }

private:
    struct Idle {
        std::shared_ptr<TargetLink> link;
        TimePoint since;
    };
    struct Waiter;

    boost::asio::awaitable<void> openFor(std::string workspace);
    boost::asio::awaitable<void> openLater(std::string workspace);
    bool isPressed() const;
    bool isWaitedFor(const std::string& workspace) const;
    bool hasRoom() const;
    void serveNext();
    bool shouldOpen(const std::string& workspace) const;
    void startOpening(const std::string& workspace);
    void noteReturned(const std::string& workspace);
    std::size_t limit() const;
    void handOver(std::shared_ptr<TargetLink>);
    std::shared_ptr<Waiter> takeWaiter(const std::string& workspace);
    std::shared_ptr<TargetLink> takeIdle(const std::string& workspace);
    void dropOldestIdle();
    void dropIdleBeyond(std::size_t count);
    void releasePlace();

    boost::asio::any_io_executor executor;
    std::shared_ptr<const TargetProtocol> protocol;
    TargetRecord record;
    std::size_t share = 1;
    std::size_t mostIdle = 1;
    // Until then only the share is used, because the member has refused more.
    TimePoint pressedUntil;
    // Connections that are open or being opened.
    std::size_t opened = 0;
    // The longest idle first.
    std::deque<Idle> idle;
    std::list<std::shared_ptr<Waiter>> waiters;
    // Connections in use or being opened, by workspace.
    std::map<std::string, std::size_t> lent;
    MemberHealth seen;
    Position position;
    double typicalMs = 20;
    SendWindow window;
    // Connections that rest in an open transaction.
    std::size_t resting = 0;
    Duration lag { 0 };
    TimePoint lagSeenAt;
    Position behindFloor;
    TimePoint behindUntil;
    Milliseconds behindPause { 0 };
    std::uint64_t handshakeCount = 0;
};

} // namespace catkinlock
