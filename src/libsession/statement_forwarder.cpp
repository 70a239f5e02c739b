#include "libsession/statement_forwarder.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_sender.h"
#include "libsession/gateway_clocks.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // The gateway's deadline is earlier than the one here, so that its reply arrives in time.
    constexpr Milliseconds replyMargin { 20 };

} // namespace

struct StatementForwarder::Pending {
    explicit Pending(const asio::any_io_executor& executor)
        : ended(executor)
    {
    }
    // Address of the gateway.
    std::string address;
    // The caller's id of the request.
    std::string request;
    TimePoint sentAt;
    // Run of the gateway that the request names; 0 if it names none. Gateways refuse such requests.
    std::uint64_t run = 0;
    // Cancelled by the reply.
    asio::steady_timer ended;
    // The gateway has told that the statement is running, so that its reply is waited for.
    bool running = false;
    bool replied = false;
    // No part of the request was sent, or there was no time left to run the statement.
    bool notSent = false;
    // The gateway did not run the statement.
    bool refused = false;
    std::optional<ForwardedOutcome> outcome;
};

StatementForwarder::StatementForwarder(Parts parts)
    : parts(std::move(parts))
    , lastId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
{
}

tl::expected<StatementForwarder::Gateway, ForwardFailure> StatementForwarder::choose(
    const std::string& workspace, const std::string& service, GatewayUse use) const
{
    auto view = this->parts.view->read();
    std::string name = this->parts.gateways->choose(*view, workspace, service, use, Clock::now());
    if (name == this->parts.instance)
        return tl::unexpected(ForwardFailure::OwnGateway);
    if (name.empty())
        return tl::unexpected(ForwardFailure::NotRun);
    return Gateway { name, view->instances.at(name).peerAddress };
}

asio::awaitable<tl::expected<ForwardedOutcome, ForwardFailure>> StatementForwarder::forward(
    Gateway gateway, ForwardedStatement given, TimePoint deadline, TimePoint replyUntil)
{
    auto self = this->shared_from_this();
    auto statement = std::make_shared<const ForwardedStatement>(std::move(given));
    auto pending = co_await this->exchange(gateway, statement, deadline, replyUntil);
    // The refusal of a request that didn't name the gateway's run tells the run.
    if (!pending->run && pending->refused)
        pending = co_await this->exchange(gateway, statement, deadline, replyUntil);
    if (pending->outcome) {
        this->parts.gateways->recordReply(gateway.name);
        ++this->forwardedCount;
        co_return std::move(*pending->outcome);
    }
    ++this->lostCount;
    if (pending->refused)
        this->parts.gateways->recordUnavailable(gateway.name, Clock::now());
    else if (!pending->notSent)
        this->parts.gateways->recordLost(gateway.name, Clock::now());
    writeLog(LogLevel::Info, "gateway_lost",
        { { "request", statement->call.statement.id }, { "gateway", gateway.name },
            { "replied", pending->refused ? "yes" : "no" }, { "sent", pending->notSent ? "no" : "yes" } });
    bool notRun = pending->refused || pending->notSent || !pending->run;
    co_return tl::unexpected(notRun ? ForwardFailure::NotRun : ForwardFailure::ReplyLost);
}

asio::awaitable<std::shared_ptr<StatementForwarder::Pending>> StatementForwarder::exchange(
    Gateway gateway, std::shared_ptr<const ForwardedStatement> statement, TimePoint deadline, TimePoint replyUntil)
{
    auto self = this->shared_from_this();
    std::uint64_t id = ++this->lastId;
    auto pending = std::make_shared<Pending>(this->parts.requests);
    pending->address = gateway.address;
    pending->request = statement->call.statement.id;
    pending->sentAt = Clock::now();
    GatewayTime gatewayTime = this->parts.clocks->at(gateway.address, pending->sentAt);
    pending->run = gatewayTime.run;
    auto timeLeft = std::chrono::duration_cast<Milliseconds>(deadline - pending->sentAt) - replyMargin;
    pending->notSent = timeLeft <= Milliseconds(0);
    if (pending->notSent)
        co_return pending;
    this->pendingStatements[id] = pending;
    auto envelope = std::make_shared<wire::Envelope>();
    writeStatement(*statement, timeLeft, gatewayTime, *envelope->mutable_statement_request());
    envelope->mutable_statement_request()->mutable_call()->set_id(id);
    this->send(gateway.address, envelope, id);
    // Without a reply to a request that names no run, there has to be time to run the statement elsewhere.
    if (!pending->run)
        replyUntil = pending->sentAt + gatewayReplyTime(statement->call.route, pending->sentAt, replyUntil);
    pending->ended.expires_after(std::max(Duration(0), replyUntil - pending->sentAt));
    co_await pending->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    if (pending->running && !pending->replied) {
        pending->ended.expires_after(std::max(Duration(0), deadline - Clock::now()));
        co_await pending->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->pendingStatements.erase(id);
    co_return pending;
}

void StatementForwarder::send(std::string address, std::shared_ptr<wire::Envelope> envelope, std::uint64_t id)
{
    asio::post(this->parts.control, [self = this->shared_from_this(), address = std::move(address), envelope, id] {
        if (self->parts.link->send(address, *envelope))
            return;
        asio::post(self->parts.requests, [self, id] { self->recordNotSent(id); });
    });
}

void StatementForwarder::recordNotSent(std::uint64_t id)
{
    auto found = this->pendingStatements.find(id);
    if (found == this->pendingStatements.end())
        return;
    found->second->notSent = true;
    found->second->ended.cancel();
}

void StatementForwarder::endTransaction(const Gateway& gateway, std::uint64_t transaction)
{
    auto envelope = std::make_shared<wire::Envelope>();
    envelope->mutable_transaction_end()->set_transaction(transaction);
    asio::post(this->parts.control,
        [link = this->parts.link, address = gateway.address, envelope] { link->send(address, *envelope); });
}

void StatementForwarder::receiveReply(const std::string& sender, const wire::StatementReply& message)
{
    asio::post(
        this->parts.requests, [self = this->shared_from_this(), sender, message] { self->complete(sender, message); });
}

void StatementForwarder::complete(const std::string& sender, const wire::StatementReply& message)
{
    const wire::ReadReply& result = message.result();
    auto found = this->pendingStatements.find(result.id());
    if (found == this->pendingStatements.end())
        return;
    Pending& pending = *found->second;
    if (pending.request != result.request() || pending.address != sender) {
        writeLog(LogLevel::Warning, "foreign_reply_ignored",
            { { "sender", sender }, { "request", result.request() }, { "expected", pending.request } });
        return;
    }
    this->parts.clocks->record(
        sender, { result.gateway_run(), Milliseconds(result.clock_ms()) }, pending.sentAt, Clock::now());
    if (result.running()) {
        if (!std::exchange(pending.running, true))
            pending.ended.cancel();
        return;
    }
    pending.replied = true;
    // A reply that can't be read, of a later release perhaps, says nothing about whether the statement ran.
    pending.refused = result.unavailable();
    pending.outcome = readStatementReply(message);
    pending.ended.cancel();
}

} // namespace catkinlock
