#pragma once

#include "catkinlock/clock.h"
#include <atomic>

namespace catkinlock {

/// Tracks when this instance's tables were last confirmed to be current, and decides whether keys may still be trusted.
/// Written by the control thread, read by any thread.
///
/// A withdrawn key must be refused within seconds, so keys are trusted while the tables were confirmed within
/// `maxUnconfirmedAge`. Without a recent confirmation there are two cases. If the platform is unavailable, no key can
/// have been withdrawn in the meantime. If this instance is cut off, a key may have been. An instance that got a
/// response from a peer within the same time and counts a majority of the fleet as alive assumes the first case and
/// accepts keys; otherwise it refuses them.
class ConfigFreshness {
public:
    /// Maximum age of the last confirmation for which the tables count as current.
    static constexpr Milliseconds maxUnconfirmedAge { 8000 };
    /// An instance whose tables have not been confirmed for this long reads the platform itself.
    static constexpr Milliseconds staleAfter { 5000 };

    /// Records that the tables were current at `asOf`. An earlier time than the recorded one has no effect.
    void recordConfirmed(TimePoint asOf)
    {
        if (asOf > this->confirmedAt.load())
            this->confirmedAt.store(asOf);
    }
    /// Records that a peer responded to a ping.
    void recordPeerResponse(TimePoint now) { this->lastPeerResponseAt.store(now); }
    /// Records whether more than half of the known instances are alive.
    void recordLiveMajority(bool hasMajority) { this->hasLiveMajority.store(hasMajority); }

    /// Time of the last confirmation; the default `TimePoint` if there was none.
    TimePoint confirmed() const { return this->confirmedAt.load(); }

    /// True if this instance may accept keys that its tables list as valid.
    bool mayTrustKeys(TimePoint now = Clock::now()) const
    {
        if (now - this->confirmedAt.load() <= maxUnconfirmedAge)
            return true;
        return this->hasLiveMajority.load() && now - this->lastPeerResponseAt.load() <= maxUnconfirmedAge;
    }

private:
    std::atomic<TimePoint> confirmedAt { TimePoint() };
    std::atomic<TimePoint> lastPeerResponseAt { TimePoint() };
    std::atomic<bool> hasLiveMajority { false };
};

} // namespace catkinlock
