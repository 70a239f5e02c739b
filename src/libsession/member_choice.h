#pragma once

#include "catkinlock/clock.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// Load and state of one member, for the choice of the member that runs a statement.
struct MemberLoad {
    std::string id;
    /// Connections of this instance to the member that are in use, also by sessions idle in a transaction, plus
    /// statements that wait for a connection.
    std::size_t inFlight = 0;
    /// Maximum number of statements that the member runs concurrently, at least 1.
    std::size_t maxConcurrentStatements = 1;
    /// Mean response time of such a statement at the member, without a wait for a free place.
    Duration responseTime = Milliseconds(20);
    /// The statement is needed to learn how fast the member is.
    bool needsProbe = false;
    bool isPrimary = false;
    /// The member is in the data centre of this instance.
    bool sameDataCentre = false;
    /// An idle connection for the workspace is open.
    bool hasIdleConnection = false;
    /// This instance may not send the member another statement now: it has reached its own limit on concurrent
    /// statements (the send window), or all connections that it may open are in use.
    bool atSendLimit = false;
    /// The member failed at least twice in a row, the last time recently.
    bool isSuspect = false;
    /// The member would probably refuse the read: its log is behind the required position, or its lag exceeds the
    /// read's maximum age.
    bool seemsBehind = false;
    /// The member is the primary, and the statements that only it can run need its places.
    bool isReserved = false;
    /// The statement was already tried on this member.
    bool wasTried = false;
    /// Decides between members of the same expected time; the least one is chosen. Differs from instance to instance:
    /// each knows only its own few statements, so that many would choose the same member.
    std::uint64_t tieBreak = 0;
};

/// Estimated time until the member replies, with penalties for members to be avoided. For comparison only.
Duration expectedTime(const MemberLoad&);

/// Index of a member that needs a probe and can run the statement at once; else of the member with the least expected
/// time, and among equal ones with the least `tieBreak`. std::nullopt if the list is empty or every member was tried.
/// A reserved primary is left out if a replica can serve the read, even one that was tried already.
std::optional<std::size_t> chooseMember(const std::vector<MemberLoad>&);

/// True if a replica can serve the read now or when it has a free place.
bool replicaServes(const std::vector<MemberLoad>&);

} // namespace catkinlock
