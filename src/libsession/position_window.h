#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include <deque>
#include <optional>

namespace catkinlock {

/// Recent log positions of a group's primary, each with the time at which the request left that the primary replied to
/// with it. The position in a reply includes every commit that was acknowledged before the request was sent, so a
/// member whose log has reached that position has all these commits.
class PositionWindow {
public:
    struct Sample {
        Position position;
        /// When the request was sent whose reply carried the position.
        TimePoint requestedAt;
    };

    /// Records `position` from the primary's reply to a request that was sent at `requestedAt`.
    void record(const Position& position, TimePoint requestedAt);
    /// The lowest recorded position that includes every commit acknowledged before `since`; nothing if no request was
    /// sent at `since` or later.
    std::optional<Position> covering(TimePoint since) const;
    /// The latest sample; nothing if there is none.
    std::optional<Sample> latest() const;
    /// How long ago the primary's log had, as far as is recorded, already passed `position`: the lag of a member whose
    /// log ends there. 0 if no recorded position is higher.
    Duration lagOf(const Position& position, TimePoint now) const;

private:
    // In the order of the time of the request, with rising positions.
    std::deque<Sample> samples;
};

} // namespace catkinlock
