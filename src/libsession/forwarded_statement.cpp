#include "libsession/forwarded_statement.h"

#include "peer.pb.h"

namespace catkinlock {

namespace {

    // The kinds that are forwarded.
    bool isForwardable(StatementKind kind)
    {
        switch (kind) {
        case StatementKind::Commit:
        case StatementKind::Read:
        case StatementKind::Write:
        case StatementKind::Execute:
            return true;
        default:
            return false;
        }
    }

} // namespace

void writeStatement(const ForwardedStatement& statement, Milliseconds timeLeft, const GatewayTime& sentAt,
    wire::StatementRequest& request)
{
    writeCall(statement.call, timeLeft, *request.mutable_call());
    request.set_kind(static_cast<std::uint32_t>(statement.call.statement.kind));
    request.set_transaction(statement.transaction);
    request.set_sequence(statement.sequence);
    request.set_prepared_writes(statement.preparedWrites);
    request.set_read_only(statement.readOnly);
    request.set_gateway_run(sentAt.run);
    request.set_sent_at_ms(sentAt.clock.count());
}

std::optional<ForwardedStatement> readStatement(const wire::StatementRequest& request)
{
    auto call = readCall(request.call());
    if (!call || request.kind() > static_cast<std::uint32_t>(StatementKind::Other))
        return std::nullopt;
    auto kind = static_cast<StatementKind>(request.kind());
    bool executes = call->statement.kind == StatementKind::Execute;
    bool valid = isForwardable(kind) && executes == (kind == StatementKind::Execute)
        && (request.transaction() != 0) == (request.sequence() != 0);
    if (!valid)
        return std::nullopt;
    call->statement.kind = kind;
    return ForwardedStatement { std::move(*call), request.transaction(), request.sequence(), request.prepared_writes(),
        request.read_only() };
}

void writeStatementReply(const ForwardedOutcome& outcome, wire::StatementReply& reply)
{
    writeReply(outcome.result, *reply.mutable_result());
    reply.set_state(static_cast<std::uint32_t>(outcome.result.reply.state));
    reply.set_may_have_run(outcome.mayHaveRun);
}

std::optional<ForwardedOutcome> readStatementReply(const wire::StatementReply& reply)
{
    auto result = readReply(reply.result());
    if (!result || reply.state() > static_cast<std::uint32_t>(TransactionState::Failed))
        return std::nullopt;
    result->reply.state = static_cast<TransactionState>(reply.state());
    return ForwardedOutcome { std::move(*result), reply.may_have_run() };
}

} // namespace catkinlock
