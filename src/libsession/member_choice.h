#pragma once

#include "catkinlock/clock.h"
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// Load and state of one member, for the choice of the member that runs a statement.
struct MemberLoad {
    std::string id;
    /// Statements of this instance that run at the member or wait for a connection to it.
    std::size_t inFlight = 0;
    /// Number of statements that the member runs concurrently, at least 1.
    std::size_t maxConcurrentStatements = 1;
    /// Smoothed time of a statement at the member.
    Milliseconds smoothedTime { 20 };
    bool isPrimary = false;
    /// The member is in the data centre of this instance.
    bool sameDataCentre = false;
    /// An idle connection for the workspace is open.
    bool hasConnection = false;
    /// This instance may not send the member another statement now: its send window is full, or all connections that it
    /// may open are in use.
    bool isFull = false;
    /// The member failed recently.
    bool isSuspect = false;
    /// The member would probably refuse the read, because its log is behind the position that the read needs.
    bool seemsBehind = false;
    /// The statement was already tried on this member.
    bool wasTried = false;
};

/// Estimated time until the member replies, with penalties for members to be avoided. For comparison only.
Milliseconds expectedTime(const MemberLoad&);

/// Index of the member with the least expected time; nothing if every member was tried.
std::optional<std::size_t> chooseMember(const std::vector<MemberLoad>&);

} // namespace catkinlock
