#pragma once

#include "catkinlock/position.h"
#include <cstdint>

namespace catkinlock {

/// What a member of a database group says of itself (`catkinlock.status()`).
struct MemberStatus {
    bool isPrimary = false;
    /// The newest term that the member has promised to serve; it refuses all older ones.
    std::uint64_t promised = 0;
    /// The term whose log the member holds or follows, and the end of what it has durably received.
    Position position;
    /// The term of the last entry of its log, which elections compare.
    std::uint64_t logTerm = 0;
    /// The end of what reads on this member see.
    std::uint64_t appliedLsn = 0;
    /// Time since the member last heard from its primary, in milliseconds by its own clock.
    std::uint64_t heardMs = 0;

    auto operator<=>(const MemberStatus&) const = default;
};

} // namespace catkinlock
