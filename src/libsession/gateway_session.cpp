#include "libsession/gateway_session.h"

#include "libsession/session_context.h"
#include "libsession/target_groups.h"

namespace catkinlock {

namespace asio = boost::asio;

GatewaySession::GatewaySession(std::shared_ptr<SessionContext> context)
    : context(std::move(context))
{
}

bool GatewaySession::isUsedFor(const std::string& service) const
{
    return this->context->reads && this->context->statementForwarder && this->context->groups->usesGateways(service);
}

asio::awaitable<GatewaySession::Answer> GatewaySession::read(
    ForwardedCall call, TimePoint deadline, std::shared_ptr<LateReply> late)
{
    auto forwarded = co_await this->context->reads->forward(std::move(call), deadline, std::move(late));
    if (!forwarded)
        co_return tl::unexpected(forwarded.error());
    // The gateway has run the read unless its reply rules that out.
    const auto& error = forwarded->reply.error;
    bool mayHaveRun = !error || !isNotRun(*error);
    ForwardedOutcome outcome { std::move(*forwarded), mayHaveRun };
    co_return outcome;
}

asio::awaitable<GatewaySession::Answer> GatewaySession::write(
    ForwardedCall call, bool preparedWrites, TimePoint deadline)
{
    auto gateway = this->context->statementForwarder->choose(call.workspace, call.route.pool, GatewayUse::Once);
    if (!gateway)
        co_return tl::unexpected(gateway.error());
    ForwardedStatement statement { std::move(call), 0, 0, preparedWrites, false };
    co_return co_await this->context->statementForwarder->forward(*gateway, std::move(statement), deadline, deadline);
}

bool GatewaySession::openTransaction(const std::string& workspace, const std::string& service)
{
    this->endTransaction();
    auto gateway = this->context->statementForwarder->choose(workspace, service, GatewayUse::Repeatable);
    if (gateway)
        this->transaction = { *gateway, this->context->statementForwarder->newTransaction(), 0 };
    return gateway.has_value();
}

asio::awaitable<GatewaySession::Answer> GatewaySession::continueTransaction(
    TransactionStatement given, TimePoint deadline)
{
    Transaction& current = *this->transaction;
    TimePoint now = Clock::now();
    // Leaves time to begin the transaction elsewhere.
    TimePoint replyUntil = deadline;
    if (!current.sequence)
        replyUntil = now + gatewayReplyTime(given.call.route, now, deadline);
    ForwardedStatement statement { std::move(given.call), current.number, ++current.sequence, given.preparedWrites,
        given.readOnly };
    StatementForwarder::Gateway gateway = current.gateway;
    auto answer = co_await this->context->statementForwarder->forward(
        std::move(gateway), std::move(statement), deadline, replyUntil);
    if (answer && answer->result.reply.state != TransactionState::Open)
        this->transaction.reset();
    if (!answer)
        this->endTransaction();
    co_return answer;
}

void GatewaySession::endTransaction()
{
    if (this->transaction && this->transaction->sequence)
        this->context->statementForwarder->endTransaction(this->transaction->gateway, this->transaction->number);
    this->transaction.reset();
}

} // namespace catkinlock
