#include "libsession/target_pool.h"

#include "libsession/spawn.h"
#include "libsession/target_link.h"
#include <algorithm>
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds openTimeout { 700 };
    // Statements that may wait for each connection of their workspace before another one is opened.
    constexpr std::size_t waitersPerConnection = 2;
    // A statement waits no longer than this for one that is in use.
    constexpr Milliseconds openAnywayAfter { 40 };
    constexpr Milliseconds idleLifetime { 30000 };
    constexpr Milliseconds surplusIdleLifetime { 2000 };
    // Several times its share is what a busy instance may hold while others are idle.
    constexpr std::size_t mostShares = 3;
    constexpr Milliseconds pressedTime { 500 };
    constexpr Milliseconds openAgainAfter { 15 };
    constexpr Milliseconds suspectFor { 1500 };
    // A member that lags is asked again after this time, which doubles while it lags.
    constexpr Milliseconds firstBehindPause { 40 };
    constexpr Milliseconds longestBehindPause { 1000 };
    // A replica that fell behind is asked again after this time.
    constexpr Milliseconds lagLifetime { 600 };
    constexpr unsigned failuresUntilSuspect = 2;
    // Weight of a new time in the smoothed one.
    constexpr double timeWeight = 0.1;

} // namespace

struct TargetPool::Waiter {
    Waiter(const asio::any_io_executor& executor, std::string workspace, std::uint32_t priority)
        : timer(executor)
        , workspace(std::move(workspace))
        , priority(priority)
    {
    }
    asio::steady_timer timer;
    std::string workspace;
    std::uint32_t priority;
    std::shared_ptr<TargetLink> given;
    // What the statement is told if it gets no connection.
    LinkFailure failure { false, StatementError::Busy, "all connections to the member are in use" };
};

TargetPool::TargetPool(
    asio::any_io_executor executor, std::shared_ptr<const TargetProtocol> protocol, TargetRecord record)
    : executor(std::move(executor))
    , protocol(std::move(protocol))
    , record(std::move(record))
{
}

void TargetPool::setTarget(const TargetRecord& next) { this->record = next; }

void TargetPool::setShare(std::size_t connections)
{
    this->share = std::max<std::size_t>(connections, 1);
    this->mostIdle = connections / 2;
}

bool TargetPool::isPressed() const { return Clock::now() < this->pressedUntil; }

std::size_t TargetPool::limit() const { return this->isPressed() ? this->share : this->share * mostShares; }

std::shared_ptr<TargetLink> TargetPool::takeIdle(const std::string& workspace)
{
    // The one used last is the least likely to have gone silent.
    for (auto it = this->idle.rbegin(); it != this->idle.rend(); ++it) {
        if (it->link->workspace() != workspace)
            continue;
        auto link = it->link;
        this->idle.erase(std::next(it).base());
        ++this->lent[workspace];
        return link;
    }
    return nullptr;
}

void TargetPool::dropOldestIdle()
{
    this->idle.front().link->close();
    this->idle.pop_front();
    --this->opened;
}

void TargetPool::dropIdleBeyond(std::size_t count)
{
    while (this->idle.size() > count)
        this->dropOldestIdle();
}

std::shared_ptr<TargetPool::Waiter> TargetPool::takeWaiter(const std::string& workspace)
{
    auto found = std::find_if(this->waiters.begin(), this->waiters.end(),
        [&workspace](const auto& waiter) { return waiter->workspace == workspace; });
    if (found == this->waiters.end())
        return nullptr;
    auto waiter = *found;
    this->waiters.erase(found);
    return waiter;
}

// An opening takes a slot of the member for as long as a short statement, so a statement rather waits for a connection
// of its workspace that comes back soon.
bool TargetPool::shouldOpen(const std::string& workspace) const
{
    auto found = this->lent.find(workspace);
    std::size_t coming = found == this->lent.end() ? 0 : found->second;
    // The statement itself may be among those that wait.
    auto ahead = static_cast<std::size_t>(std::count_if(this->waiters.begin(), this->waiters.end(),
        [&workspace](const auto& waiter) { return waiter->workspace == workspace; }));
    return ahead >= coming * waitersPerConnection;
}

void TargetPool::startOpening(const std::string& workspace)
{
    if (this->opened >= this->limit() && !this->idle.empty())
        this->dropOldestIdle();
    if (this->opened >= this->limit())
        return;
    ++this->opened;
    ++this->lent[workspace];
    spawn(this->executor, [self = this->shared_from_this(), workspace] { return self->openFor(workspace); });
}

// An opening outlives the statement that asked for it: the next one of the workspace finds the connection.
asio::awaitable<void> TargetPool::openFor(std::string workspace)
{
    auto self = this->shared_from_this();
    ++this->handshakeCount;
    auto link = std::make_shared<TargetLink>(this->executor, this->protocol);
    TargetRecord target = this->record;
    auto opening = co_await link->open(target, workspace, openTimeout);
    this->noteReturned(workspace);
    if (opening) {
        this->handOver(link);
        co_return;
    }
    if (!opening.error().refusal)
        this->noteFailure(false, Clock::now());
    link->close();
    if (opening.error().refusal == StatementError::ConnectionLimit) {
        this->pressedUntil = Clock::now() + pressedTime;
        this->dropIdleBeyond(0);
        --this->opened;
        spawn(this->executor, [self, workspace] { return self->openLater(workspace); });
        co_return;
    }
    if (auto waiter = this->takeWaiter(workspace)) {
        waiter->failure = opening.error();
        waiter->timer.cancel();
    }
    this->releasePlace();
}

// A member that has too many connections gets room as soon as some instance gives one back.
asio::awaitable<void> TargetPool::openLater(std::string workspace)
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->executor, openAgainAfter);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->isWaitedFor(workspace) && this->hasRoom())
        this->startOpening(workspace);
}

bool TargetPool::isWaitedFor(const std::string& workspace) const
{
    return std::any_of(this->waiters.begin(), this->waiters.end(),
        [&workspace](const auto& waiter) { return waiter->workspace == workspace; });
}

asio::awaitable<tl::expected<std::shared_ptr<TargetLink>, LinkFailure>> TargetPool::borrow(
    std::string workspace, std::uint32_t priority, TimePoint deadline)
{
    auto self = this->shared_from_this();
    if (this->hasRoom()) {
        if (auto link = this->takeIdle(workspace))
            co_return link;
        if (this->shouldOpen(workspace))
            this->startOpening(workspace);
    }
    auto waiter = std::make_shared<Waiter>(this->executor, workspace, priority);
    auto place = std::find_if(this->waiters.begin(), this->waiters.end(),
        [priority](const auto& other) { return other->priority > priority; });
    this->waiters.insert(place, waiter);
    Duration patience = std::min<Duration>(deadline - Clock::now(), openAnywayAfter);
    waiter->timer.expires_after(patience);
    auto [cancelled] = co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!cancelled && Clock::now() < deadline) {
        // What was in use may be bound to a transaction that rests.
        if (this->hasRoom())
            this->startOpening(workspace);
        waiter->timer.expires_after(deadline - Clock::now());
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (waiter->given)
        co_return waiter->given;
    this->waiters.remove(waiter);
    co_return tl::unexpected(waiter->failure);
}

// A connection has ended: one is opened in its place if a statement waits for it.
void TargetPool::releasePlace()
{
    --this->opened;
    this->serveNext();
}

bool TargetPool::hasRoom() const { return this->inUse() < this->window.size() + this->resting; }

void TargetPool::noteResting(bool rests)
{
    this->resting += rests ? 1 : -1;
    if (rests)
        this->serveNext();
}

// Gives the statement that waits first what it waits for, if the member has room.
void TargetPool::serveNext()
{
    if (this->waiters.empty() || !this->hasRoom())
        return;
    std::string workspace = this->waiters.front()->workspace;
    auto link = this->takeIdle(workspace);
    if (!link) {
        if (this->shouldOpen(workspace))
            this->startOpening(workspace);
        return;
    }
    auto waiter = this->takeWaiter(workspace);
    waiter->given = std::move(link);
    waiter->timer.cancel();
}

void TargetPool::giveBack(std::shared_ptr<TargetLink> link)
{
    this->noteReturned(link->workspace());
    if (link->isOpen() && link->state() == TransactionState::Idle && this->opened <= this->limit())
        return this->handOver(std::move(link));
    link->close();
    this->releasePlace();
}

void TargetPool::noteReturned(const std::string& workspace)
{
    auto found = this->lent.find(workspace);
    if (found != this->lent.end() && !--found->second)
        this->lent.erase(found);
}

void TargetPool::handOver(std::shared_ptr<TargetLink> link)
{
    if (this->hasRoom()) {
        if (auto waiter = this->takeWaiter(link->workspace())) {
            ++this->lent[link->workspace()];
            waiter->given = std::move(link);
            waiter->timer.cancel();
            return;
        }
    }
    this->idle.push_back({ std::move(link), Clock::now() });
    // While others can't connect, nobody keeps a connection that it does not use.
    if (this->isPressed())
        this->dropIdleBeyond(0);
    while (!this->idle.empty() && this->opened > this->share)
        this->dropOldestIdle();
    this->serveNext();
}

void TargetPool::noteAnswer(Duration took, bool wrote, const Position& at, TimePoint now)
{
    this->window.noteAnswered(this->inUse() - this->resting);
    this->seen.lastSuccess = now;
    this->seen.failures = 0;
    if (wrote)
        this->seen.lostWrites = 0;
    double ms = std::chrono::duration<double, std::milli>(took).count();
    this->typicalMs += timeWeight * (ms - this->typicalMs);
    if (at.term)
        this->position = at;
    if (at >= this->behindFloor)
        this->behindPause = Milliseconds(0);
}

void TargetPool::noteLagging(const Position& floor, const Position& had, TimePoint now)
{
    this->behindFloor = floor;
    this->position = had;
    if (now < this->behindUntil)
        return;
    this->behindPause = std::clamp(this->behindPause * 2, firstBehindPause, longestBehindPause);
    this->behindUntil = now + this->behindPause;
}

void TargetPool::noteLag(Duration seen, TimePoint now)
{
    // What another instance saw may arrive after what was seen here.
    if (now < this->lagSeenAt)
        return;
    this->lag = seen;
    this->lagSeenAt = now;
}

bool TargetPool::lagsBeyond(Duration maxAge, TimePoint now) const
{
    return this->lag >= maxAge && now - this->lagSeenAt < lagLifetime;
}

bool TargetPool::seemsBehind(const Position& floor, TimePoint now) const
{
    return now < this->behindUntil && this->position < floor;
}

void TargetPool::noteFailure(bool lostWrite, TimePoint now)
{
    // Connections may have gone silent together, so the next statement opens a new one.
    this->closeAll();
    if (!this->seen.failures++)
        this->seen.failingSince = now;
    this->seen.lastFailure = now;
    if (!lostWrite)
        return;
    this->seen.lastLostWrite = now;
    if (!this->seen.lostWrites++)
        this->seen.losingWritesSince = now;
}

void TargetPool::closeIdle(TimePoint now)
{
    while (!this->idle.empty()) {
        bool surplus = this->idle.size() > this->mostIdle;
        if (now - this->idle.front().since < (surplus ? surplusIdleLifetime : idleLifetime))
            break;
        this->dropOldestIdle();
    }
}

void TargetPool::closeAll() { this->dropIdleBeyond(0); }

MemberLoad TargetPool::load(const std::string& workspace, TimePoint now) const
{
    MemberLoad load;
    load.id = this->record.id;
    load.inFlight = this->inUse() + this->waiters.size();
    load.slots = this->record.slots;
    load.typicalTime = Milliseconds(static_cast<std::int64_t>(this->typicalMs));
    load.hasConnection = std::any_of(this->idle.begin(), this->idle.end(),
        [&workspace](const Idle& item) { return item.link->workspace() == workspace; });
    load.isFull = !this->hasRoom() || (!load.hasConnection && this->inUse() >= this->limit());
    load.isSuspect = this->seen.failures >= failuresUntilSuspect && now - this->seen.lastFailure < suspectFor;
    return load;
}

} // namespace catkinlock
