#include "catkinlock/group_gateway.h"

#include "catkinlock/member_pool.h"
#include "catkinlock/target_connection.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Interval of the failover state machine, and of polls while readers wait for a replica to apply its log.
    constexpr Milliseconds failoverTick { 25 };
    constexpr Milliseconds reconnectDelay { 50 };
    // How long another gateway's report that it reaches the primary is taken as valid.
    constexpr Milliseconds reachedByOtherLifetime { 2000 };
    constexpr Milliseconds otherGatewaysQueryInterval { 500 };
    // Maximum time for which a member may delay its response to catkinlock.await() until it holds the position.
    constexpr Milliseconds maxAwaitTime { 200 };
    // Responses on control connections hold only the columns of a status.
    constexpr std::size_t maxControlResponseBytes = 4096;

    std::string numberText(std::uint64_t value) { return fmt::format("{}", value); }

    // Requests the member's status, which the member returns as soon as its log has reached `lsn`, it has promised a
    // term other than `term`, or `maxAwaitTime` has passed. A commit is thus confirmed without waiting for the next
    // poll.
    Statement awaitStatement(std::uint64_t term, std::uint64_t lsn)
    {
        return { "SELECT * FROM catkinlock.await($1, $2, $3)",
            { numberText(term), numberText(lsn), numberText(maxAwaitTime.count()) } };
    }

    Statement orderStatement(const FailoverAction& action, const std::string& primaryAddress)
    {
        std::string term = numberText(action.term);
        switch (action.kind) {
        case FailoverAction::Kind::Fence:
            return { "SELECT * FROM catkinlock.fence($1)", { term } };
        case FailoverAction::Kind::Promote:
            return { "SELECT * FROM catkinlock.promote($1)", { term } };
        case FailoverAction::Kind::Follow:
            break;
        }
        return { "SELECT * FROM catkinlock.follow($1, $2)", { term, primaryAddress } };
    }

} // namespace

GroupGateway::GroupGateway(asio::any_io_executor executor, Database database, GatewayOptions options, Log log,
    QueryOtherGateways queryOtherGateways)
    : executor(executor)
    , description(std::move(database))
    , options(options)
    , log(std::move(log))
    , queryOtherGateways(std::move(queryOtherGateways))
    , otherGatewaysQueriedAt(Clock::now())
    , state(this->description.members.size(), Clock::now())
    , failover(this->description.members.size(), options.failover, Clock::now())
    , stateChanged(executor)
    , pollRequested(executor)
    , random(std::random_device {}())
    , primaryReachedByOtherAt(Clock::now() - reachedByOtherLifetime)
{
    for (const Member& member : this->description.members)
        this->pools.push_back(std::make_shared<MemberPool>(executor, member.address, options.maxResponseBytes));
}

GroupGateway::~GroupGateway() = default;

void GroupGateway::start()
{
    auto self = this->shared_from_this();
    for (std::size_t member = 0; member < this->description.members.size(); ++member)
        asio::co_spawn(
            this->executor, [self, member] { return self->watchMember(member); }, asio::detached);
    asio::co_spawn(
        this->executor, [self] { return self->tickFailover(); }, asio::detached);
}

void GroupGateway::stop()
{
    asio::dispatch(this->executor, [self = this->shared_from_this()] {
        self->stopped = true;
        self->stateChanged.notifyAll();
        self->pollRequested.notifyAll();
        for (const auto& pool : self->pools) {
            pool->setLimit(0);
            pool->closeIdle();
        }
    });
}

void GroupGateway::setShare(std::size_t connections, unsigned newRank)
{
    asio::dispatch(this->executor, [self = this->shared_from_this(), connections, newRank] {
        self->rank = newRank;
        if (self->connectionShare == connections || self->stopped)
            return;
        self->connectionShare = connections;
        for (const auto& pool : self->pools)
            pool->setLimit(connections);
    });
}

void GroupGateway::recordPrimaryReachedByOther(std::uint64_t term)
{
    if (term && term == this->primaryTerm.load())
        this->primaryReachedByOtherAt.store(Clock::now());
}

bool GroupGateway::isPrimaryReachedByOthers() const
{
    return Clock::now() - this->primaryReachedByOtherAt.load() < reachedByOtherLifetime;
}

// Queries only while this gateway itself can't reach the primary, so that healthy groups cause no messages.
void GroupGateway::queryOthersIfPrimaryUnresponsive(TimePoint now)
{
    auto primary = this->state.primary();
    bool unresponsive = primary && this->state.observation(*primary).consecutiveFailures
        && now - this->state.observation(*primary).lastResponseAt >= this->options.failover.suspectAfter;
    if (!unresponsive || now - this->otherGatewaysQueriedAt < otherGatewaysQueryInterval)
        return;
    this->otherGatewaysQueriedAt = now;
    this->queryOtherGateways();
}

asio::awaitable<void> GroupGateway::watchMember(std::size_t member)
{
    auto self = this->shared_from_this();
    while (!this->stopped) {
        auto connection = std::make_shared<TargetConnection>(this->executor, maxControlResponseBytes);
        auto connected = co_await connection->connect(
            this->description.members[member].address, Clock::now() + this->options.controlTimeout);
        if (!connected) {
            this->state.recordFailure(member, Clock::now());
            this->publish();
            asio::steady_timer retryTimer(this->executor, reconnectDelay);
            co_await retryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        while (!this->stopped && co_await this->pollMember(member, *connection)) {
            const auto& status = this->state.observation(member).status;
            // Members that still lack an awaited position are polled again at once.
            bool behind = status && !status->isPrimary && status->position.lsn < this->awaitedLsn;
            bool readersWait = status && status->appliedLsn < status->position.lsn && this->stateChanged.hasWaiters();
            if (!behind)
                co_await this->pollRequested.wait(
                    Clock::now() + (readersWait ? failoverTick : this->options.pollInterval));
        }
        connection->close();
    }
}

asio::awaitable<bool> GroupGateway::pollMember(std::size_t member, TargetConnection& connection)
{
    const auto& known = this->state.observation(member).status;
    Statement query = statusStatement();
    Milliseconds timeout = this->options.controlTimeout;
    if (known && !known->isPrimary && known->position.lsn < this->awaitedLsn) {
        query = awaitStatement(known->promisedTerm, this->awaitedLsn);
        timeout += maxAwaitTime;
    }
    TimePoint requestedAt = Clock::now();
    auto response = co_await connection.runOne(std::move(query), requestedAt + timeout);
    auto status = response ? parseStatus(*response) : tl::unexpected(response.error());
    if (!status) {
        this->state.recordFailure(member, Clock::now());
        this->publish();
        co_return false;
    }
    this->state.observe(member, *status, requestedAt, Clock::now());
    this->publish();
    co_return true;
}

// Updates the values that other threads read, and wakes the requests that wait for a change of the state.
void GroupGateway::publish()
{
    auto primary = this->state.primary();
    this->primaryReached.store(primary && !this->state.observation(*primary).consecutiveFailures);
    this->primaryTerm.store(primary ? this->state.observation(*primary).status->position.term : 0);
    if (primary && this->warmedTerm != this->primaryTerm.load() && this->connectionShare) {
        // Opens connections to a new primary ahead of use, so that the first writes after a failover need not wait for
        // them.
        this->warmedTerm = this->primaryTerm.load();
        auto pool = this->pools[*primary];
        std::size_t count = (this->connectionShare + 1) / 2;
        TimePoint deadline = Clock::now() + this->options.connectTimeout;
        asio::co_spawn(
            this->executor, [pool, count, deadline] { return pool->warmUp(count, deadline); }, asio::detached);
    }
    this->stateChanged.notifyAll();
}

asio::awaitable<void> GroupGateway::tickFailover()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->executor);
    while (!this->stopped) {
        timer.expires_after(failoverTick);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        TimePoint now = Clock::now();
        this->queryOthersIfPrimaryUnresponsive(now);
        double jitter = std::uniform_real_distribution<double>(0, 1)(this->random);
        bool wasElecting = this->failover.electing();
        auto actions = this->failover.tick(this->state, now, this->rank, this->isPrimaryReachedByOthers(), jitter);
        if (!wasElecting && this->failover.electing()) {
            ++this->counters.elections;
            this->log("election_started", fmt::format("database {} term {}", this->description.name, actions[0].term));
        }
        this->startActions(actions);
    }
}

void GroupGateway::startActions(const std::vector<FailoverAction>& actions)
{
    auto self = this->shared_from_this();
    for (const FailoverAction& action : actions)
        asio::co_spawn(
            this->executor, [self, action] { return self->runAction(action); }, asio::detached);
}

asio::awaitable<void> GroupGateway::runAction(FailoverAction action)
{
    auto self = this->shared_from_this();
    // Each order uses its own connection, so that a late response can't be taken for the response to a later order.
    auto connection = std::make_shared<TargetConnection>(this->executor, maxControlResponseBytes);
    TimePoint deadline = Clock::now() + this->options.controlTimeout;
    auto connected = co_await connection->connect(this->description.members[action.member].address, deadline);
    if (!connected)
        co_return;
    TimePoint requestedAt = Clock::now();
    Statement order = orderStatement(action, this->description.members[action.primary].address);
    auto response = co_await connection->runOne(std::move(order), deadline);
    connection->close();
    auto status = response ? parseStatus(*response) : tl::unexpected(response.error());
    if (!status)
        co_return;
    bool accepted = wasAccepted(*response);
    this->state.observe(action.member, *status, requestedAt, Clock::now());
    if (action.kind == FailoverAction::Kind::Fence)
        this->startActions(
            this->failover.handleFenceResponse(action.member, action.term, accepted, *status, Clock::now()));
    if (action.kind == FailoverAction::Kind::Promote
        && this->failover.handlePromoteResponse(action.member, action.term, accepted)) {
        ++this->counters.electionsWon;
        this->log("primary_promoted",
            fmt::format("database {} term {} member {}", this->description.name, action.term,
                this->description.members[action.member].name));
    }
    this->publish();
}

asio::awaitable<DatabaseResult> GroupGateway::execute(DatabaseRequest request)
{
    auto self = this->shared_from_this();
    // GCC 12 destroys a closure that is written inside a co_await expression twice.
    auto work = [self, &request] { return self->executeOnStrand(std::move(request)); };
    co_return co_await asio::co_spawn(this->executor, work, asio::use_awaitable);
}

asio::awaitable<DatabaseResult> GroupGateway::executeOnStrand(DatabaseRequest request)
{
    if (this->stopped)
        co_return tl::unexpected(
            notRun("leaving", "this instance has stopped serving the database; retry at another one"));
    // Not a conditional expression: GCC 12 destroys the results of co_await in one twice.
    DatabaseResult result;
    if (request.readOnly && request.kind == DatabaseRequest::Kind::Transaction)
        result = co_await this->read(request);
    else
        result = co_await this->write(request);
    if (!result && result.error().outcome == Outcome::Unknown)
        ++this->counters.unknownOutcomes;
    co_return result;
}

asio::awaitable<std::optional<std::size_t>> GroupGateway::waitForPrimary(TimePoint deadline)
{
    for (;;) {
        auto primary = this->state.primary();
        if (primary && !this->state.observation(*primary).consecutiveFailures)
            co_return primary;
        // If another gateway reaches the primary, the request is refused at once, so that it can be run there.
        if (Clock::now() >= deadline || this->stopped || this->isPrimaryReachedByOthers())
            co_return std::nullopt;
        co_await this->stateChanged.wait(deadline);
    }
}

asio::awaitable<bool> GroupGateway::awaitConfirmed(Position position, TimePoint deadline)
{
    while (!this->state.confirmed(position)) {
        // Once a member has promised a newer term, a majority may never confirm a position of an older one.
        bool superseded = this->state.newestPromisedTerm() > position.term;
        if (superseded || Clock::now() >= deadline)
            co_return false;
        if (this->awaitedLsn < position.lsn) {
            this->awaitedLsn = position.lsn;
            this->pollRequested.notifyAll();
        }
        co_await this->stateChanged.wait(deadline);
    }
    co_return true;
}

} // namespace catkinlock
