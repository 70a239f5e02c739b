#pragma once

#include "catkinlock/clock.h"
#include <cstdint>
#include <optional>

namespace catkinlock {

/// Successes and failures of one member as one instance observed them. A success is a reply to a statement, also one
/// with an error, except the refusal of a read for lag. A failure is a connection that could not be opened,
/// unless the member refused it with an error, or an exchange without a valid reply.
struct MemberHealth {
    /// Term of the group's record under which this instance uses the member as primary, or used it last; 0 if it never
    /// did or if there was no record. Only what was sent in this term is counted.
    std::uint64_t term = 0;
    TimePoint lastSuccess;
    /// Time of the first failure since the last success; meaningful while `failures` is not 0.
    TimePoint failingSince;
    /// Failures since the last success.
    unsigned failures = 0;
    TimePoint lastFailure;
    /// Time of the first lost write since the last successful one; meaningful while `lostWrites` is not 0.
    TimePoint losingWritesSince;
    /// Writes, and commits of writes, that got no reply since the last successful one.
    unsigned lostWrites = 0;
    TimePoint lastLostWrite;

    bool operator==(const MemberHealth&) const = default;

    /// Time of the earliest counted failure or lost write; std::nullopt if none is counted.
    std::optional<TimePoint> earliestFailure() const;
};

} // namespace catkinlock
