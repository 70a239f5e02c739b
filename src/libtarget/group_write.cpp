// The writes of a gateway: one transaction on the primary, the record of its idempotency key, the confirmation by a
// majority of the members, and the outcome that is reported if one of these steps fails.

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

    // Stored instead of a reply in the record of a key that was settled as not run.
    constexpr const char* settledNotRun = "not_run";
    constexpr Milliseconds retryDelay { 20 };

    // Contains the workspace, so that equal idempotency keys of different workspaces do not collide.
    std::string recordKey(const DatabaseRequest& request) { return request.workspace + "\n" + request.idempotencyKey; }

    // Identifies the route, statements and parameters, to detect a key that is reused for another request. Lengths keep
    // different texts from giving the same input to the hash.
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

    // All statements of a write before the commit. A settle request has none of its own: it only inserts the record of
    // the key, so that the request can't run later.
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

    // Stores the reply in the record of the key and commits. The position is read before and after the commit; see
    // `commitPosition`.
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

    // Reads the record of a key that was used before. The request's statements ran in the same round trip as the insert
    // that found the record, so they are rolled back first.
    std::vector<Statement> recordStatements(const DatabaseRequest& request)
    {
        return { rollbackStatement(),
            { "SELECT digest, reply FROM catkinlock.requests WHERE key = $1", { recordKey(request) } },
            positionStatement() };
    }

    // The position of a commit, from the results of catkinlock.position() before and after it. Nothing unless the
    // member was the primary of the same term at both, because the commit might otherwise belong to an older term than
    // the position.
    std::optional<Position> commitPosition(const ResultSet& before, const ResultSet& after)
    {
        auto first = parseStatus(before);
        auto last = parseStatus(after);
        bool same = first && last && first->isPrimary && last->isPrimary && first->position.term == last->position.term;
        return same ? std::optional(last->position) : std::nullopt;
    }

} // namespace

// A transaction that is open on the primary.
struct GroupGateway::Attempt {
    std::shared_ptr<MemberPool::Handle> handle;
    std::size_t member;
    // Results of the request's own statements.
    std::vector<ResultSet> results;

    const std::shared_ptr<TargetConnection>& connection() const { return this->handle->connection; }
};

asio::awaitable<DatabaseResult> GroupGateway::write(const DatabaseRequest& request)
{
    // With an idempotency key, the record on the primary prevents a second execution. An attempt of unknown outcome can
    // then be retried, which usually finds out its outcome before the deadline.
    AttemptHistory history(!request.idempotencyKey.empty(), request.repeatable);
    for (;;) {
        auto attempt = co_await this->writeOnce(request);
        auto result = history.add(std::move(attempt));
        if (history.wasSettled())
            ++this->counters.settled;
        if (result)
            ++this->counters.writes;
        if (!history.mayRetry() || Clock::now() + retryDelay >= request.deadline || this->stopped)
            co_return result;
        asio::steady_timer retryTimer(this->executor, retryDelay);
        co_await retryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<DatabaseResult> GroupGateway::writeOnce(const DatabaseRequest& request)
{
    auto primary = co_await this->waitForPrimary(request.deadline);
    if (!primary)
        co_return tl::unexpected(notRun("no_primary", "the database has no reachable primary"));
    auto handle = co_await this->pools[*primary]->acquire(request.workspace, request.weight, request.deadline);
    if (!handle) {
        if (handle.error().code == "target_unreachable")
            this->state.recordFailure(*primary, Clock::now());
        co_return tl::unexpected(handle.error());
    }
    bool hasIdempotencyKey = !request.idempotencyKey.empty();
    bool needsReset = (*handle)->needsReset;
    auto attempt = std::make_shared<Attempt>(Attempt { std::move(*handle), *primary, {} });
    auto results = co_await attempt->connection()->run(openingStatements(request), request.deadline, needsReset);
    if (!results) {
        // No COMMIT was sent, so the transaction is rolled back even if the connection was lost.
        const TargetError& error = results.error();
        if (error.kind == TargetError::Kind::Lost) {
            this->state.recordFailure(*primary, Clock::now());
            co_return tl::unexpected(notRun("target_lost", error.message));
        }
        if (error.kind == TargetError::Kind::TooLarge)
            co_return tl::unexpected(notRun("answer_too_large", error.message));
        co_await attempt->connection()->runOne(rollbackStatement(), Clock::now() + this->options.controlTimeout);
        // 25006 (read_only_sql_transaction): the member is no longer the primary.
        bool replaced = error.sqlState == "25006";
        co_return tl::unexpected(
            notRun(replaced ? "primary_replaced" : "statement_failed", error.sqlState + " " + error.message));
    }
    attempt->results = std::move(*results);
    attempt->results.erase(attempt->results.begin());
    if (hasIdempotencyKey) {
        bool isNew = !attempt->results.front().rows.empty();
        if (!isNew)
            co_return co_await this->replyFromRecord(request, attempt);
        attempt->results.erase(attempt->results.begin());
    }
    co_return co_await this->commit(request, attempt);
}

asio::awaitable<DatabaseResult> GroupGateway::commit(const DatabaseRequest& request, std::shared_ptr<Attempt> attempt)
{
    bool settling = request.kind == DatabaseRequest::Kind::Settle;
    auto commitResults
        = co_await attempt->connection()->run(commitStatements(request, attempt->results), request.deadline);
    if (!commitResults) {
        const TargetError& error = commitResults.error();
        if (error.kind == TargetError::Kind::Rejected) {
            // The target reported that the transaction failed, so it is rolled back.
            co_await attempt->connection()->runOne(rollbackStatement(), Clock::now() + this->options.controlTimeout);
            bool replaced = error.sqlState == "25006";
            co_return tl::unexpected(
                notRun(replaced ? "primary_replaced" : "commit_refused", error.sqlState + " " + error.message));
        }
        this->state.recordFailure(attempt->member, Clock::now());
        co_return tl::unexpected(unknownOutcome("commit_lost",
            "the target's response to the commit was not received; the transaction may have been committed"));
    }
    std::size_t last = commitResults->size() - 1;
    auto position = commitPosition((*commitResults)[last - 2], (*commitResults)[last]);
    // Returned to the pool, so that other requests can use it while this one waits for the majority.
    attempt->handle.reset();
    if (!position)
        co_return tl::unexpected(unknownOutcome(
            "primary_replaced", "the primary was replaced during the commit; the transaction may be lost"));
    this->state.recordPosition(attempt->member, *position);
    if (this->options.confirmByMajority && !co_await this->awaitConfirmed(*position, request.deadline))
        co_return tl::unexpected(unknownOutcome(
            "not_confirmed", "the primary committed, but no majority of its group has confirmed the transaction"));
    if (settling)
        co_return tl::unexpected(notRun(
            "settled_not_run", "the request had not run, and the record of its key now prevents it from running"));
    co_return makeReply(std::move(attempt->results), *position, false, false);
}

// Handles a key that already has a record: returns the reply of the first execution, once a majority holds the record.
asio::awaitable<DatabaseResult> GroupGateway::replyFromRecord(
    const DatabaseRequest& request, std::shared_ptr<Attempt> attempt)
{
    auto recordResults = co_await attempt->connection()->run(recordStatements(request), request.deadline);
    attempt->handle.reset();
    auto status = recordResults ? parseStatus((*recordResults)[2]) : tl::unexpected(recordResults.error());
    bool found = status && status->isPrimary && (*recordResults)[1].rows.size() == 1;
    if (!found)
        co_return tl::unexpected(
            unknownOutcome("record_unread", "the record of the idempotency key could not be read"));
    if (this->options.confirmByMajority && !co_await this->awaitConfirmed(status->position, request.deadline))
        co_return tl::unexpected(unknownOutcome(
            "not_confirmed", "no majority of the group has confirmed the record of the idempotency key"));
    const auto& row = (*recordResults)[1].rows[0];
    std::string digest = row[0].value_or("");
    std::string reply = row[1].value_or("");
    if (reply == settledNotRun)
        co_return tl::unexpected(notRun("settled_not_run", "the request was settled as not run under this key"));
    bool settling = request.kind == DatabaseRequest::Kind::Settle;
    if (!settling && digest != requestDigest(request))
        co_return tl::unexpected(notRun(
            "key_reused", "the idempotency key was already used for a different request; this request was not run"));
    auto results = readResults(reply);
    if (!results)
        co_return tl::unexpected(unknownOutcome("record_unread", "the record of the idempotency key is malformed"));
    co_return makeReply(std::move(*results), status->position, false, true);
}

} // namespace catkinlock
