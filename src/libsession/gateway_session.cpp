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
    ForwardedStatement statement { std::move(call), 0, 0, preparedWrites };
    co_return co_await this->context->statementForwarder->forward(*gateway, std::move(statement), deadline, deadline);
}

asio::awaitable<GatewaySession::Answer> GatewaySession::begin(ForwardedCall call, TimePoint deadline)
{
    this->endTransaction();
    auto gateway = this->context->statementForwarder->choose(call.workspace, call.route.pool, GatewayUse::Repeatable);
    if (!gateway)
        co_return tl::unexpected(gateway.error());
    Transaction next { *gateway, this->context->statementForwarder->newTransaction(), 1 };
    TimePoint replyUntil = Clock::now() + gatewayReplyTime(call.route, Clock::now(), deadline);
    ForwardedStatement statement { std::move(call), next.number, next.sequence, false };
    auto answer
        = co_await this->context->statementForwarder->forward(*gateway, std::move(statement), deadline, replyUntil);
    if (answer && answer->result.reply.state == TransactionState::Open)
        this->transaction = next;
    else if (!answer && answer.error() == ForwardFailure::ReplyLost)
        this->context->statementForwarder->endTransaction(next.gateway, next.number);
    co_return answer;
}

asio::awaitable<GatewaySession::Answer> GatewaySession::continueTransaction(
    ForwardedCall call, bool preparedWrites, TimePoint deadline)
{
    Transaction& current = *this->transaction;
    ForwardedStatement statement { std::move(call), current.number, ++current.sequence, preparedWrites };
    StatementForwarder::Gateway gateway = current.gateway;
    auto answer = co_await this->context->statementForwarder->forward(
        std::move(gateway), std::move(statement), deadline, deadline);
    if (answer && answer->result.reply.state != TransactionState::Open)
        this->transaction.reset();
    if (!answer)
        this->endTransaction();
    co_return answer;
}

void GatewaySession::endTransaction()
{
    if (!this->transaction)
        return;
    this->context->statementForwarder->endTransaction(this->transaction->gateway, this->transaction->number);
    this->transaction.reset();
}

} // namespace catkinlock
