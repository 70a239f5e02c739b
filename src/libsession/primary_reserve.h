#pragma once

#include "catkinlock/clock.h"
#include <cstddef>

namespace catkinlock {

/// Bounds the reads that replicas could serve as well at a primary: they get the places there that the statements that
/// need the primary have not needed recently. Does no I/O.
///
/// Load: up to a hundred changes a second of a few places.
class PrimaryReserve {
public:
    /// Records how many statements that need the primary run there or wait from now on.
    void record(std::size_t needed, TimePoint now);
    /// True if another read may use the primary beside `reads` reads that run there or wait.
    bool admitsRead(std::size_t reads, std::size_t places, TimePoint now) const;

private:
    double averageAt(TimePoint now) const;

    // Average over time of the recorded numbers, the more recent ones counting more.
    double average = 0;
    double latest = 0;
    TimePoint recordedAt;
};

} // namespace catkinlock
