#include "libsession/session_runner.h"

#include "catkinlock/log.h"
#include "catkinlock/rendezvous.h"
#include "libsession/spawn.h"
#include "libsession/target_link.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr unsigned mostTries = 4;
    constexpr unsigned mostBusyTries = 3;
    constexpr Milliseconds busyPause { 15 };
    // A read that has no answer after this part of its time is tried elsewhere.
    constexpr double firstTryPart = 0.6;
    // A statement waits for a connection for this part of its route's objective, and then is refused.
    constexpr int waitDivisor = 4;
    constexpr Milliseconds leastWait { 50 };
    constexpr Milliseconds rollbackTimeout { 500 };

    Milliseconds timeLeft(TimePoint deadline)
    {
        auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
        return std::max(left, Milliseconds(1));
    }

    // How long a statement waits for room at a member.
    Milliseconds roomWait(const Route& route)
    {
        return std::max(Milliseconds(route.latencyObjectiveMs) / waitDivisor, leastWait);
    }

    // What the member says before it has done anything.
    bool isNotRun(StatementError error)
    {
        return error == StatementError::Busy || error == StatementError::NoStatement || error == StatementError::Lagging
            || error == StatementError::ReadOnly || error == StatementError::Misrouted
            || error == StatementError::ConnectionLimit;
    }

    // Rolls back on the connection and gives it back.
    asio::awaitable<void> rollBack(std::shared_ptr<TargetPool> pool, std::shared_ptr<TargetLink> link)
    {
        TargetCommand command;
        command.kind = TargetCommand::Kind::Rollback;
        auto reply = co_await link->command(command, std::nullopt, rollbackTimeout);
        if (!reply)
            link->close();
        pool->giveBack(link);
    }

    void giveBackClean(
        const asio::any_io_executor& executor, std::shared_ptr<TargetPool> pool, std::shared_ptr<TargetLink> link)
    {
        if (link->isOpen() && link->state() != TransactionState::Idle) {
            spawn(executor, [pool, link] { return rollBack(pool, link); });
            return;
        }
        pool->giveBack(link);
    }

} // namespace

SessionRunner::SessionRunner(std::shared_ptr<SessionContext> context)
    : context(std::move(context))
{
}

TargetReply SessionRunner::refuse(StatementError error, std::string text) const
{
    TargetReply reply;
    reply.error = error;
    reply.errorText = std::move(text);
    reply.state = this->transaction.state;
    return reply;
}

TargetReply SessionRunner::failTransaction(StatementError error, std::string text)
{
    this->abandon();
    return this->refuse(error, std::move(text));
}

void SessionRunner::beginStatement()
{
    this->member.clear();
    this->tries = 0;
}

// Between its statements a transaction holds a connection and takes no room at the member.
void SessionRunner::setResting(bool rests)
{
    if (this->transaction.rests == rests)
        return;
    this->transaction.rests = rests;
    this->transaction.pool->noteResting(rests);
}

void SessionRunner::abandon()
{
    if (this->transaction.pool)
        this->setResting(false);
    if (this->transaction.link)
        giveBackClean(this->context->executor, this->transaction.pool, this->transaction.link);
    this->transaction.link = nullptr;
    this->transaction.pool = nullptr;
    this->transaction.state = TransactionState::Failed;
}

void SessionRunner::close()
{
    if (this->transaction.state != TransactionState::Idle)
        this->abandon();
}

bool SessionRunner::startsOperation(const SessionStatement& statement) const
{
    if (this->transaction.state != TransactionState::Idle)
        return false;
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginRead:
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        return true;
    default:
        return false;
    }
}

bool SessionRunner::writes(const SessionStatement& statement) const
{
    if (statement.kind != StatementKind::Execute)
        return statement.kind == StatementKind::Write;
    auto found = this->prepared.find(statement.name);
    return found != this->prepared.end() && found->second.writes;
}

// Callers' names collide, so a connection knows prepared statements by what they run.
std::string SessionRunner::preparedNameFor(const SessionStatement& statement) const
{
    if (statement.kind != StatementKind::Execute)
        return "";
    return fmt::format("c{:x}", stableHash(this->prepared.at(statement.name).argument));
}

ReadNeed SessionRunner::needOf(const StatementCall& call) const
{
    ReadNeed need;
    need.service = call.route.pool;
    need.workspace = call.workspace;
    need.consistency = call.route.consistency;
    need.maxAge = Milliseconds(call.route.maxAgeMs);
    auto own = this->committed.find(call.route.pool);
    if (own != this->committed.end())
        need.own = own->second;
    return need;
}

TargetReply SessionRunner::answerLocally(const SessionStatement& statement)
{
    TargetReply reply;
    switch (statement.kind) {
    case StatementKind::SetValue:
        this->values[statement.name] = statement.argument;
        break;
    case StatementKind::Prepare:
        this->prepared[statement.name] = statement;
        break;
    case StatementKind::Deallocate:
        if (!this->prepared.erase(statement.name))
            return this->refuse(StatementError::NoStatement, "no such prepared statement");
        break;
    case StatementKind::Begin:
    case StatementKind::BeginRead:
        this->transaction = {};
        this->transaction.state = TransactionState::Open;
        this->transaction.readOnly = statement.kind == StatementKind::BeginRead;
        break;
    case StatementKind::Rollback:
        this->abandon();
        this->transaction.state = TransactionState::Idle;
        break;
    default:
        return this->refuse(StatementError::Malformed, "not a statement that is known");
    }
    reply.state = this->transaction.state;
    return reply;
}

asio::awaitable<TargetReply> SessionRunner::run(SessionStatement statement, StatementCall call)
{
    TransactionState before = this->transaction.state;
    bool ends = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (before == TransactionState::Failed && !ends)
        co_return this->refuse(StatementError::Malformed, "the transaction has failed; end it first");
    if (before == TransactionState::Failed && statement.kind == StatementKind::Commit) {
        this->transaction.state = TransactionState::Idle;
        co_return this->refuse(StatementError::Aborted, "the transaction was rolled back");
    }
    bool begins = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginRead;
    if (begins && before == TransactionState::Open)
        co_return this->refuse(StatementError::Malformed, "a transaction is open");
    if (ends && before == TransactionState::Idle)
        co_return this->refuse(StatementError::Malformed, "no transaction is open");
    if (statement.kind == StatementKind::Execute && !this->prepared.count(statement.name))
        co_return this->refuse(StatementError::NoStatement, "no such prepared statement");
    bool onMember = statement.kind == StatementKind::Read || statement.kind == StatementKind::Write
        || statement.kind == StatementKind::Execute || statement.kind == StatementKind::Commit;
    if (!onMember)
        co_return this->answerLocally(statement);
    if (statement.kind == StatementKind::Commit)
        co_return co_await this->commit(std::move(statement), std::move(call));
    if (before == TransactionState::Open)
        co_return co_await this->runInTransaction(std::move(statement), std::move(call));
    if (this->writes(statement))
        co_return co_await this->writeAlone(std::move(statement), std::move(call));
    co_return co_await this->readAlone(std::move(statement), std::move(call));
}

// What was true when the statement was placed may have changed while it waited.
bool SessionRunner::mayStillRun(const Placement& placement, const StatementCall& call) const
{
    if (!call.isAllowed())
        return false;
    if (!placement.isPrimary)
        return true;
    auto primary = this->context->view->read()->primaryOf(call.route.pool);
    return primary && primary->id == placement.pool->target().id && this->context->freshness->isFresh(Clock::now());
}

asio::awaitable<SessionRunner::Try> SessionRunner::exchange(std::shared_ptr<TargetLink> link, Placement placement,
    SessionStatement statement, StatementCall call, Milliseconds timeout)
{
    Try result;
    std::shared_ptr<TargetPool> pool = placement.pool;
    std::string preparedName = this->preparedNameFor(statement);
    std::string preparedText;
    if (!preparedName.empty())
        preparedText = this->prepared.at(statement.name).argument;
    bool adopted = co_await link->adopt(this->values, preparedName, preparedText, timeout);
    if (!adopted) {
        pool->noteFailure(false, Clock::now());
        result.reply.error = StatementError::Busy;
        result.reply.errorText = "the member did not take the session's values";
        co_return result;
    }
    TimePoint sentAt = Clock::now();
    if (!this->mayStillRun(placement, call)) {
        result.reply.error = StatementError::Busy;
        result.reply.errorText = "the key or the primary changed, or can't be confirmed any more";
        result.reply.state = link->state();
        co_return result;
    }
    bool wrote = this->writes(statement) || (statement.kind == StatementKind::Commit && this->transaction.wrote);
    auto reply = co_await link->send(statement, placement.after, preparedName, timeout);
    TimePoint now = Clock::now();
    this->ranSomething = this->ranSomething || !reply || !reply->error || !isNotRun(*reply->error);
    if (!reply) {
        pool->noteFailure(wrote, now);
        result.fate = Try::Fate::Lost;
        result.reply.errorText = reply.error().message;
        co_return result;
    }
    result.reply = std::move(*reply);
    bool notRun = result.reply.error && isNotRun(*result.reply.error);
    result.fate = notRun ? Try::Fate::NotRun : Try::Fate::Answered;
    bool done = !result.reply.error;
    this->context->groups->noteMemberPosition(*pool, result.reply.position, now);
    if (result.reply.error == StatementError::Busy)
        pool->noteBusy();
    if (result.reply.error == StatementError::Lagging) {
        pool->noteLagging(placement.after.value_or(Position {}), result.reply.position, now);
        co_return result;
    }
    pool->noteAnswer(now - sentAt, wrote && done, result.reply.position, now);
    auto view = this->context->view->read();
    auto primary = view->primaryOf(pool->target().service);
    bool fromPrimary = primary && primary->id == pool->target().id && this->context->freshness->isFresh(now);
    // A refusal for want of room tells the position as well, and an overloaded primary gives little else.
    if (fromPrimary && (done || result.reply.error == StatementError::Busy))
        this->context->groups->notePrimaryPosition(pool->target().service, result.reply.position, sentAt);
    co_return result;
}

bool SessionRunner::wasRefusedForRoom(const Try& result)
{
    return result.fate == Try::Fate::NotRun && result.reply.error == StatementError::Busy;
}

asio::awaitable<void> SessionRunner::pause(Milliseconds time)
{
    asio::steady_timer timer(this->context->executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void SessionRunner::recordTry(
    const Try& result, const SessionStatement& statement, const std::optional<Position>& after) const
{
    if (result.fate == Try::Fate::Answered && !result.reply.error)
        return;
    Position floor = after.value_or(Position {});
    writeLog(LogLevel::Info, "try_failed",
        { { "request", statement.id }, { "member", this->member },
            { "reason", result.reply.error ? statementErrorName(*result.reply.error) : "lost" },
            { "detail", result.reply.errorText }, { "needed", fmt::format("{}.{}", floor.term, floor.lsn) },
            { "position", fmt::format("{}.{}", result.reply.position.term, result.reply.position.lsn) } });
}

asio::awaitable<SessionRunner::Try> SessionRunner::tryOn(
    Placement placement, SessionStatement statement, StatementCall call, Milliseconds timeout)
{
    ++this->tries;
    this->member = placement.pool->target().id;
    TimePoint waitUntil = std::min(call.deadline, Clock::now() + roomWait(call.route));
    auto link = co_await placement.pool->borrow(call.workspace, call.route.priority, waitUntil);
    Try result;
    if (!link) {
        result.reply.error = link.error().refusal.value_or(StatementError::Busy);
        result.reply.errorText = link.error().message;
        this->recordTry(result, statement, placement.after);
        co_return result;
    }
    result = co_await this->exchange(*link, placement, statement, call, timeout);
    // There is one primary. Opening a connection anew would cost it as much as a statement, so this one is kept.
    while (placement.isPrimary && this->wasRefusedForRoom(result) && Clock::now() + busyPause < waitUntil) {
        co_await this->pause(busyPause);
        result = co_await this->exchange(*link, placement, statement, call, timeout);
    }
    this->recordTry(result, statement, placement.after);
    giveBackClean(this->context->executor, placement.pool, *link);
    result.reply.state = TransactionState::Idle;
    co_return result;
}

asio::awaitable<TargetReply> SessionRunner::readAlone(SessionStatement statement, StatementCall call)
{
    std::set<std::string> tried;
    TargetReply last = this->refuse(StatementError::Busy, "no member may serve this read now; try again later");
    ReadNeed need = this->needOf(call);
    while (this->tries < mostTries && Clock::now() < call.deadline) {
        auto view = this->context->view->read();
        auto placement = this->context->groups->placeRead(*view, need, tried, Clock::now());
        if (!placement)
            break;
        Milliseconds left = timeLeft(call.deadline);
        bool first = this->tries == 0;
        Milliseconds timeout = first ? std::chrono::duration_cast<Milliseconds>(left * firstTryPart) : left;
        tried.insert(placement->pool->target().id);
        Try result = co_await this->tryOn(*placement, statement, call, timeout);
        if (result.fate == Try::Fate::Answered && !result.reply.error)
            co_return result.reply;
        last = this->refuse(StatementError::Busy, "no member served this read; try again later");
        if (result.reply.error)
            last.errorText = fmt::format("{} at the last member tried", statementErrorName(*result.reply.error));
    }
    // Nothing of a read is ever kept, so every failure of one is a promise.
    co_return last;
}

asio::awaitable<TargetReply> SessionRunner::writeAlone(SessionStatement statement, StatementCall call)
{
    TargetReply last = this->refuse(StatementError::Busy, "there is no primary now; try again in a second");
    while (this->tries < mostBusyTries && Clock::now() < call.deadline) {
        auto view = this->context->view->read();
        auto placement = this->context->groups->placeWrite(*view, call.route.pool, Clock::now());
        if (!placement)
            co_return last;
        Try result = co_await this->tryOn(*placement, statement, call, timeLeft(call.deadline));
        if (result.fate == Try::Fate::Lost)
            co_return this->refuse(StatementError::InDoubt, "the member's answer was lost; the write may have run");
        bool done = !result.reply.error;
        if (done) {
            this->committed[call.route.pool] = result.reply.position;
            this->context->groups->noteAcknowledged(call.route.pool, result.reply.position);
        }
        if (result.fate == Try::Fate::Answered)
            co_return result.reply;
        last = result.reply;
        last.state = TransactionState::Idle;
        // A connection that broke before anything was sent is worth another try; a primary without room is not.
        if (last.error != StatementError::Misrouted)
            co_return last;
    }
    co_return last;
}

// Starts the transaction on a member. False with the failure if none took it.
asio::awaitable<bool> SessionRunner::bind(StatementCall call, TargetReply& failure)
{
    std::set<std::string> tried;
    failure = this->refuse(StatementError::Busy, "no member may run this transaction now; try again later");
    while (this->tries < mostBusyTries && Clock::now() < call.deadline) {
        auto view = this->context->view->read();
        auto placement = this->transaction.readOnly
            ? this->context->groups->placeRead(*view, this->needOf(call), tried, Clock::now())
            : this->context->groups->placeWrite(*view, call.route.pool, Clock::now());
        if (!placement)
            co_return false;
        ++this->tries;
        this->member = placement->pool->target().id;
        tried.insert(this->member);
        TimePoint waitUntil = std::min(call.deadline, Clock::now() + roomWait(call.route));
        auto link = co_await placement->pool->borrow(call.workspace, call.route.priority, waitUntil);
        if (!link) {
            failure.errorText = link.error().message;
            continue;
        }
        bool begun = co_await this->beginOn(*link, *placement, call, failure);
        if (begun)
            co_return true;
        giveBackClean(this->context->executor, placement->pool, *link);
    }
    co_return false;
}

asio::awaitable<bool> SessionRunner::beginOn(
    std::shared_ptr<TargetLink> link, Placement placement, StatementCall call, TargetReply& failure)
{
    bool adopted = co_await link->adopt(this->values, "", "", timeLeft(call.deadline));
    TargetCommand begin;
    begin.kind = this->transaction.readOnly ? TargetCommand::Kind::BeginRead : TargetCommand::Kind::Begin;
    tl::expected<TargetReply, LinkFailure> reply;
    if (adopted && !this->mayStillRun(placement, call)) {
        failure.errorText = "the key or the primary changed, or can't be confirmed any more";
        co_return false;
    }
    if (adopted)
        reply = co_await link->command(begin, placement.after, timeLeft(call.deadline));
    TimePoint waitUntil = std::min(call.deadline, Clock::now() + roomWait(call.route));
    while (adopted && reply && reply->error == StatementError::Busy && Clock::now() + busyPause < waitUntil
        && this->mayStillRun(placement, call)) {
        placement.pool->noteBusy();
        co_await this->pause(busyPause);
        reply = co_await link->command(begin, placement.after, timeLeft(call.deadline));
    }
    if (!adopted || !reply) {
        placement.pool->noteFailure(false, Clock::now());
        failure.errorText = "the member did not begin the transaction";
        co_return false;
    }
    if (reply->error) {
        failure.errorText = fmt::format("the member refused to begin: {}", statementErrorName(*reply->error));
        co_return false;
    }
    this->transaction.service = call.route.pool;
    this->transaction.pool = placement.pool;
    this->transaction.link = link;
    co_return true;
}

// A transaction sees what its member had when it began, and a member that lost the lead refuses what would write.
Placement SessionRunner::transactionPlacement() const
{
    Placement placement;
    placement.pool = this->transaction.pool;
    return placement;
}

asio::awaitable<TargetReply> SessionRunner::runInTransaction(SessionStatement statement, StatementCall call)
{
    if (this->transaction.readOnly && this->writes(statement))
        co_return this->failTransaction(StatementError::ReadOnly, "the transaction only reads");
    if (!this->transaction.link) {
        TargetReply failure;
        bool bound = co_await this->bind(call, failure);
        if (!bound)
            co_return this->failTransaction(StatementError::Aborted, failure.errorText);
    }
    this->setResting(false);
    this->member = this->transaction.pool->target().id;
    bool wrote = this->writes(statement);
    for (unsigned i = 0; i < mostBusyTries; ++i) {
        ++this->tries;
        Placement bound = this->transactionPlacement();
        Try result = co_await this->exchange(this->transaction.link, bound, statement, call, timeLeft(call.deadline));
        if (!result.reply.error && result.fate == Try::Fate::Answered) {
            this->transaction.wrote = this->transaction.wrote || wrote;
            this->setResting(true);
            result.reply.state = TransactionState::Open;
            co_return result.reply;
        }
        bool busy = result.fate == Try::Fate::NotRun && result.reply.error == StatementError::Busy
            && result.reply.state == TransactionState::Open;
        if (!busy || Clock::now() + busyPause >= call.deadline) {
            std::string why = result.reply.error ? statementErrorName(*result.reply.error) : result.reply.errorText;
            co_return this->failTransaction(StatementError::Aborted, "the transaction was rolled back: " + why);
        }
        co_await this->pause(busyPause);
    }
    co_return this->failTransaction(StatementError::Aborted, "the transaction was rolled back: the member is busy");
}

asio::awaitable<TargetReply> SessionRunner::commit(SessionStatement statement, StatementCall call)
{
    if (!this->transaction.link) {
        TargetReply failure;
        bool bound = co_await this->bind(call, failure);
        if (!bound) {
            this->abandon();
            this->transaction.state = TransactionState::Idle;
            co_return this->refuse(StatementError::Aborted, failure.errorText);
        }
    }
    this->setResting(false);
    this->member = this->transaction.pool->target().id;
    ++this->tries;
    std::string service = this->transaction.service;
    bool wrote = this->transaction.wrote;
    Placement bound = this->transactionPlacement();
    Try result
        = co_await this->exchange(this->transaction.link, bound, std::move(statement), call, timeLeft(call.deadline));
    this->abandon();
    this->transaction.state = TransactionState::Idle;
    if (result.fate == Try::Fate::Lost) {
        if (wrote)
            co_return this->refuse(StatementError::InDoubt, "the answer to the commit was lost; it may have run");
        co_return this->refuse(StatementError::Aborted, "the answer to the commit was lost; nothing was written");
    }
    if (result.fate == Try::Fate::NotRun)
        co_return this->refuse(StatementError::Aborted, "the member did not commit; the transaction is rolled back");
    if (!result.reply.error && wrote) {
        this->committed[service] = result.reply.position;
        this->context->groups->noteAcknowledged(service, result.reply.position);
    }
    result.reply.state = TransactionState::Idle;
    co_return result.reply;
}

} // namespace catkinlock
