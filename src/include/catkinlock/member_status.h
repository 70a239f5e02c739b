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
    /// The term of the last log entry. Elections compare it before the sequence number.
    std::uint64_t logTerm = 0;
    /// Log sequence number up to which reads on this member see the changes.
    std::uint64_t appliedLsn = 0;
    /// Milliseconds since the member last received a message from its primary, by its own clock.
    std::uint64_t sincePrimaryMessageMs = 0;

    auto operator<=>(const MemberStatus&) const = default;
};

} // namespace catkinlock
