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

/// A read outside a transaction, with the part of its session that a gateway needs to run it.
struct ForwardedRead {
    /// Pool, consistency, maximum age, objective and priority of the route.
    Route route;
    std::string workspace;
    /// Position of the session's last commit in the service; term 0 if it made none.
    Position lastCommit;
    std::map<std::string, std::string> values;
    /// A read, or the execution of a prepared read.
    SessionStatement statement;
    /// Text of the prepared statement that is executed; empty if none is.
    std::string preparedText;

    bool operator==(const ForwardedRead&) const = default;
};

/// A gateway's reply to a forwarded read.
struct ForwardedReply {
    TargetReply reply;
    /// Id of the member that the read was sent to last; empty if to none.
    std::string member;
    unsigned attempts = 0;
};

void writeRead(const ForwardedRead&, Milliseconds timeLeft, wire::ReadRequest&);
/// std::nullopt if a field has a value that no instance sends.
std::optional<ForwardedRead> readRead(const wire::ReadRequest&);
void writeReadReply(const ForwardedReply&, wire::ReadReply&);
/// std::nullopt if the gateway could not serve the read, or if a field has a value that no instance sends.
std::optional<ForwardedReply> readReadReply(const wire::ReadReply&);

} // namespace catkinlock
