#pragma once

#include "catkinlock/position.h"
#include <cstdint>

namespace catkinlock {

/// Status that a member of a database group reports (`catkinlock.status()`).
struct MemberStatus {
    bool isPrimary = false;
    /// The newest term that the member has promised; it refuses all older ones.
    std::uint64_t promisedTerm = 0;
    /// The term whose log the member writes or follows, and the end of the log that it has stored durably.
    Position position;
    /// Term of the last log entry; may be lower than `position.term`. Elections compare logs by this term first, then
    /// by `position.lsn`.
    std::uint64_t logTerm = 0;
    /// Log sequence number of the last change that is applied, and so visible to reads on this member.
    std::uint64_t appliedLsn = 0;
    /// Milliseconds, by the member's clock, since it last received a message from its primary; 0 on the primary
    /// itself.
    std::uint64_t sincePrimaryMessageMs = 0;

    auto operator<=>(const MemberStatus&) const = default;
};

} // namespace catkinlock
