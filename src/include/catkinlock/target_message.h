#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/position.h"
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace catkinlock {

/// A command that the system itself sends to a member.
struct TargetCommand {
    enum class Kind {
        Begin,
        BeginRead,
        Commit,
        Rollback,
        /// Drops the connection's session values and prepared statements.
        Reset,
        SetValue,
        Prepare,
        Status,
        /// Makes a replica stop receiving, under `term`.
        Pause,
        Resume,
        /// Makes a primary of a term below `term` a replica.
        StepDown,
    };
    Kind kind = Kind::Status;
    std::string name;
    std::string argument;
    std::uint64_t term = 0;
};

/// A member's answer to one statement or command.
struct TargetReply {
    std::vector<std::string> rows;
    /// Proof that the member ran the statement; empty where it failed.
    std::string signature;
    std::optional<StatementError> error;
    std::string errorText;
    TransactionState state = TransactionState::Idle;
    /// The member's log position after the statement.
    Position position;
};

/// What a member says of itself.
struct MemberReport {
    bool primary = false;
    std::uint64_t term = 0;
    Position received;
    /// The term under which it was told to pause or step down; 0 if it never was.
    std::uint64_t termHeld = 0;

    auto operator<=>(const MemberReport&) const = default;
};

} // namespace catkinlock
