#include "catkinlock/member_pool.h"

#include "catkinlock/target_connection.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t maxWaitersPerWorkspace = 256;

} // namespace

MemberPool::Handle::Handle(std::shared_ptr<MemberPool> pool, std::shared_ptr<TargetConnection> connection,
    std::string workspace, bool needsReset)
    : connection(std::move(connection))
    , needsReset(needsReset)
    , pool(std::move(pool))
    , workspace(std::move(workspace))
{
}

MemberPool::Handle::~Handle() { this->pool->release(this->connection, this->workspace); }

MemberPool::MemberPool(asio::any_io_executor executor, std::string address, std::size_t maxResponseBytes)
    : executor(std::move(executor))
    , address(std::move(address))
    , maxResponseBytes(maxResponseBytes)
    , queue(maxWaitersPerWorkspace)
{
}

asio::awaitable<tl::expected<std::shared_ptr<MemberPool::Handle>, Refusal>> MemberPool::acquire(
    std::string workspace, std::uint32_t weight, TimePoint deadline)
{
    auto self = this->shared_from_this();
    if (this->reserved < this->limit && !this->queue.size()) {
        ++this->reserved;
        co_return co_await this->checkOut(std::move(workspace), deadline);
    }
    if (!this->limit)
        co_return tl::unexpected(
            notRun("no_connections", "this instance has no share of the connections to the database"));
    std::uint64_t id = this->nextAcquireId++;
    if (!this->queue.push(workspace, weight, { id, deadline }))
        co_return tl::unexpected(
            notRun("queue_full", "the workspace's queue for connections to the database is full; retry later"));
    auto pending = std::make_shared<PendingAcquire>();
    pending->timer = std::make_shared<asio::steady_timer>(this->executor, deadline - Clock::now());
    this->pendingAcquires[id] = pending;
    co_await pending->timer->async_wait(asio::as_tuple(asio::use_awaitable));
    this->pendingAcquires.erase(id);
    if (!pending->granted) {
        this->queue.remove(workspace, id);
        co_return tl::unexpected(
            notRun("deadline", "no connection to the database became available before the deadline"));
    }
    co_return co_await this->checkOut(std::move(workspace), deadline);
}

asio::awaitable<tl::expected<std::shared_ptr<MemberPool::Handle>, Refusal>> MemberPool::checkOut(
    std::string workspace, TimePoint deadline)
{
    while (!this->idle.empty()) {
        IdleConnection found = std::move(this->idle.back());
        this->idle.pop_back();
        if (found.connection->isIdle())
            co_return std::make_shared<Handle>(
                this->shared_from_this(), found.connection, workspace, found.workspace != workspace);
        --this->openCount;
    }
    auto connection = std::make_shared<TargetConnection>(this->executor, this->maxResponseBytes);
    ++this->openCount;
    auto connected = co_await connection->connect(this->address, deadline);
    if (!connected) {
        --this->openCount;
        this->releaseReservation();
        co_return tl::unexpected(notRun("target_unreachable", connected.error().message));
    }
    co_return std::make_shared<Handle>(this->shared_from_this(), connection, workspace, false);
}

void MemberPool::release(std::shared_ptr<TargetConnection> connection, const std::string& workspace)
{
    bool clean = connection->isIdle();
    if (clean && this->openCount <= this->limit)
        this->idle.push_back({ std::move(connection), workspace });
    else {
        connection->close();
        --this->openCount;
    }
    this->releaseReservation();
}

void MemberPool::releaseReservation()
{
    --this->reserved;
    this->serveWaiters();
}

void MemberPool::serveWaiters()
{
    while (this->reserved < this->limit) {
        auto waiter = this->queue.pop(Clock::now());
        if (!waiter)
            return;
        auto pending = this->pendingAcquires.find(waiter->id);
        if (pending == this->pendingAcquires.end())
            continue;
        ++this->reserved;
        pending->second->granted = true;
        pending->second->timer->cancel();
    }
}

void MemberPool::setLimit(std::size_t newLimit)
{
    this->limit = newLimit;
    while (!this->idle.empty() && this->openCount > this->limit) {
        this->idle.pop_back();
        --this->openCount;
    }
    this->serveWaiters();
}

asio::awaitable<void> MemberPool::warmUp(std::size_t count, TimePoint deadline)
{
    auto self = this->shared_from_this();
    while (this->idle.size() + this->reserved < std::min(count, this->limit)) {
        // Reserved while it is being opened, so that the limit is not exceeded meanwhile.
        ++this->reserved;
        ++this->openCount;
        auto connection = std::make_shared<TargetConnection>(this->executor, this->maxResponseBytes);
        auto connected = co_await connection->connect(this->address, deadline);
        this->release(connection, "");
        if (!connected)
            co_return;
    }
}

void MemberPool::closeIdle()
{
    this->openCount -= this->idle.size();
    this->idle.clear();
}

} // namespace catkinlock
