#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/position.h"
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace catkinlock {

/// A command that the proxy itself sends to a member, as opposed to a caller's statement.
struct TargetCommand {
    enum class Kind {
        Begin,
        BeginRead,
        Commit,
        Rollback,
        /// Drops the connection's session values and prepared statements.
        Reset,
        /// Sets the session value `name` to `argument`.
        SetValue,
        /// Prepares the statement in `argument` under `name`.
        Prepare,
        /// Requests a MemberReport.
        Status,
        /// Fences a replica under `term`: it stops receiving the primary's log.
        Pause,
        /// Lets a paused replica receive again.
        Resume,
        /// Turns a primary whose term is below `term` into a replica.
        StepDown,
    };
    Kind kind = Kind::Status;
    std::string name;
    std::string argument;
    std::uint64_t term = 0;
};

/// A member's reply to one statement or command.
struct TargetReply {
    std::vector<std::string> rows;
    /// The member's proof that it ran the statement, which is passed on to the caller unchanged. Empty if the statement
    /// failed.
    std::string signature;
    /// No value if the statement succeeded.
    std::optional<StatementError> error;
    std::string errorText;
    /// State of the connection after the statement.
    TransactionState state = TransactionState::Idle;
    /// The member's log position after the statement; term 0 if the member reported none.
    Position position;
};

/// A member's report of its role and log.
struct MemberReport {
    bool primary = false;
    std::uint64_t term = 0;
    /// End of the log that the member has received.
    Position received;
    /// The term of the last Pause or StepDown that the member received; 0 if it received none.
    std::uint64_t fencedTerm = 0;

    auto operator<=>(const MemberReport&) const = default;
};

} // namespace catkinlock
