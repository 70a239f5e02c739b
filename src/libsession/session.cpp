#include "libsession/session.h"

#include "catkinlock/caller_budget.h"
#include "catkinlock/caller_limit_log.h"
#include "catkinlock/caller_protocol.h"
#include "catkinlock/digest.h"
#include "catkinlock/log.h"
#include "catkinlock/refusal.h"
#include "libplatform/socket_options.h"
#include "libserver/service_level.h"
#include "libsession/view_freshness.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t readChunkBytes = 8 << 10;
    // Time of a statement on a route that sets no limit of its own.
    constexpr Milliseconds defaultStatementTimeout { 5000 };
    // The deadline lies this much before the route's limit, so that the reply reaches the caller within the limit.
    constexpr Milliseconds responseMargin { 20 };
    // A session of a leaving instance is ended between two operations only after it was quiet for this long.
    constexpr Milliseconds minQuietTime { 200 };
    // Longest wait for a caller to close a session after the notice that it ends.
    constexpr Milliseconds noticeTimeout { 500 };
    constexpr const char* leavingText = "not run: this instance is leaving; use another one";

    // A session that has read a message keeps at most this for the next one.
    constexpr std::size_t keptBufferBytes = 2 * readChunkBytes;
    // Reserved for a message that is larger. The system provides the memory only as it is written; growing step by step
    // would leave a heap of freed smaller buffers.
    constexpr std::size_t largeBufferBytes = (1 << 20) + 2 * readChunkBytes;
    // While a statement runs, its text is held up to this many times: as text and argument of the statement, of the
    // attempt and of the exchange with the member, and as it is sent.
    constexpr std::uint64_t statementCopies = 6;
    // The same for a statement that only changes the session.
    constexpr std::uint64_t localStatementCopies = 4;
    // A value is held under its name; a prepared statement with its whole text besides. The tables that name them take
    // the rest.
    constexpr std::uint64_t keptCopies = 3;
    constexpr std::uint64_t keptEntryBytes = 256;
    // Time and bytes for a refused caller to read the refusal: closing a connection with unread input resets it, and
    // the refusal could be lost.
    constexpr Milliseconds refusalTimeout { 500 };
    constexpr std::size_t maxDiscardedBytes = 4 << 20;
    // Longest first word of a statement that is logged.
    constexpr std::size_t maxKindBytes = 32;

    // The kind of a statement for the log, without its parameters.
    std::string firstWord(const std::string& text) { return text.substr(0, std::min(text.find(' '), maxKindBytes)); }

    // An assignment would keep the memory.
    void freeText(std::string& text)
    {
        text.clear();
        text.shrink_to_fit();
    }

    bool isKept(StatementKind kind) { return kind == StatementKind::SetValue || kind == StatementKind::Prepare; }

    // Name of a value or prepared statement among all that a session keeps; empty for other statements.
    std::string keptName(const SessionStatement& statement)
    {
        if (!isKept(statement.kind) && statement.kind != StatementKind::Deallocate)
            return "";
        return (statement.kind == StatementKind::SetValue ? "v" : "p") + statement.name;
    }

    // What the session keeps of a statement.
    std::uint64_t keptSize(const SessionStatement& statement)
    {
        return !isKept(statement.kind) ? 0 : keptCopies * statement.text.size() + keptEntryBytes;
    }

    auto asResult() { return asio::as_tuple(asio::use_awaitable); }

} // namespace

struct Session::Socket {
    explicit Socket(asio::ip::tcp::socket connection)
        : stream(std::move(connection))
        , idleTimer(this->stream.get_executor())
        , deadline(this->stream.get_executor())
    {
    }
    asio::ip::tcp::socket stream;
    asio::steady_timer idleTimer;
    // Ends the session if a message does not arrive, or a reply is not taken, in time.
    asio::steady_timer deadline;
};

Session::Session(
    asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context, std::shared_ptr<CallerCharge> charge)
    : socket(std::make_unique<Socket>(std::move(socket)))
    , context(std::move(context))
    , charge(std::move(charge))
    , runner(this->context)
    , quietSince(Clock::now())
{
    ++this->context->sessions;
    boost::system::error_code ignored;
    this->socket->stream.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->socket->stream.set_option(asio::socket_base::keep_alive(true), ignored);
}

Session::~Session() { --this->context->sessions; }

void Session::cancelRead()
{
    boost::system::error_code ignored;
    this->socket->stream.cancel(ignored);
}

void Session::endIfDue(TimePoint now)
{
    const auto& drain = this->context->drain;
    boost::system::error_code ignored;
    bool waits = this->awaitingInput && this->received.empty() && !this->socket->stream.available(ignored);
    if (!drain || !waits)
        return;
    if (this->noticeGivenAt) {
        if (now > std::min(*this->noticeGivenAt + noticeTimeout, drain->repliesEnd))
            this->cancelRead();
        return;
    }
    if (now > drain->transactionsEnd)
        this->runner.abandonUnreported();
    bool idle = this->runner.state() == TransactionState::Idle;
    TimePoint due = idle ? drain->idleSessionsEnd : drain->statementsEnd;
    // A caller that is quiet only for a moment is likely to send a statement, as long as there is time to run it.
    TimePoint quietEnough = std::min(this->quietSince + minQuietTime, drain->statementsEnd);
    if (now <= std::max(due, quietEnough))
        return;
    this->noticeDue = true;
    this->cancelRead();
}

// What a statement gets in reply that the caller has sent before it saw the notice. It is not run. It may belong to the
// operation before, so that nothing is promised if that one may have written.
StatementError Session::noticeError() const
{
    if (this->runner.state() != TransactionState::Idle)
        return StatementError::Aborted;
    return this->runner.mayHaveWritten() ? StatementError::Failed : StatementError::Busy;
}

// Tells the caller that the session ends. An open transaction is rolled back before.
void Session::appendNotice(std::string& out)
{
    this->runner.abandonUnreported();
    this->context->protocol->appendNotice(out, this->noticeError(), leavingText);
    this->noticeGivenAt = Clock::now();
}

asio::awaitable<void> Session::run()
{
    auto self = this->shared_from_this();
    bool open = co_await this->open();
    while (open)
        open = co_await this->serveNext();
    if (this->context->drain)
        this->logEndWhileLeaving();
    this->runner.close();
    if (this->limitMet)
        co_await this->refuse(*this->limitMet);
    this->stopDeadline();
    boost::system::error_code ignored;
    this->socket->stream.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->socket->stream.close(ignored);
}

void Session::meetLimit(CallerLimit limit)
{
    if (this->limitMet)
        return;
    this->limitMet = limit;
    reportCallerLimit(*this->charge->budget(), limit, "callers", this->charge->address(), this->charge->bytes());
}

void Session::recordIfTooLarge(const std::optional<CallerMessage>& message)
{
    auto* malformed = message ? std::get_if<MalformedMessage>(&*message) : nullptr;
    if (malformed && malformed->tooLarge)
        this->meetLimit(CallerLimit::MessageBytes);
}

// Ends the session after this time, unless `stopDeadline` is called before.
void Session::startDeadline(Milliseconds time, CallerLimit limit)
{
    std::uint64_t number = ++this->deadlineNumber;
    if (!time.count())
        return;
    this->socket->deadline.expires_after(time);
    std::weak_ptr<Session> weak = this->weak_from_this();
    this->socket->deadline.async_wait([weak, limit, number](boost::system::error_code error) {
        auto session = weak.lock();
        if (error || !session || session->deadlineNumber != number)
            return;
        session->meetLimit(limit);
        session->cancelRead();
    });
}

void Session::stopDeadline()
{
    ++this->deadlineNumber;
    this->socket->deadline.cancel();
}

// Charges the bytes of the message that arrives, and sets the time for it to be complete. A session that waits for the
// first byte of its next message has all the time. False if the session ends for a limit.
bool Session::chargeReceived()
{
    if (!this->arriving && (!this->received.empty() || !this->opened)) {
        this->arriving = true;
        this->startDeadline(this->charge->budget()->limits().arrivalTime, CallerLimit::ArrivalTime);
    }
    auto limit = this->charge->hold(CallerCharge::Part::Received, this->received.size());
    if (limit)
        this->meetLimit(*limit);
    return !this->limitMet;
}

void Session::recordMessageTaken()
{
    this->stopDeadline();
    this->arriving = false;
    this->opened = true;
    if (this->received.capacity() > keptBufferBytes)
        this->received.shrink_to_fit();
    this->charge->record(CallerCharge::Part::Received, this->received.size());
}

// Charges a statement before it runs, with the session's values, which are passed on with it, and what the session will
// keep of it. False if the session ends for a limit.
bool Session::chargeStatement(const SessionStatement& statement)
{
    bool isLocal = isKept(statement.kind);
    std::uint64_t bytes = isLocal ? localStatementCopies * statement.text.size()
                                  : statementCopies * statement.text.size() + this->keptBytesSum;
    auto limit = this->charge->hold(CallerCharge::Part::Statement, bytes);
    if (!limit && isLocal) {
        auto former = this->keptBytes.find(keptName(statement));
        std::uint64_t replaced = former == this->keptBytes.end() ? 0 : former->second;
        limit = this->charge->hold(CallerCharge::Part::Session, this->keptBytesSum - replaced + keptSize(statement));
    }
    if (limit)
        this->meetLimit(*limit);
    return !limit;
}

// Records what the session keeps after a statement on a value or prepared statement of this name, which is empty for
// other statements. A size of 0 stands for one that is no longer kept.
void Session::updateSessionBytes(const std::string& name, std::uint64_t size, bool succeeded)
{
    if (succeeded && !name.empty()) {
        std::uint64_t& kept = this->keptBytes[name];
        this->keptBytesSum += size - kept;
        kept = size;
        if (!size)
            this->keptBytes.erase(name);
    }
    this->charge->record(CallerCharge::Part::Session, this->keptBytesSum);
}

// Tells the caller which limit it has met, as far as it reads that, and discards what it still sends for a short time.
// A caller that does not take its reply is cut off, so that the kernel frees what it holds for the connection.
asio::awaitable<void> Session::refuse(CallerLimit limit)
{
    auto& stream = this->socket->stream;
    if (limit == CallerLimit::ReplyTime) {
        setResetOnClose(stream, true);
        co_return;
    }
    freeText(this->received);
    this->charge->record(CallerCharge::Part::Received, 0);
    this->charge->record(CallerCharge::Part::Statement, 0);
    std::string bytes;
    this->context->protocol->appendNotice(bytes, callerLimitError(limit),
        std::string("not run: limit of this instance reached: ") + callerLimitName(limit));
    boost::system::error_code ignored;
    stream.non_blocking(true, ignored);
    stream.write_some(asio::buffer(bytes), ignored);
    stream.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->startDeadline(refusalTimeout, limit);
    std::string chunk(readChunkBytes, '\0');
    for (std::size_t discarded = 0; discarded < maxDiscardedBytes;) {
        auto [error, size] = co_await stream.async_read_some(asio::buffer(chunk), asResult());
        if (error)
            co_return;
        discarded += size;
    }
}

// Serves the next message. False once the session has ended.
asio::awaitable<bool> Session::serveNext()
{
    auto message = co_await this->nextMessage();
    std::string bytes;
    if (!message && std::exchange(this->noticeDue, false)) {
        this->appendNotice(bytes);
        co_return co_await this->write(std::move(bytes));
    }
    this->noticeDue = false;
    auto* statement = message ? std::get_if<SessionStatement>(&*message) : nullptr;
    if (!statement) {
        this->recordIfTooLarge(message);
        co_return false;
    }
    if (!this->noticeGivenAt)
        co_return co_await this->serveStatement(std::move(*statement));
    this->completeNotice(*statement, bytes);
    co_return co_await this->write(std::move(bytes));
}

// Appends the rest of the reply to a statement that the notice has crossed, and the notice once more: the caller took
// the one before for the beginning of this reply.
void Session::completeNotice(const SessionStatement& statement, std::string& out)
{
    TargetReply refusal;
    refusal.error = this->noticeError();
    refusal.errorText = leavingText;
    bool endsTransaction = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (endsTransaction)
        this->runner.rollBack();
    this->runner.beginStatement();
    this->recordOutcome(statement, refusal, {});
    this->context->protocol->appendRestOfNotice(out, this->runner.state());
    this->appendNotice(out);
}

asio::awaitable<bool> Session::serveStatement(SessionStatement statement)
{
    ++this->statements;
    this->lastStatement = firstWord(statement.text);
    if (!this->chargeStatement(statement))
        co_return false;
    std::string name = keptName(statement);
    std::uint64_t size = keptSize(statement);
    statement.charge = this->charge;
    bool inOperation = this->runner.state() != TransactionState::Idle || this->runner.startsOperation(statement);
    TargetReply reply = co_await this->runStatement(std::move(statement));
    this->charge->record(CallerCharge::Part::Statement, 0);
    this->updateSessionBytes(name, size, !reply.error);
    std::string bytes;
    this->context->protocol->appendReply(bytes, reply);
    // The rows are not kept while the caller takes them.
    reply.rows = {};
    auto limit = this->charge->takeLimitMet();
    const auto& drain = this->context->drain;
    // A caller that has prepared statements is likely to deallocate them next.
    bool operationEnded = inOperation && this->runner.state() == TransactionState::Idle && !this->runner.hasPrepared();
    if (drain && (operationEnded || Clock::now() > drain->statementsEnd))
        this->appendNotice(bytes);
    bool written = co_await this->write(std::move(bytes));
    // A reply that did not fit ends the session, unless another attempt has brought it.
    if (limit && reply.error)
        this->meetLimit(*limit);
    co_return written && !this->limitMet;
}

// Bytes that were not read tell that the caller has sent a request that gets no reply.
void Session::logEndWhileLeaving()
{
    if (!this->context->successLineBudget.take(Clock::now()))
        return;
    boost::system::error_code ignored;
    std::size_t unread = this->received.size() + this->socket->stream.available(ignored);
    writeLog(LogLevel::Info, "session_ended",
        { { "database", this->database }, { "caller_told", this->noticeGivenAt ? "yes" : "no" },
            { "unread_bytes", fmt::format("{}", unread) }, { "statements", fmt::format("{}", this->statements) },
            { "last_statement", this->lastStatement },
            { "in_transaction", this->runner.state() == TransactionState::Idle ? "no" : "yes" } });
}

asio::awaitable<bool> Session::write(std::string bytes)
{
    this->charge->record(CallerCharge::Part::Reply, bytes.capacity());
    this->startDeadline(this->charge->budget()->replyTime(bytes.size()), CallerLimit::ReplyTime);
    auto [error, size] = co_await asio::async_write(this->socket->stream, asio::buffer(bytes), asResult());
    this->stopDeadline();
    freeText(bytes);
    this->charge->record(CallerCharge::Part::Reply, 0);
    this->quietSince = Clock::now();
    co_return !error;
}

void Session::startIdleTransactionTimer()
{
    auto limit = this->context->view->read()->tables->idleTransactionMs;
    if (!limit || this->runner.state() != TransactionState::Open)
        return;
    this->socket->idleTimer.expires_after(Milliseconds(limit));
    std::weak_ptr<Session> weak = this->weak_from_this();
    this->socket->idleTimer.async_wait([weak](boost::system::error_code error) {
        auto session = weak.lock();
        if (error || !session || !session->awaitingInput || session->runner.state() != TransactionState::Open)
            return;
        session->runner.abandonUnreported();
        writeLog(LogLevel::Info, "idle_transaction_ended", { { "database", session->database } });
    });
}

asio::awaitable<std::optional<CallerMessage>> Session::nextMessage()
{
    std::size_t scanned = 0;
    for (;;) {
        std::optional<CallerMessage> message;
        if (this->context->protocol->mayHoldMessage(this->received, scanned))
            message = this->context->protocol->take(this->received);
        if (message) {
            this->recordMessageTaken();
            co_return message;
        }
        scanned = this->received.size();
        if (!this->chargeReceived())
            co_return std::nullopt;
        this->startIdleTransactionTimer();
        this->awaitingInput = true;
        std::size_t previousSize = this->received.size();
        std::string chunk(readChunkBytes, '\0');
        auto [error, size] = co_await this->socket->stream.async_read_some(asio::buffer(chunk), asResult());
        this->awaitingInput = false;
        this->socket->idleTimer.cancel();
        if (error)
            co_return std::nullopt;
        this->received.resize(previousSize);
        if (previousSize + size > keptBufferBytes)
            this->received.reserve(largeBufferBytes);
        this->received.append(chunk, 0, size);
    }
}

// The first message of the session; std::nullopt also if the session ends before it.
asio::awaitable<std::optional<CallerMessage>> Session::awaitOpening()
{
    auto message = co_await this->nextMessage();
    if (message || !std::exchange(this->noticeDue, false))
        co_return message;
    std::string bytes;
    this->appendNotice(bytes);
    bool written = co_await this->write(std::move(bytes));
    // What arrives now is read before the connection is closed, so that the notice is not lost with it.
    if (written)
        co_await this->nextMessage();
    co_return std::nullopt;
}

asio::awaitable<bool> Session::open()
{
    auto message = co_await this->awaitOpening();
    auto* opening = message ? std::get_if<OpenSession>(&*message) : nullptr;
    if (!opening) {
        this->recordIfTooLarge(message);
        co_return false;
    }
    this->database = opening->database;
    this->keyDigest = sha256Hex(opening->key);
    auto view = this->context->view->read();
    auto route = view->tables->routes.find(this->database);
    std::optional<StatementError> error;
    if (!this->context->freshness->isFresh(Clock::now()))
        error = StatementError::Busy;
    else if (route == view->tables->routes.end())
        error = StatementError::NoDatabase;
    else if (!route->second.open && !view->tables->keys.count(this->keyDigest))
        error = StatementError::Unauthenticated;
    std::string bytes;
    if (!error)
        this->context->protocol->appendOpened(bytes);
    else {
        const char* name = statementErrorName(*error);
        this->context->protocol->appendRefusedOpening(bytes, *error, name);
        writeLog(LogLevel::Warning, "session_refused",
            { { "database", this->database }, { "reason", name },
                { "configuration", fmt::format("{}", view->tables->revision) },
                { "view_age_ms", fmt::format("{}", this->context->freshness->age(Clock::now()).count()) } });
    }
    bool written = co_await this->write(std::move(bytes));
    co_return written && !error;
}

// Checks the caller's key and finds the route and deadline of a statement, by the tables now in force. Returns the
// reply to send if the statement is refused.
tl::expected<StatementCall, TargetReply> Session::admitCall() const
{
    TargetReply refusal;
    refusal.state = this->runner.state();
    TimePoint now = Clock::now();
    auto view = this->context->view->read();
    StatementCall call;
    auto route = view->tables->routes.find(this->database);
    auto key = view->tables->keys.find(this->keyDigest);
    bool known = route != view->tables->routes.end();
    if (this->transactionRoute)
        call.route = *this->transactionRoute;
    else if (known)
        call.route = route->second;
    else {
        refusal.error = StatementError::NoDatabase;
        refusal.errorText = "no route for this database in the configuration in force";
        return tl::unexpected(refusal);
    }
    if (!call.route.open && key == view->tables->keys.end()) {
        refusal.error = StatementError::Unauthenticated;
        refusal.errorText = "the key is unknown or was withdrawn";
        return tl::unexpected(refusal);
    }
    if (!call.route.open && !this->context->freshness->isFresh(now)) {
        refusal.error = StatementError::Busy;
        refusal.errorText = "this instance can't confirm the key, because its view of the metadata store is too old; "
                            "try another instance";
        return tl::unexpected(refusal);
    }
    // A caller without a valid key, on an open route, belongs to no workspace and is not limited in its rate.
    call.workspace = key == view->tables->keys.end() ? noWorkspace : key->second.workspace;
    call.arrivedAt = now;
    Milliseconds limit(call.route.statementTimeoutMs);
    call.deadline = now + (limit.count() ? limit - responseMargin : defaultStatementTimeout);
    if (this->context->drain)
        call.deadline = std::min(call.deadline, this->context->drain->repliesEnd);
    std::string digest = this->keyDigest;
    bool open = call.route.open;
    if (!open)
        call.keyDigest = digest;
    call.isAllowed = [context = this->context, digest, open] {
        return open || (context->freshness->isFresh(Clock::now()) && context->view->read()->tables->keys.count(digest));
    };
    this->context->groups->refresh(*view, Clock::now());
    return call;
}

// Returns the reply to a statement that this instance, which is leaving, does not pass on any more: a transaction has
// had its time, or too little is left to await a reply. std::nullopt if the statement is to be run.
std::optional<TargetReply> Session::refuseWhileLeaving(const SessionStatement& statement)
{
    const auto& drain = this->context->drain;
    TimePoint now = Clock::now();
    if (!drain)
        return std::nullopt;
    if (now > drain->transactionsEnd)
        this->runner.abandonUnreported();
    bool begins = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginRead;
    TimePoint lastStart = begins ? drain->transactionsEnd : drain->statementsEnd;
    if (now <= lastStart || !this->runner.startsOperation(statement))
        return std::nullopt;
    TargetReply refusal;
    refusal.error = StatementError::Busy;
    refusal.errorText = leavingText;
    return refusal;
}

asio::awaitable<TargetReply> Session::runStatement(SessionStatement statement)
{
    ++this->context->statements;
    this->runner.beginStatement();
    if (auto refusal = this->refuseWhileLeaving(statement)) {
        this->recordOutcome(statement, *refusal, {});
        co_return *refusal;
    }
    auto call = this->admitCall();
    if (!call) {
        TargetReply refusal = call.error();
        if (this->runner.state() == TransactionState::Open) {
            this->runner.abandon();
            refusal.state = TransactionState::Failed;
        }
        this->recordOutcome(statement, refusal, {});
        co_return refusal;
    }
    TargetReply reply = co_await this->runner.run(statement, *call);
    if (this->runner.state() == TransactionState::Idle)
        this->transactionRoute.reset();
    else if (!this->transactionRoute)
        this->transactionRoute = call->route;
    this->recordOutcome(statement, reply, *call);
    co_return reply;
}

void Session::recordOutcome(
    const SessionStatement& statement, const TargetReply& reply, const StatementCall& call) const
{
    TimePoint now = Clock::now();
    Duration took = call.arrivedAt == TimePoint() ? Duration(0) : now - call.arrivedAt;
    Refusal refusal;
    if (reply.error) {
        ++this->context->failures;
        refusal.outcome = guaranteesNoEffect(*reply.error) ? Outcome::NotRun : Outcome::Unknown;
        refusal.code = statementErrorName(*reply.error);
    }
    this->context->level->observe(call.route.name, call.workspace, reply.error ? &refusal : nullptr, took);
    LineBudget& budget = reply.error ? this->context->failureLineBudget : this->context->successLineBudget;
    if (!budget.take(now))
        return;
    std::string outcome = reply.error ? outcomeName(refusal.outcome) : outcomeName(Outcome::Done);
    writeLog(reply.error ? LogLevel::Warning : LogLevel::Info, reply.error ? "statement_failed" : "statement_done",
        { { "request", statement.id }, { "database", this->database }, { "workspace", call.workspace },
            { "outcome", outcome }, { "reason", refusal.code }, { "detail", reply.errorText },
            { "member", this->runner.lastMember() }, { "tries", fmt::format("{}", this->runner.lastAttempts()) },
            { "took_ms", fmt::format("{}", std::chrono::duration_cast<Milliseconds>(took).count()) },
            { "position", fmt::format("{}.{}", reply.position.term, reply.position.lsn) },
            { "configuration", fmt::format("{}", this->context->view->read()->tables->revision) },
            { "view_age_ms", fmt::format("{}", this->context->freshness->age(now).count()) } });
}

} // namespace catkinlock
