#pragma once

#include "catkinlock/clock.h"
#include <cstddef>

namespace catkinlock {

/// Decides when an instance tries to claim free slots, and for which of them. An instance may claim a slot for which
/// few other instances rank before it; their number doubles with each round, so that a free slot is claimed by few at a
/// time and yet soon. Rounds that gain nothing become rare, until a slot becomes free. Reads no clock.
///
/// Load: hundreds of instances, most of which hold no slot and always want one, and a holder that ends.
class ClaimSchedule {
public:
    /// No round before `firstAt`.
    explicit ClaimSchedule(TimePoint firstAt)
        : nextAt(firstAt)
    {
    }

    bool isDue(TimePoint now) const { return now >= this->nextAt; }
    /// The greatest number of instances that may rank before this one for a slot that it claims in the next round.
    std::size_t maxRank() const;
    /// Records that a round has ended. `gained`: it has claimed a slot.
    void recordRound(bool gained, TimePoint now);
    /// Records that a slot has become free: the rounds begin anew, at once.
    void recordFreeSlot(TimePoint now);

private:
    TimePoint nextAt;
    Milliseconds backoff { 0 };
    unsigned rounds = 0;
};

} // namespace catkinlock
