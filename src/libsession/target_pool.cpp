#include "libsession/target_pool.h"

#include "libsession/target_link.h"
#include <algorithm>
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds openTimeout { 700 };
    constexpr Milliseconds idleLifetime { 20000 };
    constexpr Milliseconds suspectFor { 1500 };
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
    bool mayOpen = false;
};

TargetPool::TargetPool(
    asio::any_io_executor executor, std::shared_ptr<const TargetProtocol> protocol, TargetRecord record)
    : executor(std::move(executor))
    , protocol(std::move(protocol))
    , record(std::move(record))
{
}

void TargetPool::setTarget(const TargetRecord& next) { this->record = next; }

std::shared_ptr<TargetLink> TargetPool::takeIdle(const std::string& workspace)
{
    // The one used last is the least likely to have gone silent.
    for (auto it = this->idle.rbegin(); it != this->idle.rend(); ++it) {
        if (it->link->workspace() != workspace)
            continue;
        auto link = it->link;
        this->idle.erase(std::next(it).base());
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

asio::awaitable<tl::expected<std::shared_ptr<TargetLink>, LinkFailure>> TargetPool::openLink(
    std::string workspace, TimePoint deadline)
{
    auto self = this->shared_from_this();
    ++this->handshakeCount;
    auto link = std::make_shared<TargetLink>(this->executor, this->protocol);
    auto timeLeft = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    Milliseconds timeout = std::clamp(timeLeft, Milliseconds(1), openTimeout);
    TargetRecord target = this->record;
    auto opening = co_await link->open(target, workspace, timeout);
    if (!opening) {
        link->close();
        this->releasePlace();
        co_return tl::unexpected(opening.error());
    }
    co_return link;
}

asio::awaitable<tl::expected<std::shared_ptr<TargetLink>, LinkFailure>> TargetPool::borrow(
    std::string workspace, std::uint32_t priority, TimePoint deadline)
{
    auto self = this->shared_from_this();
    if (auto link = this->takeIdle(workspace))
        co_return link;
    if (this->opened >= this->limit && !this->idle.empty())
        this->dropOldestIdle();
    if (this->opened < this->limit) {
        ++this->opened;
        co_return co_await this->openLink(workspace, deadline);
    }
    auto waiter = std::make_shared<Waiter>(this->executor, workspace, priority);
    auto place = std::find_if(this->waiters.begin(), this->waiters.end(),
        [priority](const auto& other) { return other->priority > priority; });
    this->waiters.insert(place, waiter);
    waiter->timer.expires_after(deadline - Clock::now());
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (waiter->given)
        co_return waiter->given;
    if (waiter->mayOpen)
        co_return co_await this->openLink(workspace, deadline);
    this->waiters.remove(waiter);
    LinkFailure failure;
    failure.refusal = StatementError::Busy;
    failure.message = "all connections to the member are in use";
    co_return tl::unexpected(failure);
}

// A connection has ended: the next waiter may open one in its place.
void TargetPool::releasePlace()
{
    if (this->waiters.empty() || this->opened > this->limit) {
        --this->opened;
        return;
    }
    auto waiter = this->waiters.front();
    this->waiters.pop_front();
    waiter->mayOpen = true;
    waiter->timer.cancel();
}

void TargetPool::giveBack(std::shared_ptr<TargetLink> link)
{
    bool usable = link->isOpen() && link->state() == TransactionState::Idle && this->opened <= this->limit;
    if (!usable) {
        link->close();
        return this->releasePlace();
    }
    if (this->waiters.empty()) {
        this->idle.push_back({ std::move(link), Clock::now() });
        return;
    }
    auto waiter = this->waiters.front();
    if (waiter->workspace != link->workspace()) {
        link->close();
        return this->releasePlace();
    }
    this->waiters.pop_front();
    waiter->given = std::move(link);
    waiter->timer.cancel();
}

void TargetPool::noteAnswer(Duration took, bool wrote, const Position& at, TimePoint now)
{
    this->seen.lastSuccess = now;
    this->seen.failures = 0;
    if (wrote)
        this->seen.lostWrites = 0;
    double ms = std::chrono::duration<double, std::milli>(took).count();
    this->typicalMs += timeWeight * (ms - this->typicalMs);
    if (at.term)
        this->position = at;
}

void TargetPool::noteFailure(bool lostWrite, TimePoint now)
{
    if (!this->seen.failures++)
        this->seen.failingSince = now;
    this->seen.lastFailure = now;
    if (lostWrite && !this->seen.lostWrites++)
        this->seen.losingWritesSince = now;
}

void TargetPool::closeIdle(TimePoint now)
{
    while (!this->idle.empty() && now - this->idle.front().since > idleLifetime)
        this->dropOldestIdle();
}

void TargetPool::closeAll()
{
    while (!this->idle.empty())
        this->dropOldestIdle();
}

MemberLoad TargetPool::load(const std::string& workspace, TimePoint now) const
{
    MemberLoad load;
    load.id = this->record.id;
    load.inFlight = this->inUse() + this->waiters.size();
    load.slots = this->record.slots;
    load.typicalTime = Milliseconds(static_cast<std::int64_t>(this->typicalMs));
    load.hasConnection = std::any_of(this->idle.begin(), this->idle.end(),
        [&workspace](const Idle& item) { return item.link->workspace() == workspace; });
    load.isFull = !load.hasConnection && this->inUse() >= this->limit;
    load.isSuspect
        = this->seen.failures >= failuresUntilSuspect && now - this->seen.lastFailure < suspectFor;
    return load;
}

} // namespace catkinlock
