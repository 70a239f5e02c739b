#pragma once

#include "catkinlock/clock.h"
#include <atomic>

namespace catkinlock {

/// How old this instance's view of the metadata store may be. Keys, primaries and shares of rates are only as good as
/// that: whoever changes one of them waits until every instance has either seen the change or let its view lapse.
/// Written by the control thread, read by any.
class ViewFreshness {
public:
    /// `limit`: how long a confirmed view may be used.
    explicit ViewFreshness(Milliseconds limit)
        : limit(limit)
    {
    }
    void setLimit(Milliseconds next) { this->limit.store(next); }

    /// The view held everything that the store had acknowledged at `asOf`.
    void confirm(TimePoint asOf)
    {
        if (asOf > this->confirmedAt.load())
            this->confirmedAt.store(asOf);
    }
    TimePoint confirmed() const { return this->confirmedAt.load(); }
    bool isFresh(TimePoint now) const { return now - this->confirmedAt.load() < this->limit.load(); }
    /// True while at least `part` (0 to 1) of the time is left.
    bool hasLeft(TimePoint now, double part) const
    {
        return now - this->confirmedAt.load() < this->limit.load() * (1 - part);
    }
    Milliseconds usableFor() const { return this->limit.load(); }
    Milliseconds age(TimePoint now) const
    {
        return std::chrono::duration_cast<Milliseconds>(now - this->confirmedAt.load());
    }

private:
    std::atomic<Milliseconds> limit;
    std::atomic<TimePoint> confirmedAt { TimePoint() };
};

} // namespace catkinlock
