#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include <deque>
#include <optional>

namespace catkinlock {

/// Recent log positions of a group's primary, each from its reply to one request and with the time at which that
/// request was sent. The position in a reply includes every commit that was acknowledged before the request was sent,
/// so a member whose log has reached that position has all these commits.
class PositionWindow {
public:
    struct Sample {
        Position position;
        /// When the request was sent whose reply carried the position.
        TimePoint requestedAt;
    };

    /// Records `position` from the primary's reply to a request that was sent at `requestedAt`. Ignored if its term is
    /// 0 or if the request was sent before, or less than 20 ms after, that of the latest sample.
    void record(const Position& position, TimePoint requestedAt);
    /// The position of the earliest recorded request that was sent at `since` or later. It includes every commit
    /// acknowledged before `since`. std::nullopt if there is no such request.
    std::optional<Position> covering(TimePoint since) const;
    /// The latest sample; std::nullopt if there is none.
    std::optional<Sample> latest() const;
    /// Lag of a member whose log ends at `position`: the time from the earliest recorded request whose position is
    /// higher to `now`. 0 if no recorded position is higher.
    Duration lagOf(const Position& position, TimePoint now) const;

private:
    // Sorted by the time of the request.
    std::deque<Sample> samples;
};

} // namespace catkinlock
