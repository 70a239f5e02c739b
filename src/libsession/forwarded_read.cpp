#include "libsession/forwarded_read.h"

#include "peer.pb.h"

namespace catkinlock {

void writeRead(const ForwardedRead& read, Milliseconds timeLeft, wire::ReadRequest& request)
{
    request.set_service(read.route.pool);
    request.set_workspace(read.workspace);
    request.set_consistency(static_cast<std::uint32_t>(read.route.consistency));
    request.set_max_age_ms(read.route.maxAgeMs);
    request.set_priority(read.route.priority);
    request.set_latency_objective_ms(read.route.latencyObjectiveMs);
    request.mutable_last_commit()->set_term(read.lastCommit.term);
    request.mutable_last_commit()->set_lsn(read.lastCommit.lsn);
    request.set_time_left_ms(static_cast<std::uint32_t>(std::max<Milliseconds::rep>(timeLeft.count(), 0)));
    for (const auto& [name, value] : read.values)
        (*request.mutable_values())[name] = value;
    request.set_request(read.statement.id);
    request.set_text(read.statement.text);
    if (read.statement.kind != StatementKind::Execute)
        return;
    request.set_prepared_name(read.statement.name);
    request.set_prepared_text(read.preparedText);
    request.set_arguments(read.statement.argument);
}

std::optional<ForwardedRead> readRead(const wire::ReadRequest& request)
{
    ForwardedRead read;
    if (request.consistency() > static_cast<std::uint32_t>(ReadConsistency::ReadYourWrites))
        return std::nullopt;
    read.route.pool = request.service();
    read.route.consistency = static_cast<ReadConsistency>(request.consistency());
    read.route.maxAgeMs = request.max_age_ms();
    read.route.priority = request.priority();
    read.route.latencyObjectiveMs = request.latency_objective_ms();
    read.workspace = request.workspace();
    read.lastCommit = { request.last_commit().term(), request.last_commit().lsn() };
    read.values = { request.values().begin(), request.values().end() };
    read.statement.id = request.request();
    read.statement.text = request.text();
    bool executes = !request.prepared_name().empty();
    read.statement.kind = executes ? StatementKind::Execute : StatementKind::Read;
    read.statement.name = request.prepared_name();
    read.statement.argument = request.arguments();
    read.preparedText = request.prepared_text();
    bool complete = !read.route.pool.empty() && !read.statement.text.empty() && executes != read.preparedText.empty();
    return complete ? std::optional(read) : std::nullopt;
}

void writeReadReply(const ForwardedReply& forwarded, wire::ReadReply& message)
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

std::optional<ForwardedReply> readReadReply(const wire::ReadReply& message)
{
    // A read that succeeded has the signature of its member.
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
