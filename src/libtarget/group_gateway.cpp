#include "catkinlock/group_gateway.h"

#include "catkinlock/member_pool.h"
#include "catkinlock/target_connection.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds failoverTick { 25 };
    constexpr Milliseconds reconnectPause { 50 };
    // How long another gateway's word that it reached the primary counts.
    constexpr Milliseconds reachedByOtherLifetime { 2000 };
    constexpr Milliseconds askOthersInterval { 500 };
    // Longest time that a member is asked to hold back its answer until a position is reached.
    constexpr Milliseconds awaitLimit { 200 };
    // An answer may hold the columns of a status only.
    constexpr std::size_t controlAnswerBytes = 4096;

    std::string numberText(std::uint64_t value) { return fmt::format("{}", value); }

    // A question that is answered as soon as the member's position is there, instead of at the next poll.
    Statement awaitStatement(std::uint64_t term, std::uint64_t lsn)
    {
        return { "SELECT * FROM catkinlock.await($1, $2, $3)",
            { numberText(term), numberText(lsn), numberText(awaitLimit.count()) } };
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

GroupGateway::GroupGateway(
    asio::any_io_executor executor, Database database, GatewayOptions options, Log log, AskOthers askOthers)
    : executor(executor)
    , description(std::move(database))
    , options(options)
    , log(std::move(log))
    , askOthers(std::move(askOthers))
    , askedOthersAt(Clock::now())
    , state(this->description.members.size(), Clock::now())
    , failover(this->description.members.size(), options.failover, Clock::now())
    , changed(executor)
    , wanted(executor)
    , random(std::random_device {}())
    , reachedByOtherAt(Clock::now() - reachedByOtherLifetime)
{
    for (const Member& member : this->description.members)
        this->pools.push_back(std::make_shared<MemberPool>(executor, member.address, options.answerBytes));
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
        self->changed.notifyAll();
        self->wanted.notifyAll();
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

void GroupGateway::noteReachedByOther(std::uint64_t term)
{
    if (term && term == this->knownTerm.load())
        this->reachedByOtherAt.store(Clock::now());
}

bool GroupGateway::isReachedByOthers() const
{
    return Clock::now() - this->reachedByOtherAt.load() < reachedByOtherLifetime;
}

// Only a gateway that misses the primary asks, so that sound groups cost no message.
void GroupGateway::askOthersIfCutOff(TimePoint now)
{
    auto primary = this->state.primary();
    bool cutOff = primary && this->state.observation(*primary).consecutiveFailures
        && now - this->state.observation(*primary).lastResponseAt >= this->options.failover.suspectAfter;
    if (!cutOff || now - this->askedOthersAt < askOthersInterval)
        return;
    this->askedOthersAt = now;
    this->askOthers();
}

asio::awaitable<void> GroupGateway::watchMember(std::size_t member)
{
    auto self = this->shared_from_this();
    while (!this->stopped) {
        auto connection = std::make_shared<TargetConnection>(this->executor, controlAnswerBytes);
        auto connected = co_await connection->connect(
            this->description.members[member].address, Clock::now() + this->options.controlTimeout);
        if (!connected) {
            this->state.recordFailure(member, Clock::now());
            this->publish();
            asio::steady_timer pause(this->executor, reconnectPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        while (!this->stopped && co_await this->askMember(member, *connection)) {
            const auto& status = this->state.observation(member).status;
            bool behind = status && !status->isPrimary && status->position.lsn < this->awaitedLsn;
            bool readersWait = status && status->appliedLsn < status->position.lsn && this->changed.hasWaiters();
            if (!behind)
                co_await this->wanted.wait(Clock::now() + (readersWait ? failoverTick : this->options.pollInterval));
        }
        connection->close();
    }
}

asio::awaitable<bool> GroupGateway::askMember(std::size_t member, TargetConnection& connection)
{
    const auto& known = this->state.observation(member).status;
    Statement question = statusStatement();
    Milliseconds limit = this->options.controlTimeout;
    if (known && !known->isPrimary && known->position.lsn < this->awaitedLsn) {
        question = awaitStatement(known->promisedTerm, this->awaitedLsn);
        limit += awaitLimit;
    }
    TimePoint askedAt = Clock::now();
    auto answer = co_await connection.runOne(std::move(question), askedAt + limit);
    auto status = answer ? parseStatus(*answer) : tl::unexpected(answer.error());
    if (!status) {
        this->state.recordFailure(member, Clock::now());
        this->publish();
        co_return false;
    }
    this->state.observe(member, *status, askedAt, Clock::now());
    this->publish();
    co_return true;
}

// Lets waiting requests look again, and keeps what other threads read.
void GroupGateway::publish()
{
    auto primary = this->state.primary();
    this->primaryReached.store(primary && !this->state.observation(*primary).consecutiveFailures);
    this->knownTerm.store(primary ? this->state.observation(*primary).status->position.term : 0);
    if (primary && this->warmedTerm != this->knownTerm.load() && this->connectionShare) {
        // The new primary's connections open before the writes that need them come.
        this->warmedTerm = this->knownTerm.load();
        auto pool = this->pools[*primary];
        std::size_t count = (this->connectionShare + 1) / 2;
        TimePoint deadline = Clock::now() + this->options.connectTimeout;
        asio::co_spawn(
            this->executor, [pool, count, deadline] { return pool->warmUp(count, deadline); }, asio::detached);
    }
    this->changed.notifyAll();
}

asio::awaitable<void> GroupGateway::tickFailover()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->executor);
    while (!this->stopped) {
        timer.expires_after(failoverTick);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        TimePoint now = Clock::now();
        this->askOthersIfCutOff(now);
        double jitter = std::uniform_real_distribution<double>(0, 1)(this->random);
        bool wasElecting = this->failover.electing();
        auto actions = this->failover.tick(this->state, now, this->rank, this->isReachedByOthers(), jitter);
        if (!wasElecting && this->failover.electing()) {
            ++this->counters.elections;
            this->log("election_started", fmt::format("database {} term {}", this->description.name, actions[0].term));
        }
        this->perform(actions);
    }
}

void GroupGateway::perform(const std::vector<FailoverAction>& actions)
{
    auto self = this->shared_from_this();
    for (const FailoverAction& action : actions)
        asio::co_spawn(
            this->executor, [self, action] { return self->carryOut(action); }, asio::detached);
}

asio::awaitable<void> GroupGateway::carryOut(FailoverAction action)
{
    auto self = this->shared_from_this();
    // Each order has its own connection: a lost answer must not be taken for a later order's.
    auto connection = std::make_shared<TargetConnection>(this->executor, controlAnswerBytes);
    TimePoint deadline = Clock::now() + this->options.controlTimeout;
    auto connected = co_await connection->connect(this->description.members[action.member].address, deadline);
    if (!connected)
        co_return;
    TimePoint askedAt = Clock::now();
    Statement order = orderStatement(action, this->description.members[action.primary].address);
    auto answer = co_await connection->runOne(std::move(order), deadline);
    connection->close();
    auto status = answer ? parseStatus(*answer) : tl::unexpected(answer.error());
    if (!status)
        co_return;
    bool accepted = wasAccepted(*answer);
    this->state.observe(action.member, *status, askedAt, Clock::now());
    if (action.kind == FailoverAction::Kind::Fence)
        this->perform(this->failover.handleFenceResponse(action.member, action.term, accepted, *status, Clock::now()));
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
    // A closure that is written inside a co_await expression is destroyed twice by GCC 12.
    auto work = [self, &request] { return self->executeHere(std::move(request)); };
    co_return co_await asio::co_spawn(this->executor, work, asio::use_awaitable);
}

asio::awaitable<DatabaseResult> GroupGateway::executeHere(DatabaseRequest request)
{
    if (this->stopped)
        co_return tl::unexpected(notRun("leaving", "this instance has stopped serving the database; try another"));
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
        // Where another gateway reaches the primary, the request is better off there.
        if (Clock::now() >= deadline || this->stopped || this->isReachedByOthers())
            co_return std::nullopt;
        co_await this->changed.wait(deadline);
    }
}

asio::awaitable<bool> GroupGateway::awaitConfirmed(Position position, TimePoint deadline)
{
    while (!this->state.confirmed(position)) {
        bool superseded = this->state.newestPromisedTerm() > position.term;
        if (superseded || Clock::now() >= deadline)
            co_return false;
        if (this->awaitedLsn < position.lsn) {
            this->awaitedLsn = position.lsn;
            this->wanted.notifyAll();
        }
        co_await this->changed.wait(deadline);
    }
    co_return true;
}

} // namespace catkinlock
