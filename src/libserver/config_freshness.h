#pragma once

#include "catkinlock/clock.h"
#include <atomic>

namespace catkinlock {

/// How old an instance's tables may be, and whether keys may still be trusted. Written by the control thread, read by
/// any.
///
/// A withdrawal must stop a key within seconds. While the tables are confirmed to be that fresh, there is nothing to
/// decide. When they are not, either the platform is out, and then no withdrawal can be accepted, or this instance is
/// cut off, and then one may have been. An instance that hears its peers and sees most of the fleet alive takes it for
/// an outage and goes on; one that does not refuses keys.
class ConfigFreshness {
public:
    /// Longest time for which tables count as fresh without a new confirmation.
    static constexpr Milliseconds limit { 8000 };
    /// An instance whose tables have not been confirmed for this long asks the platform itself.
    static constexpr Milliseconds staleAfter { 5000 };

    void noteConfirmed(TimePoint asOf)
    {
        if (asOf > this->confirmedAt.load())
            this->confirmedAt.store(asOf);
    }
    void notePeerHeard(TimePoint now) { this->peerHeardAt.store(now); }
    void noteFleet(bool seesMajority) { this->majority.store(seesMajority); }

    TimePoint confirmed() const { return this->confirmedAt.load(); }

    bool mayTrustKeys(TimePoint now = Clock::now()) const
    {
        if (now - this->confirmedAt.load() <= limit)
            return true;
        return this->majority.load() && now - this->peerHeardAt.load() <= limit;
    }

private:
    std::atomic<TimePoint> confirmedAt { TimePoint() };
    std::atomic<TimePoint> peerHeardAt { TimePoint() };
    std::atomic<bool> majority { false };
};

} // namespace catkinlock
