#pragma once

#include "catkinlock/clock.h"
#include <atomic>

namespace catkinlock {

/// Tracks the age of this instance's view of the metadata store against its maximum age. The maximum age bounds how
/// long an instance keeps using a withdrawn key, an old primary or an old share of a rate. A process that changes one
/// of these waits until every instance has either seen the change or stopped using its old view. Written by the control
/// thread, read by any thread.
class ViewFreshness {
public:
    /// `maxViewAge`: maximum age of a view, counted from its last confirmation.
    explicit ViewFreshness(Milliseconds maxViewAge)
        : maxViewAge(maxViewAge)
    {
    }
    void setMaxAge(Milliseconds next) { this->maxViewAge.store(next); }

    /// Records that the view contains every change that the store had acknowledged by `asOf`.
    void confirm(TimePoint asOf)
    {
        if (asOf > this->confirmedAt.load())
            this->confirmedAt.store(asOf);
    }
    /// Time as of which the view was last confirmed; the clock's epoch if it never was.
    TimePoint confirmed() const { return this->confirmedAt.load(); }
    /// True if the view may be used at `now`.
    bool isFresh(TimePoint now) const { return now - this->confirmedAt.load() < this->maxViewAge.load(); }
    /// True if more than `fraction` (0 to 1) of the maximum age remains at `now`.
    bool hasRemaining(TimePoint now, double fraction) const
    {
        return now - this->confirmedAt.load() < this->maxViewAge.load() * (1 - fraction);
    }
    Milliseconds maxAge() const { return this->maxViewAge.load(); }
    /// Time since the last confirmation.
    Milliseconds age(TimePoint now) const
    {
        return std::chrono::duration_cast<Milliseconds>(now - this->confirmedAt.load());
    }

private:
    std::atomic<Milliseconds> maxViewAge;
    std::atomic<TimePoint> confirmedAt { TimePoint() };
};

} // namespace catkinlock
