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

    /// Records `position` from the primary's reply to a request that was sent at `requestedAt`.
    void record(const Position& position, TimePoint requestedAt);
    /// The lowest recorded position that includes every commit acknowledged before `since`; nothing if no position was
    /// recorded for a request that was sent at `since` or later.
    std::optional<Position> covering(TimePoint since) const;
    /// The latest sample; nothing if there is none.
    std::optional<Sample> latest() const;
    /// Lag of a member whose log ends at `position`: the time since the first request whose recorded position is
    /// higher. 0 if no recorded position is higher.
    Duration lagOf(const Position& position, TimePoint now) const;

private:
    // In the order of the time of the request, with rising positions.
    std::deque<Sample> samples;
};

} // namespace catkinlock
