#pragma once

#include <compare>
#include <cstdint>

namespace catkinlock {

/// A position in the log of a database group. The comparison operators order by term first, as elections do; use
/// `includes` to find out whether data at one position contains everything up to another.
struct Position {
    /// The term of the primary whose log this is, from 1; 0 means no position.
    std::uint64_t term = 0;
    /// Log sequence number, in the unit of the target.
    std::uint64_t lsn = 0;

    auto operator<=>(const Position&) const = default;

    /// True if a member at this position holds everything that was acknowledged up to `other`. Across successive
    /// primaries elected by majorities, neither the term nor the sequence number of acknowledged data decreases.
    bool includes(const Position& other) const { return this->term >= other.term && this->lsn >= other.lsn; }
};

} // namespace catkinlock
