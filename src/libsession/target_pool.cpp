#include "libsession/target_pool.h"

#include "libsession/member_speed.h"
#include "libsession/spawn.h"
#include "libsession/target_link.h"
#include <algorithm>
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds openTimeout { 700 };
    // Statements that may wait for each lent connection of their workspace before another one is opened.
    constexpr std::size_t waitersPerConnection = 2;
    // A statement waits this long for a connection that is in use, and then another one is opened.
    constexpr Milliseconds maxWaitBeforeOpening { 40 };
    // Idle connections within maxIdle are closed after this time.
    constexpr Milliseconds idleLifetime { 30000 };
    // Idle connections beyond maxIdle are closed after this time.
    constexpr Milliseconds surplusIdleLifetime { 2000 };
    // The same if there are more instances than connections, since all of them together must leave the member free
    // ones.
    constexpr Milliseconds scarceIdleLifetime { 200 };
    // A busy instance may open this many times its share while the member accepts connections.
    constexpr std::size_t maxShares = 3;
    // The pool stays within its share for this time after the member refused a connection at its limit.
    constexpr Milliseconds connectionLimitedPeriod { 500 };
    // Delay before another attempt to open a connection that the member refused at its limit.
    constexpr Milliseconds openRetryDelay { 15 };
    // A member that refused a read for lag is avoided for such reads for this time, which doubles with each refusal
    // after it. The bounds of that time:
    constexpr Milliseconds minBehindRetryDelay { 40 };
    constexpr Milliseconds maxBehindRetryDelay { 1000 };
    // An observed lag is disregarded after this time, so that the member is tried again.
    constexpr Milliseconds lagLifetime { 600 };
    // Weight of a new sample in the moving average of the response time, from 0 to 1.
    constexpr double smoothingWeight = 0.1;

} // namespace

struct TargetPool::Waiter : QueuedStatement {
    Waiter(const asio::any_io_executor& executor, QueuedStatement statement)
        : QueuedStatement(std::move(statement))
        , timer(executor)
    {
    }
    asio::steady_timer timer;
    // The wait has ended: the link or the failure is set.
    bool ended = false;
    std::shared_ptr<TargetLink> link;
    // Returned to the statement if it gets no connection.
    LinkFailure failure { false, StatementError::Busy, "all connections to the member are in use" };
};

TargetPool::TargetPool(
    asio::any_io_executor executor, std::shared_ptr<const TargetProtocol> protocol, TargetRecord record)
    : executor(std::move(executor))
    , protocol(std::move(protocol))
    , record(std::move(record))
    , key(memberKey(this->record.id))
{
}

void TargetPool::setTarget(const TargetRecord& next) { this->record = next; }

void TargetPool::setShare(std::size_t connections)
{
    this->share = std::max<std::size_t>(connections, 1);
    this->maxOpen = this->share * maxShares;
    this->maxIdle = connections / 2;
    this->surplusLifetime = connections ? surplusIdleLifetime : scarceIdleLifetime;
    this->demandShare.reset();
}

void TargetPool::setGatewayShare(const GatewayShare& given, TimePoint now)
{
    if (!this->demandShare)
        this->demandShare.emplace();
    this->demandShare->setGateways(given.self, given.peers, now);
    this->share = std::max<std::size_t>(given.connections, 1);
    this->maxOpen = this->share;
    this->maxIdle = this->share;
    this->surplusLifetime = surplusIdleLifetime;
}

bool TargetPool::isConnectionLimited() const { return Clock::now() < this->connectionLimitedUntil; }

std::size_t TargetPool::connectionLimit() const { return this->isConnectionLimited() ? this->share : this->maxOpen; }

std::shared_ptr<TargetLink> TargetPool::takeIdle(const std::string& workspace)
{
    // The connection that was used last is the least likely to have been dropped by the network or the member.
    for (auto it = this->idle.rbegin(); it != this->idle.rend(); ++it) {
        if (it->link->workspace() != workspace)
            continue;
        auto link = it->link;
        this->idle.erase(std::next(it).base());
        ++this->inUseByWorkspace[workspace];
        return link;
    }
    return nullptr;
}

void TargetPool::dropOldestIdle()
{
    this->idle.front().link->close();
    this->idle.pop_front();
    --this->connectionCount;
}

void TargetPool::dropIdleBeyond(std::size_t count)
{
    while (this->idle.size() > count)
        this->dropOldestIdle();
}

std::shared_ptr<TargetPool::Waiter> TargetPool::takeWaiter(const std::string& workspace)
{
    auto item = this->waiters.frontOf(workspace);
    if (item)
        this->waiters.take(item, Clock::now());
    return std::static_pointer_cast<Waiter>(item);
}

// True if a new connection is worth opening for the workspace. Opening one occupies the member for as long as a short
// statement does, so while few statements wait, it is better to wait for a lent connection to be returned.
bool TargetPool::shouldOpen(const std::string& workspace) const
{
    auto found = this->inUseByWorkspace.find(workspace);
    std::size_t inUseCount = found == this->inUseByWorkspace.end() ? 0 : found->second;
    // Includes the statement that the connection would be opened for if it is in the queue already.
    return this->waiters.sizeOf(workspace) >= inUseCount * waitersPerConnection;
}

void TargetPool::startOpening(const std::string& workspace)
{
    if (this->connectionCount >= this->connectionLimit() && !this->idle.empty())
        this->dropOldestIdle();
    if (this->connectionCount >= this->connectionLimit())
        return;
    ++this->connectionCount;
    ++this->inUseByWorkspace[workspace];
    spawn(this->executor, [self = this->shared_from_this(), workspace] { return self->openFor(workspace); });
}

// Opens a connection and gives it to a waiting statement of the workspace. The opening goes on if the statement that
// caused it stops waiting; the connection is then available to the workspace's next statement.
asio::awaitable<void> TargetPool::openFor(std::string workspace)
{
    auto self = this->shared_from_this();
    ++this->handshakeCount;
    auto link = std::make_shared<TargetLink>(this->executor, this->protocol);
    TargetRecord target = this->record;
    TimePoint startedAt = Clock::now();
    auto opening = co_await link->open(target, workspace, openTimeout);
    this->recordReturned(workspace);
    if (opening) {
        this->makeAvailable(link);
        co_return;
    }
    if (!opening.error().refusal)
        this->recordFailure(startedAt, false, Clock::now());
    link->close();
    if (opening.error().refusal == StatementError::ConnectionLimit) {
        this->connectionLimitedUntil = Clock::now() + connectionLimitedPeriod;
        this->dropIdleBeyond(0);
        --this->connectionCount;
        spawn(this->executor, [self, workspace] { return self->openAfterDelay(workspace); });
        co_return;
    }
    if (auto waiter = this->takeWaiter(workspace)) {
        waiter->failure = opening.error();
        waiter->ended = true;
        waiter->timer.cancel();
    }
    this->recordClosed();
}

// Tries again after a delay to open a connection that the member refused at its connection limit. Another instance may
// have closed one of its connections meanwhile.
asio::awaitable<void> TargetPool::openAfterDelay(std::string workspace)
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->executor, openRetryDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->waiters.sizeOf(workspace) && this->hasCapacity())
        this->startOpening(workspace);
}

bool TargetPool::hasIdle(const std::string& workspace) const
{
    return std::any_of(this->idle.begin(), this->idle.end(),
        [&workspace](const IdleLink& item) { return item.link->workspace() == workspace; });
}

asio::awaitable<tl::expected<std::shared_ptr<TargetLink>, LinkFailure>> TargetPool::borrow(
    std::string workspace, std::uint32_t priority, TimePoint deadline, bool replaceable)
{
    auto self = this->shared_from_this();
    this->replaceableReads += replaceable;
    TimePoint now = Clock::now();
    // Without a limit of the whole fleet, an instance knows too little of the queue for an order by time left.
    QueuedStatement statement { std::move(workspace), priority, now, this->demandShare ? deadline : now, {} };
    auto waiter = std::make_shared<Waiter>(this->executor, std::move(statement));
    bool served = co_await this->waitForLink(waiter, deadline);
    if (served && replaceable)
        this->lentReplaceably.insert(waiter->link.get());
    if (!served)
        this->replaceableReads -= replaceable;
    this->recordNeed(Clock::now());
    if (served)
        co_return waiter->link;
    co_return tl::unexpected(waiter->failure);
}

// Gives the waiter a connection, or its failure. False if it got none.
asio::awaitable<bool> TargetPool::waitForLink(std::shared_ptr<Waiter> waiter, TimePoint deadline)
{
    if (this->hasCapacity()) {
        waiter->link = this->takeIdle(waiter->workspace);
        if (waiter->link)
            co_return true;
        if (this->shouldOpen(waiter->workspace))
            this->startOpening(waiter->workspace);
    } else if (!this->isWorthQueueing(*waiter, deadline, Clock::now())) {
        ++this->refusedEarlyCount;
        waiter->failure.message = "the member is busy for longer than the statement may wait";
        co_return false;
    }
    this->waiters.add(waiter);
    this->recordNeed(Clock::now());
    waiter->timer.expires_after(this->waitBeforeOpening(deadline - Clock::now()));
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    // A cancellation may come after the timer has expired, and then has no effect on the wait.
    if (!waiter->ended && Clock::now() < deadline) {
        // The lent connections may be bound to idle transactions and not come back soon.
        if (this->hasCapacity())
            this->startOpening(waiter->workspace);
        waiter->timer.expires_after(deadline - Clock::now());
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->waiters.expire(waiter, Clock::now());
    co_return waiter->link != nullptr;
}

// A gateway leaves half of the wait for the opening: short waits would otherwise end while the connection is opened.
Duration TargetPool::waitBeforeOpening(Duration wait) const
{
    return std::min<Duration>(this->demandShare ? wait / 2 : wait, maxWaitBeforeOpening);
}

// True if a statement that finds no free place will probably be served in time.
bool TargetPool::isWorthQueueing(QueuedStatement& statement, TimePoint deadline, TimePoint now) const
{
    if (!this->demandShare)
        return true;
    std::size_t before = this->waiters.countBefore(statement.priority, statement.rank);
    statement.expectedWait = MemberQueue::expectedWait(before, this->places(now), this->limit.meanResponse());
    return this->waiters.isServedInTime(statement, deadline - now, now);
}

// Records how many of the statements here need this member.
void TargetPool::recordNeed(TimePoint now)
{
    if (!this->demandShare)
        return;
    MemberDemand all = this->demand(now);
    std::size_t count = all.running + all.waiting;
    this->reserve.record(count - std::min(count, this->replaceableReads), now);
}

bool TargetPool::isReserved(TimePoint now) const
{
    return this->demandShare && !this->reserve.admitsRead(this->replaceableReads, this->places(now), now);
}

// Records that a connection has ended, and serves a waiting statement in its place.
void TargetPool::recordClosed()
{
    --this->connectionCount;
    this->serveNext();
}

bool TargetPool::hasCapacity() const { return this->inUse() < this->places(Clock::now()) + this->idleInTransaction; }

std::size_t TargetPool::places(TimePoint now) const
{
    if (!this->demandShare)
        return this->window.size();
    MemberDemand own = this->demand(now);
    // The share is asked for on behalf of another statement.
    own.waiting = std::max(own.waiting, 1u);
    return this->demandShare->places(this->record.maxConcurrentStatements, own, now);
}

MemberDemand TargetPool::demand(TimePoint now) const
{
    constexpr double percent = 100;
    MemberDemand demand;
    demand.member = this->key;
    demand.running = static_cast<std::uint32_t>(this->inUse() - std::min(this->inUse(), this->idleInTransaction));
    demand.waiting = static_cast<std::uint32_t>(this->waiters.size());
    demand.stretchPercent = static_cast<std::uint32_t>(this->limit.stretch(now) * percent);
    return demand;
}

void TargetPool::recordDemand(
    const std::string& sender, std::int64_t sentAtMs, const MemberDemand& reported, TimePoint now)
{
    if (this->demandShare)
        this->demandShare->recordReport(sender, sentAtMs, reported, now);
}

void TargetPool::serveWaiting() { this->serveNext(); }

void TargetPool::recordIdleInTransaction(bool becomesIdle)
{
    this->idleInTransaction += becomesIdle ? 1 : -1;
    this->recordNeed(Clock::now());
    if (becomesIdle)
        this->serveNext();
}

// Gives an idle connection to the first waiting statement, or opens one for it, if the send window allows.
void TargetPool::serveNext()
{
    if (this->demandShare)
        return this->serveByOrder();
    if (this->waiters.empty() || !this->hasCapacity())
        return;
    std::string workspace = this->waiters.front()->workspace;
    auto link = this->takeIdle(workspace);
    if (!link) {
        if (this->shouldOpen(workspace))
            this->startOpening(workspace);
        return;
    }
    this->give(this->waiters.frontOf(workspace), std::move(link));
}

// Gives a waiting statement a connection, which counts as lent already.
void TargetPool::give(const MemberQueue::Item& item, std::shared_ptr<TargetLink> link)
{
    this->waiters.take(item, Clock::now());
    Waiter& waiter = static_cast<Waiter&>(*item);
    waiter.link = std::move(link);
    waiter.ended = true;
    waiter.timer.cancel();
}

// True if a connection of the statement's workspace is idle or can be opened.
bool TargetPool::canServe(const QueuedStatement& statement) const
{
    if (this->hasIdle(statement.workspace))
        return true;
    bool canOpen = this->connectionCount < this->connectionLimit()
        || (this->connectionCount == this->connectionLimit() && !this->idle.empty());
    return canOpen && this->shouldOpen(statement.workspace);
}

// Gives the free places to waiting statements in the order of the queue, passing over those of workspaces without a
// connection.
void TargetPool::serveByOrder()
{
    while (!this->waiters.empty() && this->hasCapacity()) {
        auto item = this->waiters.next(this->places(Clock::now()), this->inUseByWorkspace,
            [this](const QueuedStatement& statement) { return this->canServe(statement); });
        if (!item)
            return;
        if (auto link = this->takeIdle(item->workspace))
            this->give(item, std::move(link));
        else
            this->startOpening(item->workspace);
    }
}

void TargetPool::release(std::shared_ptr<TargetLink> link)
{
    this->replaceableReads -= this->lentReplaceably.erase(link.get());
    this->recordReturned(link->workspace());
    this->recordNeed(Clock::now());
    if (link->isOpen() && link->state() == TransactionState::Idle && this->connectionCount <= this->connectionLimit())
        return this->makeAvailable(std::move(link));
    link->close();
    this->recordClosed();
}

void TargetPool::recordReturned(const std::string& workspace)
{
    auto found = this->inUseByWorkspace.find(workspace);
    if (found != this->inUseByWorkspace.end() && !--found->second)
        this->inUseByWorkspace.erase(found);
}

void TargetPool::makeAvailable(std::shared_ptr<TargetLink> link)
{
    auto next = this->demandShare || !this->hasCapacity() ? nullptr : this->waiters.frontOf(link->workspace());
    if (next) {
        ++this->inUseByWorkspace[link->workspace()];
        return this->give(next, std::move(link));
    }
    this->idle.push_back({ std::move(link), Clock::now() });
    // The member is at its connection limit, so unused connections are closed to let other instances connect.
    if (this->isConnectionLimited())
        this->dropIdleBeyond(0);
    while (!this->idle.empty() && this->connectionCount > this->share)
        this->dropOldestIdle();
    this->serveNext();
}

void TargetPool::recordReply(Duration took, bool wrote, const Position& reported, TimePoint now)
{
    this->window.recordReply(this->inUse() - this->idleInTransaction);
    this->recorder.recordReply(now - took, wrote, now);
    double ms = std::chrono::duration<double, std::milli>(took).count();
    this->averageResponseTimeMs += smoothingWeight * (ms - this->averageResponseTimeMs);
    if (reported.term)
        this->position = reported;
    if (reported >= this->unmetPosition)
        this->behindRetryDelay = Milliseconds(0);
}

void TargetPool::recordLagging(const Position& minPosition, const Position& had, TimePoint now)
{
    this->unmetPosition = minPosition;
    this->position = had;
    if (now < this->behindUntil)
        return;
    this->behindRetryDelay = std::clamp(this->behindRetryDelay * 2, minBehindRetryDelay, maxBehindRetryDelay);
    this->behindUntil = now + this->behindRetryDelay;
}

void TargetPool::recordLag(Duration observedLag, TimePoint now)
{
    // A peer's observation may arrive after a later one made here.
    if (now < this->lagObservedAt)
        return;
    this->lag = observedLag;
    this->lagObservedAt = now;
}

bool TargetPool::lagsBeyond(Duration maxAge, TimePoint now) const
{
    return this->lag >= maxAge && now - this->lagObservedAt < lagLifetime;
}

bool TargetPool::seemsBehind(const Position& minPosition, TimePoint now) const
{
    return now < this->behindUntil && this->position < minPosition;
}

void TargetPool::recordFailure(TimePoint sentAt, bool lostWrite, TimePoint now)
{
    // The failure may affect all connections to the member, so the next statement opens a new one.
    this->closeAll();
    this->recorder.recordFailure(sentAt, lostWrite, now);
}

void TargetPool::closeIdle(TimePoint now)
{
    for (auto item = this->idle.begin(); item != this->idle.end();) {
        if (now - item->since < (this->idle.size() > this->maxIdle ? this->surplusLifetime : idleLifetime)) {
            ++item;
            continue;
        }
        item->link->close();
        item = this->idle.erase(item);
        --this->connectionCount;
    }
}

void TargetPool::closeAll() { this->dropIdleBeyond(0); }

void TargetPool::recordSpeed(const WorkKind& kind, Duration took, bool failed, TimePoint now)
{
    if (!this->speed)
        return;
    if (failed)
        return this->speed->recordFailure(this->record.id, kind, took, now);
    this->speed->recordReply(this->record.id, kind, took, now);
    this->limit.recordReply(took, now);
}

void TargetPool::recordBusy(TimePoint now)
{
    this->window.recordRefusal();
    this->limit.recordBusy(now);
}

void TargetPool::recordSent(TimePoint now)
{
    if (this->speed)
        this->speed->recordSent(this->record.id, now);
}

MemberLoad TargetPool::load(const std::string& workspace, const WorkKind& kind, TimePoint now) const
{
    MemberLoad load;
    load.id = this->record.id;
    load.inFlight = this->inUse() + this->waiters.size();
    load.maxConcurrentStatements = this->record.maxConcurrentStatements;
    load.responseTime = Milliseconds(static_cast<std::int64_t>(this->averageResponseTimeMs));
    if (this->speed) {
        load.responseTime = this->speed->expectedTime(this->record.id, kind).value_or(MemberLoad {}.responseTime);
        load.needsProbe = this->speed->needsProbe(this->record.id, now);
    }
    if (this->demandShare) {
        load.inFlight -= std::min(load.inFlight, this->idleInTransaction);
        load.maxConcurrentStatements = this->places(now);
    }
    load.hasIdleConnection = this->hasIdle(workspace);
    load.atSendLimit = !this->hasCapacity() || (!load.hasIdleConnection && this->inUse() >= this->connectionLimit());
    load.isSuspect = this->recorder.isSuspect(now);
    return load;
}

} // namespace catkinlock
