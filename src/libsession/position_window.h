#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include <deque>
#include <optional>

namespace catkinlock {

/// Positions of a group's primary by when it was asked. A commit that was acknowledged before a question was sent is in
/// the position that answers it, so a member that has the position has the commit.
class PositionWindow {
public:
    struct Sample {
        Position position;
        /// When the question left that the primary answered with this.
        TimePoint askedAt;
    };

    /// A primary answered with `position` to what was sent at `askedAt`.
    void note(const Position& position, TimePoint askedAt);
    /// A position that covers every commit acknowledged before `since`: the lowest one known. Nothing if none is known.
    std::optional<Position> covering(TimePoint since) const;
    /// The latest sample; nothing if there is none.
    std::optional<Sample> latest() const;
    /// How far a log that ends at `position` is behind the primary, as far as is known: 0 if the primary is not known
    /// to have had more.
    Duration lagOf(const Position& position, TimePoint now) const;

private:
    // By the time of the question, positions rising.
    std::deque<Sample> samples;
};

} // namespace catkinlock
