#pragma once

#include <compare>
#include <cstdint>

namespace catkinlock {

/// A place in the log of a database group. Positions of one group are ordered by term first, as an election orders
/// them; `reaches` tells whether data at one position includes another.
struct Position {
    /// The term of the primary whose log this is, from 1; 0 means no position.
    std::uint64_t term = 0;
    /// Log sequence number, in the target's own unit.
    std::uint64_t lsn = 0;

    auto operator<=>(const Position&) const = default;

    /// True if a member at this position holds everything that was acknowledged up to `other`. Within the line of
    /// primaries that majorities elected, neither the term nor the sequence number of acknowledged data goes back.
    bool reaches(const Position& other) const { return this->term >= other.term && this->lsn >= other.lsn; }
};

} // namespace catkinlock
