#include "libsession/session_runner.h"

#include "catkinlock/log.h"
#include "catkinlock/rendezvous.h"
#include "libserver/admission.h"
#include "libsession/read_forwarder.h"
#include "libsession/spawn.h"
#include "libsession/target_link.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Attempts at a read outside a transaction, each on another member.
    constexpr unsigned maxReadAttempts = 4;
    // Attempts at a write outside a transaction, at starting a transaction, and at a statement within one.
    constexpr unsigned maxAttempts = 3;
    // Delay before a statement is sent again to a member that refused it for want of capacity.
    constexpr Milliseconds busyRetryDelay { 15 };
    // Part of the remaining time that the first attempt at a read may take, so that time is left to try another member.
    constexpr double firstReadTimeFraction = 0.6;
    // A connection whose rollback takes longer is closed.
    constexpr Milliseconds rollbackTimeout { 500 };

    bool begins(const SessionStatement& statement)
    {
        return statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginRead;
    }

    // Rolls back the open transaction on the connection, and returns the connection to its pool. A connection on which
    // the rollback fails is closed.
    asio::awaitable<void> rollBack(std::shared_ptr<TargetPool> pool, std::shared_ptr<TargetLink> link)
    {
        TargetCommand command;
        command.kind = TargetCommand::Kind::Rollback;
        auto reply = co_await link->command(command, std::nullopt, Clock::now() + rollbackTimeout);
        if (!reply)
            link->close();
        pool->release(link);
    }

    // Returns the connection to its pool, after a rollback in the background if a transaction is open on it.
    void rollBackAndRelease(
        const asio::any_io_executor& executor, std::shared_ptr<TargetPool> pool, std::shared_ptr<TargetLink> link)
    {
        if (link->isOpen() && link->state() != TransactionState::Idle) {
            spawn(executor, [pool, link] { return rollBack(pool, link); });
            return;
        }
        pool->release(link);
    }

} // namespace

SessionRunner::SessionRunner(std::shared_ptr<SessionContext> context)
    : context(std::move(context))
    , gateway(this->context)
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
    this->memberId.clear();
    this->attempts = 0;
}

// Tells the pool whether the transaction's connection is in use by a statement. Between its statements a transaction
// holds a connection but uses no capacity of the member.
void SessionRunner::setIdleInTransaction(bool idleInTransaction)
{
    if (this->transaction.idleInTransaction == idleInTransaction)
        return;
    this->transaction.idleInTransaction = idleInTransaction;
    this->transaction.pool->recordIdleInTransaction(idleInTransaction);
}

void SessionRunner::abandon()
{
    this->gateway.endTransaction();
    if (this->transaction.pool)
        this->setIdleInTransaction(false);
    if (this->transaction.link)
        rollBackAndRelease(this->context->executor, this->transaction.pool, this->transaction.link);
    this->transaction.link = nullptr;
    this->transaction.pool = nullptr;
    this->transaction.state = TransactionState::Failed;
}

void SessionRunner::abandonUnreported()
{
    if (this->transaction.state != TransactionState::Open)
        return;
    this->abandon();
    this->transaction.failureUnreported = true;
}

void SessionRunner::rollBack()
{
    this->abandon();
    this->transaction.state = TransactionState::Idle;
}

void SessionRunner::refundUnrun(const std::string& workspace)
{
    if (this->operationToken.recordReply(true, this->operationMayHaveRun, TransactionState::Failed))
        this->context->admission->refund(workspace);
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

WorkKind SessionRunner::workKind(const SessionStatement& statement, const Route& route) const
{
    if (statement.kind == StatementKind::Commit)
        return workKindOf(route, WorkKind::Access::Commit);
    return workKindOf(route, this->writes(statement) ? WorkKind::Access::Write : WorkKind::Access::Read);
}

// Name under which a prepared statement is known on a connection. Connections are shared by sessions, and two callers
// may use one name for different statements, so the name is a hash of the statement's text.
std::string SessionRunner::preparedNameFor(const SessionStatement& statement) const
{
    if (statement.kind != StatementKind::Execute)
        return "";
    return fmt::format("c{:x}", stableHash(this->prepared.at(statement.name).argument));
}

ReadRequirements SessionRunner::readRequirements(const StatementCall& call) const
{
    ReadRequirements requirements;
    requirements.service = call.route.pool;
    requirements.workspace = call.workspace;
    requirements.consistency = call.route.consistency;
    requirements.maxAge = Milliseconds(call.route.maxAgeMs);
    requirements.work = workKindOf(call.route, WorkKind::Access::Read);
    auto lastCommit = this->committedPositions.find(call.route.pool);
    if (lastCommit != this->committedPositions.end())
        requirements.lastCommit = lastCommit->second;
    return requirements;
}

TargetReply SessionRunner::runLocally(const SessionStatement& statement)
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
        this->rollBack();
        break;
    default:
        return this->refuse(StatementError::Malformed, "unknown kind of statement");
    }
    reply.state = this->transaction.state;
    return reply;
}

// Returns the reply to a statement that the session's state does not allow; std::nullopt if it does.
std::optional<TargetReply> SessionRunner::refuseByState(const SessionStatement& statement)
{
    TransactionState before = this->transaction.state;
    bool endsTransaction = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (std::exchange(this->transaction.failureUnreported, false) && !endsTransaction)
        return this->refuse(
            StatementError::Aborted, "the transaction was rolled back because it was idle or its instance is leaving");
    if (before == TransactionState::Failed && !endsTransaction)
        return this->refuse(
            StatementError::Malformed, "the transaction has failed; end it before sending other statements");
    if (before == TransactionState::Failed && statement.kind == StatementKind::Commit) {
        this->transaction.state = TransactionState::Idle;
        return this->refuse(StatementError::Aborted, "the transaction was rolled back");
    }
    if (begins(statement) && before == TransactionState::Open)
        return this->refuse(StatementError::Malformed, "a transaction is already open in this session");
    if (endsTransaction && before == TransactionState::Idle)
        return this->refuse(StatementError::Malformed, "no transaction is open in this session");
    if (statement.kind == StatementKind::Execute && !this->prepared.count(statement.name))
        return this->refuse(StatementError::NoStatement, "no such prepared statement");
    return std::nullopt;
}

asio::awaitable<TargetReply> SessionRunner::run(SessionStatement statement, StatementCall call)
{
    bool starts = this->startsOperation(statement);
    if (starts) {
        this->operationMayHaveWritten = false;
        this->operationMayHaveRun = false;
    }
    if (auto refusal = this->refuseByState(statement))
        co_return std::move(*refusal);
    TargetReply reply;
    if (starts)
        reply = co_await this->startOperation(std::move(statement), call);
    else
        reply = co_await this->runHere(std::move(statement), call);
    if (this->operationToken.recordReply(reply.error.has_value(), this->operationMayHaveRun, this->state()))
        this->context->admission->refund(call.workspace);
    co_return reply;
}

// Runs the first statement of an operation at the gateway of its workspace, or here if there is none or it can't. The
// operation's rate token is taken where it runs.
asio::awaitable<TargetReply> SessionRunner::startOperation(SessionStatement statement, StatementCall call)
{
    auto late = std::make_shared<LateReply>();
    auto forwarded = co_await this->startAtGateway(statement, call, late);
    if (forwarded)
        co_return std::move(*forwarded);
    auto refusal = co_await this->admit(call);
    TargetReply reply;
    if (refusal)
        reply = std::move(*refusal);
    else
        reply = co_await this->runHere(std::move(statement), call);
    // A reply of the gateway to a read that came too late is used if it is the only one.
    if (reply.error && late->reply && !late->reply->reply.error)
        co_return this->takeReply(std::move(*late->reply));
    co_return reply;
}

// Takes a rate token for an operation of the workspace. Returns the reply to the caller if there is none. A caller
// without a workspace, on an open route, has no rate.
asio::awaitable<std::optional<TargetReply>> SessionRunner::admit(StatementCall call)
{
    if (!this->context->admission || call.workspace == noWorkspace)
        co_return std::nullopt;
    TimePoint waitUntil = call.endOfCapacityWait(call.arrivedAt);
    // Leaves half of the time for the statement itself.
    TimePoint waitUntilAtStart = call.arrivedAt + (call.deadline - call.arrivedAt) / 2;
    auto admitted = co_await this->context->admission->admit(call.workspace, waitUntil, waitUntilAtStart);
    if (!admitted)
        co_return this->refuse(StatementError::Busy, admitted.error().message);
    this->operationToken.take();
    co_return std::nullopt;
}

// Runs a statement on this instance's own connections.
asio::awaitable<TargetReply> SessionRunner::runHere(SessionStatement statement, StatementCall call)
{
    bool runsOnMember = statement.kind == StatementKind::Read || statement.kind == StatementKind::Write
        || statement.kind == StatementKind::Execute || statement.kind == StatementKind::Commit;
    if (!runsOnMember)
        co_return this->runLocally(statement);
    if (this->gateway.inTransaction())
        co_return co_await this->continueAtGateway(std::move(statement), std::move(call));
    if (statement.kind == StatementKind::Commit)
        co_return co_await this->commit(std::move(statement), std::move(call));
    if (this->transaction.state == TransactionState::Open)
        co_return co_await this->runInTransaction(std::move(statement), std::move(call));
    if (this->writes(statement))
        co_return co_await this->writeOutsideTransaction(std::move(statement), std::move(call));
    co_return co_await this->readOutsideTransaction(std::move(statement), std::move(call));
}

void SessionRunner::adopt(const ForwardedCall& call, bool preparedWrites)
{
    this->adopted = true;
    this->values = call.values;
    if (call.lastCommit.term)
        this->committedPositions[call.route.pool] = call.lastCommit;
    if (call.statement.kind != StatementKind::Execute)
        return;
    SessionStatement prepare;
    prepare.kind = StatementKind::Prepare;
    prepare.name = call.statement.name;
    prepare.argument = call.preparedText;
    prepare.writes = preparedWrites;
    this->prepared[prepare.name] = prepare;
}

// The statement with what a gateway needs of the session to run it.
ForwardedCall SessionRunner::describe(const SessionStatement& statement, const StatementCall& call) const
{
    ForwardedCall described;
    described.route = call.route;
    described.workspace = call.workspace;
    described.keyDigest = call.keyDigest;
    described.lastCommit = this->readRequirements(call).lastCommit;
    described.values = this->values;
    if (statement.kind == StatementKind::Execute)
        described.preparedText = this->prepared.at(statement.name).argument;
    described.statement = statement;
    return described;
}

// Has the gateway start an operation, if this instance's share of the members' connections is too small to keep one for
// it. std::nullopt if the operation is to be run here.
asio::awaitable<std::optional<TargetReply>> SessionRunner::startAtGateway(
    SessionStatement statement, StatementCall call, std::shared_ptr<LateReply> late)
{
    if (this->adopted || !this->gateway.isUsedFor(call.route.pool))
        co_return std::nullopt;
    if (begins(statement)) {
        if (!this->gateway.openTransaction(call.workspace, call.route.pool))
            co_return std::nullopt;
        co_return this->runLocally(statement);
    }
    bool wrote = this->writes(statement);
    ForwardedCall described = this->describe(statement, call);
    GatewaySession::Answer answer;
    if (wrote)
        answer = co_await this->gateway.write(std::move(described), wrote, call.deadline);
    else
        answer = co_await this->gateway.read(std::move(described), call.deadline, std::move(late));
    if (!answer) {
        bool lost = answer.error() == ForwardFailure::ReplyLost;
        // The token of what may have run at the gateway was taken there.
        this->operationMayHaveRun = lost && wrote;
        this->operationMayHaveWritten = lost && wrote;
        if (lost && wrote)
            co_return this->refuse(StatementError::InDoubt, "no reply from the gateway; the write may have run");
        co_return std::nullopt;
    }
    co_return this->takeOutcome(std::move(*answer), wrote, call);
}

// Has the gateway run the next statement of the session's transaction. One that did not begin there is begun here.
asio::awaitable<TargetReply> SessionRunner::continueAtGateway(SessionStatement statement, StatementCall call)
{
    bool writes = this->writes(statement);
    if (this->transaction.readOnly && writes)
        co_return this->failTransaction(
            StatementError::ReadOnly, "a write in a read-only transaction; the transaction was rolled back");
    bool commits = statement.kind == StatementKind::Commit;
    bool commitsWrites = commits && this->transaction.wrote;
    bool isFirst = this->gateway.isAtBeginning();
    this->operationMayHaveWritten = this->operationMayHaveWritten || writes || commitsWrites;
    GatewaySession::TransactionStatement next { this->describe(statement, call), writes, this->transaction.readOnly };
    auto answer = co_await this->gateway.continueTransaction(std::move(next), call.deadline);
    if (!answer && isFirst)
        co_return co_await this->beginHere(std::move(statement), std::move(call));
    if (!answer)
        co_return this->failAtGateway(commits, answer.error());
    TargetReply reply = this->takeOutcome(std::move(*answer), commitsWrites, call);
    if (commits)
        reply.state = TransactionState::Idle;
    else if (reply.state != TransactionState::Open)
        reply.state = TransactionState::Failed;
    this->transaction.state = reply.state;
    this->transaction.wrote = this->transaction.wrote || (writes && !reply.error);
    co_return reply;
}

// Begins the transaction here, with its first statement, after its gateway did not. What a gateway may have run of it
// is rolled back, since no commit was sent.
asio::awaitable<TargetReply> SessionRunner::beginHere(SessionStatement statement, StatementCall call)
{
    auto refusal = co_await this->admit(call);
    if (refusal)
        co_return this->failTransaction(StatementError::Aborted, refusal->errorText);
    co_return co_await this->runHere(std::move(statement), std::move(call));
}

// The reply to a statement of a transaction that its gateway did not run, or to which no reply arrived.
TargetReply SessionRunner::failAtGateway(bool commits, ForwardFailure failure)
{
    bool lost = failure == ForwardFailure::ReplyLost;
    bool wrote = this->transaction.wrote;
    this->operationMayHaveRun = this->operationMayHaveRun || lost;
    if (!commits)
        return this->failTransaction(
            StatementError::Aborted, "the transaction was rolled back: its gateway did not run the statement");
    this->rollBack();
    if (lost && wrote)
        return this->refuse(
            StatementError::InDoubt, "no reply to the commit from the gateway; it may have taken effect");
    return this->refuse(StatementError::Aborted, "the gateway did not commit; the transaction was rolled back");
}

// Takes over what a gateway reports. `committed`: a success is the commit of writes.
TargetReply SessionRunner::takeOutcome(ForwardedOutcome outcome, bool committed, const StatementCall& call)
{
    this->operationMayHaveRun = this->operationMayHaveRun || outcome.mayHaveRun;
    this->operationMayHaveWritten = this->operationMayHaveWritten || (committed && outcome.mayHaveRun);
    this->memberId = outcome.result.member;
    this->attempts = outcome.result.attempts;
    if (committed && !outcome.result.reply.error) {
        this->committedPositions[call.route.pool] = outcome.result.reply.position;
        this->context->groups->recordAcknowledged(call.route.pool, outcome.result.reply.position);
    }
    return std::move(outcome.result.reply);
}

TargetReply SessionRunner::takeReply(ForwardedReply forwarded)
{
    this->memberId = forwarded.member;
    this->attempts = forwarded.attempts;
    return std::move(forwarded.reply);
}

// True if the view in use confirms that the member is the service's primary.
bool SessionRunner::isPrimaryInUse(const TargetPool& pool, const std::string& service) const
{
    auto primary = this->context->view->read()->primaryOf(service);
    return primary && primary->id == pool.target().id && this->context->freshness->isFresh(Clock::now());
}

// Checks the caller's permission, the member and the primary again just before a statement is sent: either may have
// changed while the statement waited for a connection.
bool SessionRunner::mayStillRun(const Placement& placement, const StatementCall& call) const
{
    if (!call.isAllowed() || !TargetGroups::mayUse(*this->context->view->read(), *placement.pool, Clock::now()))
        return false;
    return !placement.isPrimary || this->isPrimaryInUse(*placement.pool, call.route.pool);
}

// End of a wait for a place at a member that begins now.
TimePoint SessionRunner::endOfPlaceWait(const StatementCall& call) const
{
    return call.endOfPlaceWait(Clock::now(), this->context->groups->usesGateways(call.route.pool));
}

asio::awaitable<SessionRunner::Attempt> SessionRunner::exchange(std::shared_ptr<TargetLink> link, Placement placement,
    SessionStatement statement, StatementCall call, TimePoint deadline)
{
    Attempt attempt;
    std::shared_ptr<TargetPool> pool = placement.pool;
    auto notSent = [&attempt, &link](const char* why) {
        attempt.reply.error = StatementError::Busy;
        attempt.reply.errorText = why;
        attempt.reply.state = link->state();
        return attempt;
    };
    TimePoint startedAt = Clock::now();
    if (startedAt >= deadline)
        co_return notSent("not sent: the statement's time was over when it had a connection to the member");
    std::string preparedName = this->preparedNameFor(statement);
    std::string preparedText;
    if (!preparedName.empty())
        preparedText = this->prepared.at(statement.name).argument;
    bool stateApplied = co_await link->applySessionState(this->values, preparedName, preparedText, deadline);
    if (!stateApplied) {
        pool->recordFailure(startedAt, false, Clock::now());
        attempt.reply.error = StatementError::Busy;
        attempt.reply.errorText
            = "the session's values or prepared statement could not be set on the connection to the member";
        co_return attempt;
    }
    TimePoint sentAt = Clock::now();
    if (sentAt >= deadline)
        co_return notSent("not sent: setting the session's values took all of the statement's time");
    if (!this->mayStillRun(placement, call))
        co_return notSent(
            "not sent: the caller's key is no longer valid, or the primary changed or can't be confirmed");
    bool wrote = this->writes(statement) || (statement.kind == StatementKind::Commit && this->transaction.wrote);
    this->operationMayHaveWritten = this->operationMayHaveWritten || wrote;
    SentRequest request = this->context->groups->requestTo(*this->context->view->read(), pool, sentAt);
    auto reply = co_await link->send(statement, placement.after, preparedName, deadline);
    TimePoint now = Clock::now();
    this->operationMayHaveRun = this->operationMayHaveRun || !reply || !reply->error || !isNotRun(*reply->error);
    WorkKind work = this->workKind(statement, call.route);
    if (!reply) {
        pool->recordFailure(sentAt, wrote, now);
        pool->recordSpeed(work, now - sentAt, true, now);
        attempt.outcome = Attempt::AttemptOutcome::ReplyLost;
        attempt.reply.errorText = reply.error().message;
        co_return attempt;
    }
    // A success without the member's signature is not the reply to this statement.
    if (!reply->error && reply->signature.empty()) {
        link->close();
        pool->recordFailure(sentAt, wrote, now);
        pool->recordSpeed(work, now - sentAt, true, now);
        attempt.outcome = Attempt::AttemptOutcome::ReplyLost;
        attempt.reply.errorText = "the member's reply has no signature; the connection was closed";
        co_return attempt;
    }
    attempt.reply = std::move(*reply);
    bool notRun = attempt.reply.error && isNotRun(*attempt.reply.error);
    attempt.outcome = notRun ? Attempt::AttemptOutcome::NotRun : Attempt::AttemptOutcome::Replied;
    bool done = !attempt.reply.error;
    this->context->groups->recordMemberPosition(*pool, attempt.reply.position, now);
    if (attempt.reply.error == StatementError::Busy)
        pool->recordBusy(now);
    if (attempt.reply.error == StatementError::Lagging) {
        pool->recordLagging(placement.after.value_or(Position {}), attempt.reply.position, now);
        co_return attempt;
    }
    pool->recordReply(now - sentAt, wrote && done, attempt.reply.position, now);
    // Callers' own errors meet all members alike, except those of writes, which only the primary runs.
    // A reply that doesn't fit the memory for callers says nothing about the member.
    bool ownError = attempt.reply.error == StatementError::Failed && work.access != WorkKind::Access::Read;
    bool failed = !done && !ownError && attempt.reply.error != StatementError::TooLarge;
    if (!notRun)
        pool->recordSpeed(work, now - sentAt, failed, now);
    // A refusal for want of capacity also carries the primary's position. An overloaded primary sends little else, so
    // without these replies the position would be missing just then.
    if (done || attempt.reply.error == StatementError::Busy)
        this->context->groups->recordReplyPosition(*this->context->view->read(), request, attempt.reply.position, now);
    // The next primary may lack what one acknowledges that is being replaced.
    if (wrote && done && !this->isPrimaryInUse(*pool, call.route.pool)) {
        attempt.outcome = Attempt::AttemptOutcome::ReplyLost;
        attempt.reply.errorText = "the primary was replaced, or can't be confirmed, before its reply arrived";
    }
    co_return attempt;
}

bool SessionRunner::wasRefusedAsBusy(const Attempt& attempt)
{
    return attempt.outcome == Attempt::AttemptOutcome::NotRun && attempt.reply.error == StatementError::Busy;
}

asio::awaitable<void> SessionRunner::sleepFor(Milliseconds time)
{
    asio::steady_timer timer(this->context->executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void SessionRunner::logFailedAttempt(
    const Attempt& attempt, const SessionStatement& statement, const std::optional<Position>& after) const
{
    if (attempt.outcome == Attempt::AttemptOutcome::Replied && !attempt.reply.error)
        return;
    Position minPosition = after.value_or(Position {});
    writeLog(LogLevel::Info, "try_failed",
        { { "request", statement.id }, { "member", this->memberId },
            { "reason", attempt.reply.error ? statementErrorName(*attempt.reply.error) : "lost" },
            { "detail", attempt.reply.errorText },
            { "needed", fmt::format("{}.{}", minPosition.term, minPosition.lsn) },
            { "position", fmt::format("{}.{}", attempt.reply.position.term, attempt.reply.position.lsn) } });
}

asio::awaitable<SessionRunner::Attempt> SessionRunner::attemptOn(
    Placement placement, SessionStatement statement, StatementCall call, TimePoint deadline)
{
    ++this->attempts;
    this->memberId = placement.pool->target().id;
    TimePoint waitUntil = std::min(deadline, this->endOfPlaceWait(call));
    auto link
        = co_await placement.pool->borrow(call.workspace, call.route.priority, waitUntil, placement.isReplaceable);
    Attempt attempt;
    if (!link) {
        attempt.reply.error = link.error().refusal.value_or(StatementError::Busy);
        attempt.reply.errorText = link.error().message;
        this->logFailedAttempt(attempt, statement, placement.after);
        co_return attempt;
    }
    attempt = co_await this->exchange(*link, placement, statement, call, deadline);
    // No other member can replace the primary. A new connection would cost the primary as much as a statement, so the
    // statement is sent again on the same one.
    while (placement.isPrimary && this->wasRefusedAsBusy(attempt) && Clock::now() + busyRetryDelay < waitUntil) {
        co_await this->sleepFor(busyRetryDelay);
        attempt = co_await this->exchange(*link, placement, statement, call, deadline);
    }
    this->logFailedAttempt(attempt, statement, placement.after);
    rollBackAndRelease(this->context->executor, placement.pool, *link);
    attempt.reply.state = TransactionState::Idle;
    co_return attempt;
}

asio::awaitable<TargetReply> SessionRunner::readOutsideTransaction(SessionStatement statement, StatementCall call)
{
    std::set<std::string> tried;
    TargetReply last = this->refuse(StatementError::Busy, "no member can serve this read now; try again later");
    ReadRequirements requirements = this->readRequirements(call);
    while (this->attempts < maxReadAttempts && Clock::now() < call.deadline) {
        auto view = this->context->view->read();
        auto placement = this->context->groups->placeRead(*view, requirements, tried, Clock::now());
        if (!placement)
            break;
        TimePoint now = Clock::now();
        auto firstReadTime = std::chrono::duration_cast<Duration>((call.deadline - now) * firstReadTimeFraction);
        TimePoint deadline = this->attempts == 0 ? now + firstReadTime : call.deadline;
        tried.insert(placement->pool->target().id);
        Attempt attempt = co_await this->attemptOn(*placement, statement, call, deadline);
        if (attempt.outcome == Attempt::AttemptOutcome::Replied && !attempt.reply.error)
            co_return attempt.reply;
        last = this->refuse(StatementError::Busy, "no member served this read; try again later");
        if (attempt.reply.error)
            last.errorText = fmt::format(
                "no member served this read; the last one tried replied {}", statementErrorName(*attempt.reply.error));
    }
    // A read keeps nothing, so its failure is always reported as not run, also if the last reply was lost.
    co_return last;
}

asio::awaitable<TargetReply> SessionRunner::writeOutsideTransaction(SessionStatement statement, StatementCall call)
{
    TargetReply last = this->refuse(StatementError::Busy, "the group has no usable primary now; try again in a second");
    while (this->attempts < maxAttempts && Clock::now() < call.deadline) {
        auto view = this->context->view->read();
        auto placement = this->context->groups->placeWrite(*view, call.route.pool, Clock::now());
        if (!placement)
            co_return last;
        Attempt attempt = co_await this->attemptOn(*placement, statement, call, call.deadline);
        if (attempt.outcome == Attempt::AttemptOutcome::ReplyLost)
            co_return this->refuse(StatementError::InDoubt, "no reply from the primary; the write may have run");
        bool done = !attempt.reply.error;
        if (done) {
            this->committedPositions[call.route.pool] = attempt.reply.position;
            this->context->groups->recordAcknowledged(call.route.pool, attempt.reply.position);
        }
        if (attempt.outcome == Attempt::AttemptOutcome::Replied)
            co_return attempt.reply;
        last = attempt.reply;
        last.state = TransactionState::Idle;
        // Misrouted means that another member responded at this address, so the write is placed again. A primary
        // without capacity is not tried again here, because attemptOn already waited for it.
        if (last.error != StatementError::Misrouted)
            co_return last;
    }
    co_return last;
}

// Starts the transaction on a member. False if no member started it; `failure` then holds the reply to the caller.
asio::awaitable<bool> SessionRunner::bind(StatementCall call, TargetReply& failure)
{
    std::set<std::string> tried;
    failure = this->refuse(StatementError::Busy, "no member can run this transaction now; try again later");
    // All attempts share one wait.
    TimePoint waitUntil = this->endOfPlaceWait(call);
    while (this->attempts < maxAttempts && Clock::now() < waitUntil) {
        auto view = this->context->view->read();
        auto placement = this->transaction.readOnly
            ? this->context->groups->placeRead(*view, this->readRequirements(call), tried, Clock::now())
            : this->context->groups->placeWrite(*view, call.route.pool, Clock::now());
        if (!placement)
            co_return false;
        ++this->attempts;
        this->memberId = placement->pool->target().id;
        tried.insert(this->memberId);
        auto link = co_await placement->pool->borrow(
            call.workspace, call.route.priority, waitUntil, placement->isReplaceable);
        if (!link) {
            failure.errorText = link.error().message;
            continue;
        }
        bool begun = co_await this->beginOn(*link, *placement, call, failure);
        if (begun)
            co_return true;
        rollBackAndRelease(this->context->executor, placement->pool, *link);
    }
    co_return false;
}

asio::awaitable<bool> SessionRunner::beginOn(
    std::shared_ptr<TargetLink> link, Placement placement, StatementCall call, TargetReply& failure)
{
    TimePoint sentAt = Clock::now();
    bool stateApplied = co_await link->applySessionState(this->values, "", "", call.deadline);
    TargetCommand begin;
    begin.kind = this->transaction.readOnly ? TargetCommand::Kind::BeginRead : TargetCommand::Kind::Begin;
    tl::expected<TargetReply, LinkFailure> reply;
    if (stateApplied && !this->mayStillRun(placement, call)) {
        failure.errorText
            = "not sent: the caller's key is no longer valid, or the primary changed or can't be confirmed";
        co_return false;
    }
    if (stateApplied) {
        sentAt = Clock::now();
        reply = co_await link->command(begin, placement.after, call.deadline);
    }
    TimePoint waitUntil = this->endOfPlaceWait(call);
    while (stateApplied && reply && reply->error == StatementError::Busy && Clock::now() + busyRetryDelay < waitUntil
        && this->mayStillRun(placement, call)) {
        placement.pool->recordBusy(Clock::now());
        co_await this->sleepFor(busyRetryDelay);
        sentAt = Clock::now();
        reply = co_await link->command(begin, placement.after, call.deadline);
    }
    if (!stateApplied || !reply) {
        placement.pool->recordFailure(sentAt, false, Clock::now());
        failure.errorText = "the member did not start the transaction; the connection to it was closed";
        co_return false;
    }
    if (reply->error) {
        failure.errorText
            = fmt::format("the member refused to start the transaction: {}", statementErrorName(*reply->error));
        co_return false;
    }
    placement.pool->recordExchange(Clock::now() - sentAt, Clock::now());
    this->transaction.service = call.route.pool;
    this->transaction.pool = placement.pool;
    this->transaction.link = link;
    co_return true;
}

// Requires no position: a transaction reads the data that its member had when it began. Writes and the commit of writes
// go to the primary in use only. A former primary that does not know yet that it was replaced would still accept them.
Placement SessionRunner::transactionPlacement(const SessionStatement& statement) const
{
    bool commitsWrites = statement.kind == StatementKind::Commit && this->transaction.wrote;
    return { this->transaction.pool, std::nullopt, commitsWrites || this->writes(statement) };
}

asio::awaitable<TargetReply> SessionRunner::runInTransaction(SessionStatement statement, StatementCall call)
{
    if (this->transaction.readOnly && this->writes(statement))
        co_return this->failTransaction(
            StatementError::ReadOnly, "a write in a read-only transaction; the transaction was rolled back");
    if (!this->transaction.link) {
        TargetReply failure;
        bool bound = co_await this->bind(call, failure);
        if (!bound)
            co_return this->failTransaction(StatementError::Aborted, failure.errorText);
    }
    this->setIdleInTransaction(false);
    this->memberId = this->transaction.pool->target().id;
    bool wrote = this->writes(statement);
    for (unsigned i = 0; i < maxAttempts; ++i) {
        ++this->attempts;
        Placement placement = this->transactionPlacement(statement);
        Attempt attempt = co_await this->exchange(this->transaction.link, placement, statement, call, call.deadline);
        if (!attempt.reply.error && attempt.outcome == Attempt::AttemptOutcome::Replied) {
            this->transaction.wrote = this->transaction.wrote || wrote;
            this->setIdleInTransaction(true);
            attempt.reply.state = TransactionState::Open;
            co_return attempt.reply;
        }
        bool busy = attempt.outcome == Attempt::AttemptOutcome::NotRun && attempt.reply.error == StatementError::Busy
            && attempt.reply.state == TransactionState::Open;
        if (!busy || Clock::now() + busyRetryDelay >= call.deadline) {
            std::string why = attempt.reply.error ? statementErrorName(*attempt.reply.error) : attempt.reply.errorText;
            co_return this->failTransaction(StatementError::Aborted, "the transaction was rolled back: " + why);
        }
        co_await this->sleepFor(busyRetryDelay);
    }
    co_return this->failTransaction(StatementError::Aborted, "the transaction was rolled back: the member is busy");
}

asio::awaitable<TargetReply> SessionRunner::commit(SessionStatement statement, StatementCall call)
{
    if (!this->transaction.link) {
        TargetReply failure;
        bool bound = co_await this->bind(call, failure);
        if (!bound) {
            this->rollBack();
            co_return this->refuse(StatementError::Aborted, failure.errorText);
        }
    }
    this->setIdleInTransaction(false);
    this->memberId = this->transaction.pool->target().id;
    ++this->attempts;
    std::string service = this->transaction.service;
    bool wrote = this->transaction.wrote;
    Placement placement = this->transactionPlacement(statement);
    Attempt attempt
        = co_await this->exchange(this->transaction.link, placement, std::move(statement), call, call.deadline);
    this->rollBack();
    if (attempt.outcome == Attempt::AttemptOutcome::ReplyLost) {
        if (wrote)
            co_return this->refuse(StatementError::InDoubt, "no reply to the commit; it may have taken effect");
        co_return this->refuse(StatementError::Aborted, "no reply to the commit; the transaction wrote nothing");
    }
    if (attempt.outcome == Attempt::AttemptOutcome::NotRun)
        co_return this->refuse(StatementError::Aborted, "the member did not commit; the transaction was rolled back");
    if (!attempt.reply.error && wrote) {
        this->committedPositions[service] = attempt.reply.position;
        this->context->groups->recordAcknowledged(service, attempt.reply.position);
    }
    attempt.reply.state = TransactionState::Idle;
    co_return attempt.reply;
}

} // namespace catkinlock
