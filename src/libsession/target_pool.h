#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/target_message.h"
#include "catkinlock/target_record.h"
#include "libsession/concurrency_limit.h"
#include "libsession/demand_share.h"
#include "libsession/health_recorder.h"
#include "libsession/member_choice.h"
#include "libsession/member_queue.h"
#include "libsession/primary_reserve.h"
#include "libsession/send_window.h"
#include "libsession/work_kind.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

class MemberSpeed;
class TargetLink;
class TargetProtocol;
struct LinkFailure;

/// How far a member's log was behind its primary's, and when that was observed.
struct LagObservation {
    Duration lag { 0 };
    TimePoint observedAt;
};

/// What a gateway of a member's service may use of the member.
struct GatewayShare {
    std::size_t connections = 0;
    /// Addresses of this instance and of the service's other gateways.
    std::string self;
    std::vector<std::string> peers;
};

/// The connections of this instance to one member. Each belongs to one workspace and is lent for the length of a
/// statement or a transaction. Also records the member's health, lag and load. Runs on the request thread.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
public:
    TargetPool(boost::asio::any_io_executor, std::shared_ptr<const TargetProtocol>, TargetRecord);

    /// Lends a connection for `workspace`. Opens one, or waits until `deadline` for one to be returned. Lower values of
    /// `priority` are served first. `replaceable`: other members can serve the statement too. Fails with the refusal
    /// `StatementError::Busy` if none is available by `deadline`, or with the failure of an attempt to open one. A
    /// gateway refuses at once what it can't serve by `deadline`.
    boost::asio::awaitable<tl::expected<std::shared_ptr<TargetLink>, LinkFailure>> borrow(
        std::string workspace, std::uint32_t priority, TimePoint deadline, bool replaceable = false);
    /// Returns a connection to the pool. It is discarded if it is closed or in a transaction (open or failed), or if
    /// the pool has more connections than it may have now.
    void release(std::shared_ptr<TargetLink>);

    /// Records a reply to a statement that was sent `took` ago, and the member's position in it. `wrote`: the statement
    /// was a write or a commit of writes, and succeeded.
    void recordReply(Duration took, bool wrote, const Position&, TimePoint now);
    /// Records for the choice of a member that a statement of this kind succeeded or failed there after `took`, or had
    /// no reply. Not for statements that the member refused.
    void recordSpeed(const WorkKind&, Duration took, bool failed, TimePoint now);
    /// Records for the choice of a member that a statement is being sent there.
    void recordSent(TimePoint now);
    /// Records that the member replied after `took` to a request that needs hardly any work.
    void recordExchange(Duration took, TimePoint now) { this->limit.recordExchange(took, now); }
    /// Records that the member refused a statement for want of capacity.
    void recordBusy(TimePoint now);
    /// Records that a transaction holds a connection without running a statement on it, or with `becomesIdle` false
    /// that it no longer does.
    void recordIdleInTransaction(bool becomesIdle);
    /// Records that a connection could not be opened, other than by a refusal of the member, or that an exchange on one
    /// failed, and closes the idle connections. `sentAt`: when the opening or the exchange began. `lostWrite`: the
    /// reply to a write or to a commit of writes is missing.
    void recordFailure(TimePoint sentAt, bool lostWrite, TimePoint now);
    /// Records that the member refused a read that needs `minPosition`, because its log had reached only `had`.
    void recordLagging(const Position& minPosition, const Position& had, TimePoint now);
    /// Records that the member's log was `lag` behind the primary's at `now`. Ignored if a later observation was
    /// recorded before.
    void recordLag(Duration lag, TimePoint now);
    /// True if a recent observation shows the member at least `maxAge` behind, so that it would probably refuse a read
    /// that accepts no older data.
    bool lagsBeyond(Duration maxAge, TimePoint now) const;
    LagObservation lastLag() const { return { this->lag, this->lagObservedAt }; }
    /// True while the member would probably refuse a read that needs `minPosition`: it refused a read for lag, its last
    /// known position is lower, and the delay before the next attempt is not over.
    bool seemsBehind(const Position& minPosition, TimePoint now) const;
    /// `connections`: this instance's share of the member's connections, 0 if there are more instances than
    /// connections. A busy instance opens more than its share until the member refuses one. Half of the share is kept
    /// while idle, and more for a short time only, because a member still counts the connections of instances that lost
    /// power, and the others need free connections meanwhile.
    void setShare(std::size_t connections);
    /// The same for a gateway of the member's service. The gateways' shares add up to no more than the member accepts,
    /// so that none opens more than its share or closes connections that may be used again. They also divide the places
    /// at the member, in place of a send window.
    void setGatewayShare(const GatewayShare&, TimePoint now);
    /// Records another gateway's demand at the member.
    void recordDemand(const std::string& sender, std::int64_t sentAtMs, const MemberDemand&, TimePoint now);
    /// This instance's demand at the member.
    MemberDemand demand(TimePoint now) const;
    /// True if the statements that need this member, a primary, leave no place for a read that others can serve too.
    bool isReserved(TimePoint now) const;
    bool isGateway() const { return this->demandShare.has_value(); }
    /// Statements that this instance may have at the member now.
    std::size_t places(TimePoint now) const;
    /// Serves waiting statements if there are free places for them.
    void serveWaiting();
    /// Sets what is known of the speeds of the service's members. Null: the moving average of the response times
    /// counts.
    void setSpeed(std::shared_ptr<MemberSpeed> next) { this->speed = std::move(next); }
    void setTarget(const TargetRecord&);
    /// The group's record names the member as the serving primary of `term`. Its health starts anew if it belonged to
    /// another term.
    void beginTerm(std::uint64_t term, TimePoint now) { this->recorder.beginTerm(term, now); }
    /// Closes connections that have been idle for long.
    void closeIdle(TimePoint now);
    /// Closes all idle connections. Connections that are lent stay open.
    void closeAll();

    /// The member's load for a statement of `workspace`, for the choice of a member.
    MemberLoad load(const std::string& workspace, const WorkKind&, TimePoint now) const;
    const MemberHealth& health() const { return this->recorder.health(); }
    /// The member's position in the last reply that had one.
    const Position& lastPosition() const { return this->position; }
    const TargetRecord& target() const { return this->record; }
    /// Connections that are open or being opened.
    std::size_t open() const { return this->connectionCount; }
    /// Connections that are lent or being opened.
    std::size_t inUse() const { return this->connectionCount - this->idle.size(); }
    /// Statements that wait for a connection.
    std::size_t waiting() const { return this->waiters.size(); }
    /// Statements since the start that were refused at once because they would not have been served in time.
    std::uint64_t refusedEarly() const { return this->refusedEarlyCount; }
    /// Attempts at opening a connection since the start.
    std::uint64_t handshakes() const { return this->handshakeCount; }

private:
    struct IdleLink {
        std::shared_ptr<TargetLink> link;
        TimePoint since;
    };
    struct Waiter;

    boost::asio::awaitable<void> openFor(std::string workspace);
    boost::asio::awaitable<void> openAfterDelay(std::string workspace);
    bool isConnectionLimited() const;
    bool canServe(const QueuedStatement&) const;
    bool hasIdle(const std::string& workspace) const;
    bool isWorthQueueing(QueuedStatement&, TimePoint deadline, TimePoint now) const;
    Duration waitBeforeOpening(Duration wait) const;
    boost::asio::awaitable<bool> waitForLink(std::shared_ptr<Waiter>, TimePoint deadline);
    void recordNeed(TimePoint now);
    void give(const MemberQueue::Item&, std::shared_ptr<TargetLink>);
    void serveByOrder();
    bool hasCapacity() const;
    void serveNext();
    bool shouldOpen(const std::string& workspace) const;
    void startOpening(const std::string& workspace);
    void recordReturned(const std::string& workspace);
    std::size_t connectionLimit() const;
    void makeAvailable(std::shared_ptr<TargetLink>);
    std::shared_ptr<Waiter> takeWaiter(const std::string& workspace);
    std::shared_ptr<TargetLink> takeIdle(const std::string& workspace);
    void dropOldestIdle();
    void dropIdleBeyond(std::size_t count);
    void recordClosed();

    boost::asio::any_io_executor executor;
    std::shared_ptr<const TargetProtocol> protocol;
    TargetRecord record;
    // Names the member to other gateways.
    std::uint32_t key;
    // Connections that this instance may have open even while the member is at its limit.
    std::size_t share = 1;
    // Connections that it may have open while the member accepts more.
    std::size_t maxOpen = 1;
    // Idle connections beyond this count are closed early, after `surplusLifetime`.
    std::size_t maxIdle = 1;
    Milliseconds surplusLifetime { 0 };
    // Until this time the pool stays within its share, because the member refused a connection at its limit.
    TimePoint connectionLimitedUntil;
    // Connections that are open or being opened.
    std::size_t connectionCount = 0;
    // Idle connections, the longest idle first.
    std::deque<IdleLink> idle;
    // Statements that wait for a connection; each is a Waiter.
    MemberQueue waiters;
    // Connections that are lent or being opened, by workspace.
    MemberQueue::Held inUseByWorkspace;
    // Reads that others can serve too and that run or wait here, and the connections that such reads hold.
    std::size_t replaceableReads = 0;
    std::set<const TargetLink*> lentReplaceably;
    PrimaryReserve reserve;
    std::uint64_t refusedEarlyCount = 0;
    HealthRecorder recorder;
    Position position;
    // Moving average of the response time of statements at the member.
    double averageResponseTimeMs = 20;
    std::shared_ptr<MemberSpeed> speed;
    SendWindow window;
    ConcurrencyLimit limit;
    // Set on the gateways of the member's service.
    std::optional<DemandShare> demandShare;
    // Lent connections whose transaction is not running a statement.
    std::size_t idleInTransaction = 0;
    // Last observed lag of the member's log.
    Duration lag { 0 };
    TimePoint lagObservedAt;
    // Position needed by the last read that the member refused for lag.
    Position unmetPosition;
    // Until this time the member is avoided for reads that need a position beyond its last known one.
    TimePoint behindUntil;
    // Length of the period that ends at `behindUntil`; doubles while the member goes on refusing.
    Milliseconds behindRetryDelay { 0 };
    std::uint64_t handshakeCount = 0;
};

} // namespace catkinlock
