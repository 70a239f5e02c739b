// The reads of a gateway: how fresh a member has to be, which one serves, and the proof at the read itself.

#include "catkinlock/group_gateway.h"
#include "catkinlock/member_pool.h"
#include "catkinlock/target_connection.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr int mostReadAttempts = 3;

    std::vector<Statement> readTransaction(const DatabaseRequest& request)
    {
        std::vector<Statement> statements { { "BEGIN READ ONLY", {} }, { "SELECT * FROM catkinlock.position()", {} } };
        statements.insert(statements.end(), request.statements.begin(), request.statements.end());
        statements.push_back({ "COMMIT", {} });
        return statements;
    }

} // namespace

asio::awaitable<tl::expected<Position, Refusal>> GroupGateway::findFloor(const DatabaseRequest& request)
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
            co_return tl::unexpected(
                notRun("age_not_proved", "no data can be proved to be as fresh as the route asks"));
        co_await this->changed.wait(request.deadline);
    }
}

std::optional<std::size_t> GroupGateway::leastLoadedReplica(const Position& floor) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->state.size(); ++i) {
        const GroupState::Observation& view = this->state.observation(i);
        bool serves = view.status && !view.status->isPrimary && !view.consecutiveFailures
            && !this->description.members[i].leaving && this->state.readable(i, floor);
        if (serves && (!best || this->pools[i]->load() < this->pools[*best]->load()))
            best = i;
    }
    return best;
}

// A replica that is fresh enough, at once or within a short wait; else the primary.
asio::awaitable<std::optional<std::size_t>> GroupGateway::chooseReader(
    const DatabaseRequest& request, const Position& floor)
{
    TimePoint patience = std::min(request.deadline, Clock::now() + this->options.replicaWait);
    for (;;) {
        if (auto replica = this->leastLoadedReplica(floor))
            co_return replica;
        if (Clock::now() >= patience)
            break;
        co_await this->changed.wait(patience);
    }
    for (;;) {
        auto primary = this->state.primary();
        if (primary && !this->state.observation(*primary).consecutiveFailures && this->state.readable(*primary, floor))
            co_return primary;
        if (auto replica = this->leastLoadedReplica(floor))
            co_return replica;
        if (Clock::now() >= request.deadline || this->stopped)
            co_return std::nullopt;
        this->wanted.notifyAll();
        co_await this->changed.wait(request.deadline);
    }
}

asio::awaitable<DatabaseResult> GroupGateway::read(const DatabaseRequest& request)
{
    DatabaseResult result = tl::unexpected(notRun("deadline", "the deadline passed before the read could run"));
    for (int attempt = 0; attempt < mostReadAttempts; ++attempt) {
        auto floor = co_await this->findFloor(request);
        if (!floor)
            co_return tl::unexpected(floor.error());
        auto member = co_await this->chooseReader(request, *floor);
        if (!member)
            co_return tl::unexpected(notRun("no_fresh_member", "no member fresh enough for the session answers"));
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
    auto loan = co_await this->pools[member]->acquire(request.workspace, request.weight, request.deadline);
    if (!loan) {
        mayRetry = loan.error().code == "target_unreachable";
        if (mayRetry)
            this->state.recordFailure(member, Clock::now());
        co_return tl::unexpected(loan.error());
    }
    const auto& connection = (*loan)->connection;
    auto results = co_await connection->run(readTransaction(request), request.deadline, (*loan)->needsReset);
    if (!results) {
        const TargetError& error = results.error();
        if (error.kind == TargetError::Kind::TooLarge)
            co_return tl::unexpected(notRun("answer_too_large", error.message));
        if (error.kind == TargetError::Kind::Rejected) {
            co_await connection->runOne(rollbackStatement(), Clock::now() + this->options.controlTimeout);
            co_return tl::unexpected(notRun("statement_failed", error.sqlState + " " + error.message));
        }
        // A read-only transaction has no effect, so a lost one may be read again.
        mayRetry = true;
        this->state.recordFailure(member, Clock::now());
        co_return tl::unexpected(notRun("target_lost", error.message));
    }
    // The member says at the read itself where it is; what was known of it before may be out of date.
    auto status = parseStatus((*results)[1]);
    if (!status || !Position { status->position.term, status->appliedLsn }.includes(floor)) {
        mayRetry = true;
        co_return tl::unexpected(notRun("no_fresh_member", "the member went back behind the session"));
    }
    ++(status->isPrimary ? this->counters.primaryReads : this->counters.replicaReads);
    results->erase(results->begin(), results->begin() + 2);
    results->pop_back();
    co_return makeReply(std::move(*results), request.session, !status->isPrimary, false);
}

} // namespace catkinlock
