// The reads of a gateway: determines the position that a read requires, chooses a member that has reached it, and
// verifies the member's position in the transaction of the read.

#include "catkinlock/group_gateway.h"
#include "catkinlock/member_pool.h"
#include "catkinlock/target_connection.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr int maxReadAttempts = 3;

    // The second statement returns the member's status as of the transaction, which proves how fresh the data is.
    std::vector<Statement> readTransaction(const DatabaseRequest& request)
    {
        std::vector<Statement> statements { { "BEGIN READ ONLY", {} }, { "SELECT * FROM catkinlock.position()", {} } };
        statements.insert(statements.end(), request.statements.begin(), request.statements.end());
        statements.push_back({ "COMMIT", {} });
        return statements;
    }

} // namespace

// The position that a member must have applied to serve the read: that of the session and, for a route with a maximum
// staleness, also a position which proves that the data of a member that has applied it is within that staleness.
asio::awaitable<tl::expected<Position, Refusal>> GroupGateway::findReadFloor(const DatabaseRequest& request)
{
    Position floor = request.session;
    if (!request.maxAgeMs)
        co_return floor;
    for (;;) {
        auto fresh = this->state.freshnessFloor(Milliseconds(request.maxAgeMs), Clock::now());
        if (fresh) {
            floor.term = std::max(floor.term, fresh->term);
            floor.lsn = std::max(floor.lsn, fresh->lsn);
            co_return floor;
        }
        if (Clock::now() >= request.deadline || this->stopped)
            co_return tl::unexpected(notRun("age_not_proved",
                "no data could be proved before the deadline to be within the route's maximum staleness"));
        co_await this->stateChanged.wait(request.deadline);
    }
}

// Replicas that are leaving the group or failed their last poll are not considered.
std::optional<std::size_t> GroupGateway::leastLoadedReplica(const Position& floor) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->state.size(); ++i) {
        const GroupState::Observation& observation = this->state.observation(i);
        bool eligible = observation.status && !observation.status->isPrimary && !observation.consecutiveFailures
            && !this->description.members[i].leaving && this->state.readable(i, floor);
        if (eligible && (!best || this->pools[i]->load() < this->pools[*best]->load()))
            best = i;
    }
    return best;
}

// Chooses a replica that has reached `floor`, waiting up to `replicaWait` for one; after that also the primary. Returns
// nothing if no member qualifies before the deadline.
asio::awaitable<std::optional<std::size_t>> GroupGateway::chooseReadMember(
    const DatabaseRequest& request, const Position& floor)
{
    TimePoint replicaDeadline = std::min(request.deadline, Clock::now() + this->options.replicaWait);
    for (;;) {
        if (auto replica = this->leastLoadedReplica(floor))
            co_return replica;
        if (Clock::now() >= replicaDeadline)
            break;
        co_await this->stateChanged.wait(replicaDeadline);
    }
    for (;;) {
        auto primary = this->state.primary();
        if (primary && !this->state.observation(*primary).consecutiveFailures && this->state.readable(*primary, floor))
            co_return primary;
        if (auto replica = this->leastLoadedReplica(floor))
            co_return replica;
        if (Clock::now() >= request.deadline || this->stopped)
            co_return std::nullopt;
        this->pollRequested.notifyAll();
        co_await this->stateChanged.wait(request.deadline);
    }
}

asio::awaitable<DatabaseResult> GroupGateway::read(const DatabaseRequest& request)
{
    DatabaseResult result = tl::unexpected(notRun("deadline", "the deadline passed before the read could run"));
    for (int attempt = 0; attempt < maxReadAttempts; ++attempt) {
        auto floor = co_await this->findReadFloor(request);
        if (!floor)
            co_return tl::unexpected(floor.error());
        auto member = co_await this->chooseReadMember(request, *floor);
        if (!member)
            co_return tl::unexpected(
                notRun("no_fresh_member", "no reachable member has the position that the read requires"));
        bool mayRetry = false;
        result = co_await this->readOnce(request, *member, *floor, mayRetry);
        if (result || !mayRetry || Clock::now() >= request.deadline)
            break;
    }
    co_return result;
}

asio::awaitable<DatabaseResult> GroupGateway::readOnce(
    const DatabaseRequest& request, std::size_t member, const Position& floor, bool& mayRetry)
{
    auto handle = co_await this->pools[member]->acquire(request.workspace, request.weight, request.deadline);
    if (!handle) {
        mayRetry = handle.error().code == "target_unreachable";
        if (mayRetry)
            this->state.recordFailure(member, Clock::now());
        co_return tl::unexpected(handle.error());
    }
    const auto& connection = (*handle)->connection;
    auto results = co_await connection->run(readTransaction(request), request.deadline, (*handle)->needsReset);
    if (!results) {
        const TargetError& error = results.error();
        if (error.kind == TargetError::Kind::TooLarge)
            co_return tl::unexpected(notRun("answer_too_large", error.message));
        if (error.kind == TargetError::Kind::Rejected) {
            co_await connection->runOne(rollbackStatement(), Clock::now() + this->options.controlTimeout);
            co_return tl::unexpected(notRun("statement_failed", error.sqlState + " " + error.message));
        }
        // A read-only transaction has no effect, so it may be retried after its connection was lost.
        mayRetry = true;
        this->state.recordFailure(member, Clock::now());
        co_return tl::unexpected(notRun("target_lost", error.message));
    }
    // The position reported in the same transaction decides; the one from the last poll may be outdated, as when the
    // member was set back after a failover.
    auto status = parseStatus((*results)[1]);
    if (!status || !Position { status->position.term, status->appliedLsn }.includes(floor)) {
        mayRetry = true;
        co_return tl::unexpected(
            notRun("no_fresh_member", "the member's position at the read is behind the one that the read requires"));
    }
    ++(status->isPrimary ? this->counters.primaryReads : this->counters.replicaReads);
    results->erase(results->begin(), results->begin() + 2);
    results->pop_back();
    co_return makeReply(std::move(*results), request.session, !status->isPrimary, false);
}

} // namespace catkinlock
