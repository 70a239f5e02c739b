#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include "catkinlock/tables.h"
#include "catkinlock/target_message.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace catkinlock::wire {
class ReadReply;
class ReadRequest;
}

namespace catkinlock {

/// A statement, with the part of its session that a gateway needs to run it.
struct ForwardedCall {
    /// Pool, consistency, maximum age, objective and priority of the route.
    Route route;
    std::string workspace;
    /// Digest of the caller's key, which the gateway checks by its own view; empty on an open route.
    std::string keyDigest;
    /// Position of the session's last commit in the service; term 0 if it made none.
    Position lastCommit;
    std::map<std::string, std::string> values;
    SessionStatement statement;
    /// Text of the prepared statement that is executed; empty if none is.
    std::string preparedText;

    bool operator==(const ForwardedCall&) const = default;
};

/// A gateway's reply to a forwarded statement.
struct ForwardedReply {
    TargetReply reply;
    /// Id of the member that the statement was sent to last; empty if to none.
    std::string member;
    unsigned attempts = 0;
};

void writeCall(const ForwardedCall&, Milliseconds timeLeft, wire::ReadRequest&);
/// The statement is taken for a read. std::nullopt if a field has a value that no instance sends.
std::optional<ForwardedCall> readCall(const wire::ReadRequest&);
void writeReply(const ForwardedReply&, wire::ReadReply&);
/// std::nullopt if the gateway ran nothing, or if a field has a value that no instance sends.
std::optional<ForwardedReply> readReply(const wire::ReadReply&);

} // namespace catkinlock
