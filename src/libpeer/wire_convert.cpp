#include "catkinlock/wire_convert.h"

#include "peer.pb.h"
#include <algorithm>

namespace catkinlock {

namespace {

    void writeValue(const std::optional<std::string>& value, wire::Parameter& out)
    {
        if (value)
            out.set_text(*value);
        else
            out.set_null(true);
    }

    std::optional<std::string> readValue(const wire::Parameter& value)
    {
        return value.null() ? std::nullopt : std::optional(value.text());
    }

    void writePosition(const Position& position, wire::LogPosition& out)
    {
        out.set_term(position.term);
        out.set_lsn(position.lsn);
    }

    Position readPosition(const wire::LogPosition& position) { return { position.term(), position.lsn() }; }

    wire::OutcomeKind writeOutcome(Outcome outcome)
    {
        switch (outcome) {
        case Outcome::Done:
            return wire::DONE;
        case Outcome::NotRun:
            return wire::NOT_RUN;
        case Outcome::Unknown:
            break;
        }
        return wire::UNKNOWN;
    }

    void writeResultSet(const ResultSet& result, wire::ResultSet& out)
    {
        for (const std::string& column : result.columns)
            out.add_columns(column);
        for (const auto& row : result.rows) {
            wire::Row& rowMessage = *out.add_rows();
            for (const auto& value : row)
                writeValue(value, *rowMessage.add_values());
        }
        out.set_affected(result.affected);
    }

    ResultSet readResultSet(const wire::ResultSet& message)
    {
        ResultSet result;
        result.columns.assign(message.columns().begin(), message.columns().end());
        for (const wire::Row& rowMessage : message.rows()) {
            auto& row = result.rows.emplace_back();
            for (const wire::Parameter& value : rowMessage.values())
                row.push_back(readValue(value));
        }
        result.affected = message.affected();
        return result;
    }

} // namespace

void writeRequest(const DatabaseRequest& request, TimePoint now, wire::ForwardRequest& out)
{
    out.set_kind(request.kind == DatabaseRequest::Kind::Settle ? wire::SETTLE : wire::TRANSACTION);
    out.set_pool(request.pool);
    out.set_database(request.database);
    out.set_route(request.route);
    out.set_workspace(request.workspace);
    out.set_weight(request.weight);
    writePosition(request.session, *out.mutable_session());
    out.set_idempotency_key(request.idempotencyKey);
    auto remaining = std::chrono::duration_cast<Milliseconds>(request.deadline - now).count();
    out.set_timeout_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(remaining, 0)));
    out.set_read_only(request.readOnly);
    out.set_max_age_ms(request.maxAgeMs);
    out.set_repeatable(request.repeatable);
    for (const Statement& statement : request.statements) {
        wire::Statement& message = *out.add_statements();
        message.set_sql(statement.sql);
        for (const auto& parameter : statement.parameters)
            writeValue(parameter, *message.add_parameters());
    }
}

DatabaseRequest readRequest(const wire::ForwardRequest& message, TimePoint now)
{
    DatabaseRequest request;
    request.kind = message.kind() == wire::SETTLE ? DatabaseRequest::Kind::Settle : DatabaseRequest::Kind::Transaction;
    request.pool = message.pool();
    request.database = message.database();
    request.route = message.route();
    request.workspace = message.workspace();
    request.weight = std::max<std::uint32_t>(message.weight(), 1);
    request.session = readPosition(message.session());
    request.idempotencyKey = message.idempotency_key();
    request.deadline = now + Milliseconds(message.timeout_ms());
    request.readOnly = message.read_only();
    request.maxAgeMs = message.max_age_ms();
    request.repeatable = message.repeatable();
    for (const wire::Statement& statement : message.statements()) {
        Statement& out = request.statements.emplace_back();
        out.sql = statement.sql();
        for (const wire::Parameter& parameter : statement.parameters())
            out.parameters.push_back(readValue(parameter));
    }
    return request;
}

void writeResult(const DatabaseResult& result, wire::ForwardReply& out)
{
    if (!result) {
        out.set_outcome(writeOutcome(result.error().outcome));
        out.set_code(result.error().code);
        out.set_message(result.error().message);
        return;
    }
    out.set_outcome(wire::DONE);
    out.set_from_replica(result->fromReplica);
    out.set_repeated_answer(result->repeated);
    writePosition(result->session, *out.mutable_session());
    for (const ResultSet& set : result->results)
        writeResultSet(set, *out.add_results());
}

DatabaseResult readResult(const wire::ForwardReply& message)
{
    if (message.outcome() == wire::NOT_RUN)
        return tl::unexpected(notRun(message.code(), message.message()));
    // A kind of outcome that this release does not know may mean that the request took effect.
    if (message.outcome() != wire::DONE)
        return tl::unexpected(unknownOutcome(message.code(), message.message()));
    DatabaseReply reply;
    reply.fromReplica = message.from_replica();
    reply.repeated = message.repeated_answer();
    reply.session = readPosition(message.session());
    for (const wire::ResultSet& set : message.results())
        reply.results.push_back(readResultSet(set));
    return reply;
}

void writeRecord(const InstanceRecord& record, wire::InstanceRecord& out)
{
    out.set_name(record.name);
    out.set_address(record.address);
    out.set_data_centre(record.dataCentre);
    out.set_incarnation(record.incarnation);
    out.set_version(record.version);
    out.set_state(static_cast<wire::InstanceState>(record.state));
    out.mutable_slots()->Assign(record.slots.begin(), record.slots.end());
}

InstanceRecord readRecord(const wire::InstanceRecord& message)
{
    InstanceRecord record { message.name(), message.address(), message.data_centre(), message.incarnation(),
        message.version(), InstanceState::Live, { message.slots().begin(), message.slots().end() } };
    if (message.state() == wire::LEAVING)
        record.state = InstanceState::Leaving;
    if (message.state() == wire::DEAD)
        record.state = InstanceState::Dead;
    return record;
}

void writeEntry(const TableEntry& entry, wire::TableEntry& out)
{
    out.set_key(entry.key);
    out.set_value(entry.value);
    out.set_revision(entry.revision);
    out.set_deleted(entry.deleted);
}

TableEntry readEntry(const wire::TableEntry& message)
{
    return { message.key(), message.value(), message.revision(), message.deleted() };
}

} // namespace catkinlock
