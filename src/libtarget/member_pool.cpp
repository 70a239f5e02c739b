#include "catkinlock/member_pool.h"

#include "catkinlock/target_connection.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t mostWaitersPerWorkspace = 256;

} // namespace

MemberPool::Loan::Loan(std::shared_ptr<MemberPool> pool, std::shared_ptr<TargetConnection> connection,
    std::string workspace, bool needsReset)
    : connection(std::move(connection))
    , needsReset(needsReset)
    , pool(std::move(pool))
    , workspace(std::move(workspace))
{
}

MemberPool::Loan::~Loan() { this->pool->giveBack(this->connection, this->workspace); }

MemberPool::MemberPool(asio::any_io_executor executor, std::string address, std::size_t answerBytes)
    : executor(std::move(executor))
    , address(std::move(address))
    , answerBytes(answerBytes)
    , queue(mostWaitersPerWorkspace)
{
}

asio::awaitable<tl::expected<std::shared_ptr<MemberPool::Loan>, Refusal>> MemberPool::acquire(
    std::string workspace, std::uint32_t weight, TimePoint deadline)
{
    auto self = this->shared_from_this();
    if (this->busy < this->limit && !this->queue.size()) {
        ++this->busy;
        co_return co_await this->lend(std::move(workspace), deadline);
    }
    if (!this->limit)
        co_return tl::unexpected(notRun("no_connections", "this instance holds no connections to the database"));
    std::uint64_t id = this->nextTicket++;
    if (!this->queue.push(workspace, weight, { id, deadline }))
        co_return tl::unexpected(
            notRun("queue_full", "too many requests of this workspace wait for the database; try again later"));
    auto ticket = std::make_shared<Ticket>();
    ticket->timer = std::make_shared<asio::steady_timer>(this->executor, deadline - Clock::now());
    this->tickets[id] = ticket;
    co_await ticket->timer->async_wait(asio::as_tuple(asio::use_awaitable));
    this->tickets.erase(id);
    if (!ticket->called) {
        this->queue.remove(workspace, id);
        co_return tl::unexpected(notRun("deadline", "no connection to the database came free before the deadline"));
    }
    co_return co_await this->lend(std::move(workspace), deadline);
}

asio::awaitable<tl::expected<std::shared_ptr<MemberPool::Loan>, Refusal>> MemberPool::lend(
    std::string workspace, TimePoint deadline)
{
    while (!this->idle.empty()) {
        Idle found = std::move(this->idle.back());
        this->idle.pop_back();
        if (found.connection->isIdle())
            co_return std::make_shared<Loan>(
                this->shared_from_this(), found.connection, workspace, found.workspace != workspace);
        --this->openCount;
    }
    auto connection = std::make_shared<TargetConnection>(this->executor, this->answerBytes);
    ++this->openCount;
    auto connected = co_await connection->connect(this->address, deadline);
    if (!connected) {
        --this->openCount;
        this->freeOne();
        co_return tl::unexpected(notRun("target_unreachable", connected.error().message));
    }
    co_return std::make_shared<Loan>(this->shared_from_this(), connection, workspace, false);
}

void MemberPool::giveBack(std::shared_ptr<TargetConnection> connection, const std::string& workspace)
{
    bool clean = connection->isIdle();
    if (clean && this->openCount <= this->limit)
        this->idle.push_back({ std::move(connection), workspace });
    else {
        connection->close();
        --this->openCount;
    }
    this->freeOne();
}

void MemberPool::freeOne()
{
    --this->busy;
    this->callNext();
}

void MemberPool::callNext()
{
    while (this->busy < this->limit) {
        auto waiter = this->queue.pop(Clock::now());
        if (!waiter)
            return;
        auto ticket = this->tickets.find(waiter->id);
        if (ticket == this->tickets.end())
            continue;
        ++this->busy;
        ticket->second->called = true;
        ticket->second->timer->cancel();
    }
}

void MemberPool::setLimit(std::size_t newLimit)
{
    this->limit = newLimit;
    while (!this->idle.empty() && this->openCount > this->limit) {
        this->idle.pop_back();
        --this->openCount;
    }
    this->callNext();
}

asio::awaitable<void> MemberPool::warmUp(std::size_t count, TimePoint deadline)
{
    auto self = this->shared_from_this();
    while (this->idle.size() + this->busy < std::min(count, this->limit)) {
        // A connection that is being opened counts as busy, so that the bound holds meanwhile.
        ++this->busy;
        ++this->openCount;
        auto connection = std::make_shared<TargetConnection>(this->executor, this->answerBytes);
        auto connected = co_await connection->connect(this->address, deadline);
        this->giveBack(connection, "");
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
