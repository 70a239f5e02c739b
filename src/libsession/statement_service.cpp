#include "libsession/statement_service.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_sender.h"
#include "libsession/progress_notice.h"
#include "libsession/read_forwarder.h"
#include "libsession/session_context.h"
#include "libsession/session_runner.h"
#include "libsession/spawn.h"
#include "libsession/target_groups.h"
#include "libsession/view_freshness.h"
#include "peer.pb.h"
#include <algorithm>
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Further operations are refused, because they would wait here for long.
    constexpr std::size_t maxRunning = 64;
    constexpr std::size_t maxTransactions = 1024;
    // Longer than a request is accepted after its sending, so that none is taken for a new one.
    constexpr Milliseconds repeatMemory { 3000 };
    // A transaction is ended this long after its idle limit, at which its own instance ends it.
    constexpr Milliseconds idleMargin { 1000 };
    // A transaction whose instance the view does not list is ended after this time, since the view may be behind.
    constexpr Milliseconds unlistedLimit { 3000 };
    // Idle limit if the configuration has none.
    constexpr std::chrono::minutes defaultIdleLimit { 10 };

    // The statement that begins the transaction of a first statement.
    SessionStatement beginOf(const ForwardedStatement& first)
    {
        SessionStatement begin;
        begin.id = first.call.statement.id;
        begin.kind = first.readOnly ? StatementKind::BeginRead : StatementKind::Begin;
        return begin;
    }

} // namespace

struct StatementService::Transaction {
    explicit Transaction(const std::shared_ptr<SessionContext>& sessions)
        : runner(sessions)
    {
    }
    SessionRunner runner;
    // Place of the last statement.
    std::uint32_t sequence = 0;
    bool running = false;
    // Ended by its instance while a statement was running.
    bool ended = false;
    TimePoint usedAt;
};

StatementService::StatementService(Parts parts)
    : parts(std::move(parts))
{
}

void StatementService::receiveRequest(const std::string& sender, const wire::StatementRequest& request)
{
    auto statement = readStatement(request);
    if (!statement) {
        writeLog(LogLevel::Warning, "statement_request_rejected", { { "sender", sender } });
        return;
    }
    TimePoint now = Clock::now();
    Received received { sender, request.call().id(), std::move(*statement),
        { request.gateway_run(), Milliseconds(request.sent_at_ms()) }, now,
        now + Milliseconds(request.call().time_left_ms()) };
    asio::post(this->parts.sessions->executor,
        [self = this->shared_from_this(), received = std::move(received)] { self->accept(received); });
}

void StatementService::receiveEnd(const std::string& sender, std::uint64_t transaction)
{
    asio::post(this->parts.sessions->executor,
        [self = this->shared_from_this(), key = TransactionKey(sender, transaction)] { self->end(key); });
}

bool StatementService::isRepeated(const Received& received, TimePoint now)
{
    while (!this->recentOrder.empty() && now - this->recentOrder.front().first > repeatMemory) {
        this->recentRequests.erase(this->recentOrder.front().second);
        this->recentOrder.pop_front();
    }
    RequestKey key(received.sender, received.id);
    if (!this->recentRequests.insert(key).second)
        return true;
    this->recentOrder.emplace_back(now, key);
    return false;
}

bool StatementService::isAvailable(TimePoint now) const
{
    const SessionContext& sessions = *this->parts.sessions;
    return !sessions.drain && sessions.freshness->isFresh(now) && this->running < maxRunning
        && this->transactions.size() < maxTransactions;
}

// The transaction that the statement belongs to, a new one for the first statement of one or for a write outside one.
// Null if the statement can't be run.
std::shared_ptr<StatementService::Transaction> StatementService::transactionFor(const Received& received, TimePoint now)
{
    const ForwardedStatement& statement = received.statement;
    bool confirmed = confirmsKey(*this->parts.sessions, statement.call.keyDigest);
    if (!confirmed || !isCurrent(received.sentAt, { this->parts.run, Milliseconds(toClockMs(now)) }))
        return nullptr;
    TransactionKey key(received.sender, statement.transaction);
    if (statement.sequence > 1) {
        auto found = this->transactions.find(key);
        bool isNext = found != this->transactions.end() && !found->second->running
            && found->second->sequence + 1 == statement.sequence;
        return isNext ? found->second : nullptr;
    }
    if (!this->isAvailable(now) || this->transactions.count(key))
        return nullptr;
    auto transaction = std::make_shared<Transaction>(this->parts.sessions);
    if (statement.transaction)
        this->transactions[key] = transaction;
    return transaction;
}

void StatementService::accept(Received received)
{
    TimePoint now = Clock::now();
    if (this->isRepeated(received, now))
        return;
    auto transaction = this->transactionFor(received, now);
    if (!transaction) {
        this->endRefused(received);
        return this->refuse(received);
    }
    transaction->sequence = received.statement.sequence;
    transaction->running = true;
    ++this->running;
    this->updateOpenCount();
    spawn(
        this->parts.sessions->executor, [self = this->shared_from_this(), received = std::move(received), transaction] {
            return self->serve(received, transaction);
        });
}

asio::awaitable<void> StatementService::serve(Received received, std::shared_ptr<Transaction> transaction)
{
    auto self = this->shared_from_this();
    auto sessions = this->parts.sessions;
    const ForwardedCall& forwarded = received.statement.call;
    SessionRunner& runner = transaction->runner;
    sessions->groups->refresh(*sessions->view->read(), Clock::now());
    StatementCall call;
    call.route = forwarded.route;
    call.workspace = forwarded.workspace;
    call.arrivedAt = Clock::now();
    call.deadline = received.deadline;
    if (sessions->drain)
        call.deadline = std::min(call.deadline, sessions->drain->repliesEnd);
    // The instance that received the statement has checked the caller's key, by a view that may be older by now than it
    // may be used.
    call.isAllowed = [sessions, digest = forwarded.keyDigest] { return confirmsKey(*sessions, digest); };
    runner.beginStatement();
    runner.adopt(forwarded, received.statement.preparedWrites);
    ProgressNotice notice(sessions->executor, gatewayReplyTime(call.route, call.arrivedAt, received.deadline) / 2,
        [self, received] { self->reportRunning(received); });
    ForwardedOutcome outcome;
    if (received.statement.sequence == 1)
        outcome.result.reply = co_await runner.run(beginOf(received.statement), call);
    if (!outcome.result.reply.error)
        outcome.result.reply = co_await runner.run(forwarded.statement, call);
    outcome.result.reply.state = runner.state();
    outcome.result.member = runner.lastMember();
    outcome.result.attempts = runner.lastAttempts();
    outcome.mayHaveRun = runner.mayHaveRun();
    transaction->running = false;
    transaction->usedAt = Clock::now();
    --this->running;
    if (transaction->ended || runner.state() != TransactionState::Open)
        this->end({ received.sender, received.statement.transaction });
    this->updateOpenCount();
    auto envelope = std::make_shared<wire::Envelope>();
    writeStatementReply(outcome, *envelope->mutable_statement_reply());
    this->reply(received, envelope);
}

void StatementService::end(const TransactionKey& key)
{
    auto found = this->transactions.find(key);
    if (found == this->transactions.end())
        return;
    auto transaction = found->second;
    transaction->ended = true;
    if (transaction->running)
        return;
    transaction->runner.close();
    this->transactions.erase(found);
    this->updateOpenCount();
}

// Rolls back the transaction of a statement that is refused, because its instance then takes it for rolled back.
void StatementService::endRefused(const Received& received)
{
    TransactionKey key(received.sender, received.statement.transaction);
    auto found = this->transactions.find(key);
    if (found != this->transactions.end() && !found->second->running)
        found->second->runner.refundUnrun(received.statement.call.workspace);
    this->end(key);
}

void StatementService::endOverdue(TimePoint now)
{
    auto view = this->parts.sessions->view->read();
    Milliseconds idleLimit = view->tables->idleTransactionMs
        ? Milliseconds(view->tables->idleTransactionMs) + idleMargin
        : Milliseconds(defaultIdleLimit);
    const auto& drain = this->parts.sessions->drain;
    bool leaves = drain && now > drain->transactionsEnd;
    std::set<std::string> addresses;
    for (const auto& [name, instance] : view->instances)
        addresses.insert(instance.peerAddress);
    std::vector<TransactionKey> overdue;
    for (const auto& [key, transaction] : this->transactions) {
        Milliseconds limit = addresses.count(key.first) ? idleLimit : std::min(idleLimit, unlistedLimit);
        if (leaves || (!transaction->running && now - transaction->usedAt > limit))
            overdue.push_back(key);
    }
    for (const TransactionKey& key : overdue)
        this->end(key);
}

void StatementService::refuse(const Received& received)
{
    auto envelope = std::make_shared<wire::Envelope>();
    envelope->mutable_statement_reply()->mutable_result()->set_unavailable(true);
    this->reply(received, envelope);
}

void StatementService::reportRunning(const Received& received)
{
    auto envelope = std::make_shared<wire::Envelope>();
    envelope->mutable_statement_reply()->mutable_result()->set_running(true);
    this->reply(received, envelope);
}

void StatementService::reply(const Received& received, std::shared_ptr<wire::Envelope> envelope)
{
    wire::ReadReply& result = *envelope->mutable_statement_reply()->mutable_result();
    result.set_id(received.id);
    result.set_request(received.statement.call.statement.id);
    result.set_gateway_run(this->parts.run);
    result.set_clock_ms(toClockMs(received.receivedAt));
    asio::post(this->parts.control,
        [link = this->parts.link, address = received.sender, envelope] { link->send(address, *envelope); });
}

void StatementService::updateOpenCount() { this->openCount = this->transactions.size() + this->running; }

} // namespace catkinlock
