#include "libsession/forwarded_call.h"

#include "peer.pb.h"

namespace catkinlock {

void writeCall(const ForwardedCall& call, Milliseconds timeLeft, wire::ReadRequest& request)
{
    request.set_service(call.route.pool);
    request.set_workspace(call.workspace);
    request.set_key_digest(call.keyDigest);
    request.set_consistency(static_cast<std::uint32_t>(call.route.consistency));
    request.set_max_age_ms(call.route.maxAgeMs);
    request.set_priority(call.route.priority);
    request.set_latency_objective_ms(call.route.latencyObjectiveMs);
    request.mutable_last_commit()->set_term(call.lastCommit.term);
    request.mutable_last_commit()->set_lsn(call.lastCommit.lsn);
    request.set_time_left_ms(static_cast<std::uint32_t>(std::max<Milliseconds::rep>(timeLeft.count(), 0)));
    for (const auto& [name, value] : call.values)
        (*request.mutable_values())[name] = value;
    request.set_request(call.statement.id);
    request.set_text(call.statement.text);
    if (call.statement.kind != StatementKind::Execute)
        return;
    request.set_prepared_name(call.statement.name);
    request.set_prepared_text(call.preparedText);
    request.set_arguments(call.statement.argument);
}

std::optional<ForwardedCall> readCall(const wire::ReadRequest& request)
{
    ForwardedCall call;
    if (request.consistency() > static_cast<std::uint32_t>(ReadConsistency::ReadYourWrites))
        return std::nullopt;
    call.route.pool = request.service();
    call.route.consistency = static_cast<ReadConsistency>(request.consistency());
    call.route.maxAgeMs = request.max_age_ms();
    call.route.priority = request.priority();
    call.route.latencyObjectiveMs = request.latency_objective_ms();
    call.workspace = request.workspace();
    call.keyDigest = request.key_digest();
    call.lastCommit = { request.last_commit().term(), request.last_commit().lsn() };
    call.values = { request.values().begin(), request.values().end() };
    call.statement.id = request.request();
    call.statement.text = request.text();
    bool executes = !request.prepared_name().empty();
    call.statement.kind = executes ? StatementKind::Execute : StatementKind::Read;
    call.statement.name = request.prepared_name();
    call.statement.argument = request.arguments();
    call.preparedText = request.prepared_text();
    bool complete = !call.route.pool.empty() && !call.statement.text.empty() && executes != call.preparedText.empty();
    return complete ? std::optional(call) : std::nullopt;
}

void writeReply(const ForwardedReply& forwarded, wire::ReadReply& message)
{
    const TargetReply& reply = forwarded.reply;
    message.set_error(reply.error ? 1 + static_cast<std::uint32_t>(*reply.error) : 0);
    message.set_error_text(reply.errorText);
    for (const std::string& row : reply.rows)
        message.add_rows(row);
    message.set_signature(reply.signature);
    message.mutable_position()->set_term(reply.position.term);
    message.mutable_position()->set_lsn(reply.position.lsn);
    message.set_member(forwarded.member);
    message.set_attempts(forwarded.attempts);
}

std::optional<ForwardedReply> readReply(const wire::ReadReply& message)
{
    // A statement that succeeded has the signature of its member.
    bool valid = message.error() <= statementErrorCount && (message.error() || !message.signature().empty());
    if (message.unavailable() || !valid)
        return std::nullopt;
    ForwardedReply forwarded;
    if (message.error())
        forwarded.reply.error = static_cast<StatementError>(message.error() - 1);
    forwarded.reply.errorText = message.error_text();
    forwarded.reply.rows = { message.rows().begin(), message.rows().end() };
    forwarded.reply.signature = message.signature();
    forwarded.reply.position = { message.position().term(), message.position().lsn() };
    forwarded.member = message.member();
    forwarded.attempts = message.attempts();
    return forwarded;
}

} // namespace catkinlock
