// The writes of a gateway: one transaction on the primary, its idempotency record, the confirmation by a majority, and
// what may be said when any of it is lost.

#include "catkinlock/attempt_history.h"
#include "catkinlock/digest.h"
#include "catkinlock/group_gateway.h"
#include "catkinlock/member_pool.h"
#include "catkinlock/result_json.h"
#include "catkinlock/target_connection.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Stands in place of a reply for a key that was settled as not run.
    constexpr const char* settledNotRun = "not_run";
    constexpr Milliseconds retryPause { 20 };

    // Keys of different workspaces never meet.
    std::string recordKey(const DatabaseRequest& request) { return request.workspace + "\n" + request.idempotencyKey; }

    std::string requestDigest(const DatabaseRequest& request)
    {
        std::string text = request.route + "\n";
        for (const Statement& statement : request.statements) {
            text += fmt::format("{}:{}", statement.sql.size(), statement.sql);
            for (const auto& parameter : statement.parameters)
                text += parameter ? fmt::format("={}:{}", parameter->size(), *parameter) : "-";
            text += ";";
        }
        return sha256Hex(text);
    }

    Statement insertRecord(const DatabaseRequest& request, const std::string& digest)
    {
        return { "INSERT INTO catkinlock.requests (key, digest) VALUES ($1, $2) ON CONFLICT DO NOTHING RETURNING key",
            { recordKey(request), digest } };
    }

    Statement updateRecord(const DatabaseRequest& request, const std::string& reply)
    {
        return { "UPDATE catkinlock.requests SET reply = $2 WHERE key = $1", { recordKey(request), reply } };
    }

    Statement positionStatement() { return { "SELECT * FROM catkinlock.position()", {} }; }

    // Everything of a write but its commit.
    std::vector<Statement> openingStatements(const DatabaseRequest& request)
    {
        bool settling = request.kind == DatabaseRequest::Kind::Settle;
        std::vector<Statement> statements { { "BEGIN", {} } };
        if (!request.idempotencyKey.empty())
            statements.push_back(insertRecord(request, settling ? "" : requestDigest(request)));
        if (!settling)
            statements.insert(statements.end(), request.statements.begin(), request.statements.end());
        return statements;
    }

    std::vector<Statement> commitStatements(const DatabaseRequest& request, const std::vector<ResultSet>& results)
    {
        bool settling = request.kind == DatabaseRequest::Kind::Settle;
        std::vector<Statement> statements;
        if (!request.idempotencyKey.empty())
            statements.push_back(updateRecord(request, settling ? settledNotRun : writeResults(results)));
        statements.push_back(positionStatement());
        statements.push_back({ "COMMIT", {} });
        statements.push_back(positionStatement());
        return statements;
    }

    // The statements of a repeat ran in the same round trip as the insert that found the record; they are rolled back
    // first.
    std::vector<Statement> recordStatements(const DatabaseRequest& request)
    {
        return { rollbackStatement(),
            { "SELECT digest, reply FROM catkinlock.requests WHERE key = $1", { recordKey(request) } },
            positionStatement() };
    }

    // The position of a commit between two answers of catkinlock.position(). The member must have been the primary of
    // one term from before to after, or the commit might belong to an older term than the position says.
    std::optional<Position> commitPosition(const ResultSet& before, const ResultSet& after)
    {
        auto first = parseStatus(before);
        auto last = parseStatus(after);
        bool same = first && last && first->isPrimary && last->isPrimary && first->position.term == last->position.term;
        return same ? std::optional(last->position) : std::nullopt;
    }

} // namespace

struct GroupGateway::Attempt {
    std::shared_ptr<MemberPool::Loan> loan;
    std::size_t member;
    std::vector<ResultSet> results;

    const std::shared_ptr<TargetConnection>& connection() const { return this->loan->connection; }
};

asio::awaitable<DatabaseResult> GroupGateway::write(const DatabaseRequest& request)
{
    // With a key the record on the primary keeps a repeat from running twice, so what is unknown may be tried again and
    // is mostly settled before the deadline.
    AttemptHistory history(!request.idempotencyKey.empty(), request.repeatable);
    for (;;) {
        auto attempt = co_await this->writeOnce(request);
        auto result = history.add(std::move(attempt));
        if (history.wasSettled())
            ++this->counters.settled;
        if (result)
            ++this->counters.writes;
        if (!history.mayRetry() || Clock::now() + retryPause >= request.deadline || this->stopped)
            co_return result;
        asio::steady_timer pause(this->executor, retryPause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<DatabaseResult> GroupGateway::writeOnce(const DatabaseRequest& request)
{
    auto primary = co_await this->waitForPrimary(request.deadline);
    if (!primary)
        co_return tl::unexpected(notRun("no_primary", "the database has no primary that answers"));
    auto loan = co_await this->pools[*primary]->acquire(request.workspace, request.weight, request.deadline);
    if (!loan) {
        if (loan.error().code == "target_unreachable")
            this->state.recordFailure(*primary, Clock::now());
        co_return tl::unexpected(loan.error());
    }
    bool keyed = !request.idempotencyKey.empty();
    bool needsReset = (*loan)->needsReset;
    auto attempt = std::make_shared<Attempt>(Attempt { std::move(*loan), *primary, {} });
    auto results = co_await attempt->connection()->run(openingStatements(request), request.deadline, needsReset);
    if (!results) {
        // No COMMIT was sent, so whatever became of the connection, the transaction rolls back.
        const TargetError& error = results.error();
        if (error.kind == TargetError::Kind::Lost) {
            this->state.recordFailure(*primary, Clock::now());
            co_return tl::unexpected(notRun("target_lost", error.message));
        }
        if (error.kind == TargetError::Kind::TooLarge)
            co_return tl::unexpected(notRun("answer_too_large", error.message));
        co_await attempt->connection()->runOne(rollbackStatement(), Clock::now() + this->options.controlTimeout);
        // 25006: the member is no longer a primary.
        bool replaced = error.sqlState == "25006";
        co_return tl::unexpected(
            notRun(replaced ? "primary_replaced" : "statement_failed", error.sqlState + " " + error.message));
    }
    attempt->results = std::move(*results);
    attempt->results.erase(attempt->results.begin());
    if (keyed) {
        bool isNew = !attempt->results.front().rows.empty();
        if (!isNew)
            co_return co_await this->answerFromRecord(request, attempt);
        attempt->results.erase(attempt->results.begin());
    }
    co_return co_await this->commit(request, attempt);
}

asio::awaitable<DatabaseResult> GroupGateway::commit(const DatabaseRequest& request, std::shared_ptr<Attempt> attempt)
{
    bool settling = request.kind == DatabaseRequest::Kind::Settle;
    auto answers = co_await attempt->connection()->run(commitStatements(request, attempt->results), request.deadline);
    if (!answers) {
        const TargetError& error = answers.error();
        if (error.kind == TargetError::Kind::Rejected) {
            // The target answered that the transaction failed, and a failed one rolls back.
            co_await attempt->connection()->runOne(rollbackStatement(), Clock::now() + this->options.controlTimeout);
            bool replaced = error.sqlState == "25006";
            co_return tl::unexpected(
                notRun(replaced ? "primary_replaced" : "commit_refused", error.sqlState + " " + error.message));
        }
        this->state.recordFailure(attempt->member, Clock::now());
        co_return tl::unexpected(unknownOutcome("commit_lost", "the target's answer to the commit is missing"));
    }
    std::size_t last = answers->size() - 1;
    auto position = commitPosition((*answers)[last - 2], (*answers)[last]);
    // The connection serves others while this request waits for the replicas.
    attempt->loan.reset();
    if (!position)
        co_return tl::unexpected(unknownOutcome("primary_replaced", "the primary was replaced during the commit"));
    this->state.recordPosition(attempt->member, *position);
    if (this->options.confirmByMajority && !co_await this->awaitConfirmed(*position, request.deadline))
        co_return tl::unexpected(
            unknownOutcome("not_confirmed", "the primary committed, but no majority of its group confirmed it"));
    if (settling)
        co_return tl::unexpected(
            notRun("settled_not_run", "the request had not run, and this key now keeps it from running"));
    co_return makeReply(std::move(attempt->results), *position, false, false);
}

// The key has a record: tells its first answer, once a majority holds it.
asio::awaitable<DatabaseResult> GroupGateway::answerFromRecord(
    const DatabaseRequest& request, std::shared_ptr<Attempt> attempt)
{
    auto answers = co_await attempt->connection()->run(recordStatements(request), request.deadline);
    attempt->loan.reset();
    auto status = answers ? parseStatus((*answers)[2]) : tl::unexpected(answers.error());
    bool found = status && status->isPrimary && (*answers)[1].rows.size() == 1;
    if (!found)
        co_return tl::unexpected(
            unknownOutcome("record_unread", "the record of the idempotency key could not be read"));
    if (this->options.confirmByMajority && !co_await this->awaitConfirmed(status->position, request.deadline))
        co_return tl::unexpected(unknownOutcome(
            "not_confirmed", "no majority of the group has confirmed the record of the idempotency key"));
    const auto& row = (*answers)[1].rows[0];
    std::string digest = row[0].value_or("");
    std::string reply = row[1].value_or("");
    if (reply == settledNotRun)
        co_return tl::unexpected(notRun("settled_not_run", "the request was settled as not run under this key"));
    bool settling = request.kind == DatabaseRequest::Kind::Settle;
    if (!settling && digest != requestDigest(request))
        co_return tl::unexpected(
            notRun("key_reused", "the idempotency key belongs to another request; nothing of this one ran"));
    auto results = readResults(reply);
    if (!results)
        co_return tl::unexpected(unknownOutcome("record_unread", "the record of the idempotency key is malformed"));
    co_return makeReply(std::move(*results), status->position, false, true);
}

} // namespace catkinlock
