#pragma once

#include "libsession/forwarded_call.h"
#include "libsession/gateway_clocks.h"
#include <cstdint>
#include <optional>

namespace catkinlock::wire {
class StatementReply;
class StatementRequest;
}

namespace catkinlock {

/// A statement of an operation that a gateway runs for a session of another instance: a write outside a transaction,
/// or a statement of a transaction.
struct ForwardedStatement {
    ForwardedCall call;
    /// The sender's number of the transaction; 0 outside a transaction.
    std::uint64_t transaction = 0;
    /// Place of the statement in the transaction, from 1; 0 outside a transaction. The first one begins the
    /// transaction.
    std::uint32_t sequence = 0;
    /// True if the statement executes a prepared one that writes.
    bool preparedWrites = false;
    /// True if the transaction only reads.
    bool readOnly = false;

    bool operator==(const ForwardedStatement&) const = default;
};

/// What a gateway reports about a statement that it ran. The state of the session is in the reply.
struct ForwardedOutcome {
    ForwardedReply result;
    /// True if any statement of the operation ran on a member, or may have run.
    bool mayHaveRun = false;
};

/// `sentAt`: the time of sending by the gateway's clock, as far as it is known.
void writeStatement(
    const ForwardedStatement&, Milliseconds timeLeft, const GatewayTime& sentAt, wire::StatementRequest&);
/// std::nullopt if a field has a value that no instance sends.
std::optional<ForwardedStatement> readStatement(const wire::StatementRequest&);
void writeStatementReply(const ForwardedOutcome&, wire::StatementReply&);
/// std::nullopt if the gateway ran nothing, or if a field has a value that no instance sends.
std::optional<ForwardedOutcome> readStatementReply(const wire::StatementReply&);

} // namespace catkinlock
