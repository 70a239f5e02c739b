#pragma once

#include "catkinlock/clock.h"
#include <algorithm>
#include <atomic>

namespace catkinlock {

/// Tracks the age of this instance's view of the metadata store against its maximum age. The maximum age bounds how
/// long an instance keeps using a withdrawn key, an old primary or an old share of a rate. A process that changes one
/// of these waits until every instance has either seen the change or stopped using its old view. An instance that could
/// confirm its view, because the store replies to it, uses it only as long as a configuration may take to be in force.
/// A view that doesn't list this instance is not used, because nobody waits for an instance that isn't registered.
/// Written by the control thread, read by any thread.
class ViewFreshness {
public:
    /// `maxViewAge`: maximum age of a view, counted from its last confirmation. `maxAgeInTouch`: the same while this
    /// instance isn't known to be cut off from the store.
    explicit ViewFreshness(Milliseconds maxViewAge, Milliseconds maxAgeInTouch = Milliseconds::max())
    {
        this->setMaxAge(maxViewAge, maxAgeInTouch);
    }
    void setMaxAge(Milliseconds maxViewAge, Milliseconds maxAgeInTouch)
    {
        this->maxViewAge.store(maxViewAge);
        this->maxAgeInTouch.store(std::min(maxViewAge, maxAgeInTouch));
    }
    /// Records that a call of this instance to the store failed at `now`.
    void recordStoreFailure(TimePoint now) { this->storeFailedAt.store(now); }
    /// Records that the store has replied to this instance.
    void recordStoreReply() { this->storeFailedAt.store(TimePoint()); }

    /// Records whether the view lists this instance. While it doesn't, a confirmation does not extend its use.
    void setListed(bool listed) { this->listed.store(listed); }
    bool isListed() const { return this->listed.load(); }

    /// Records that the view contains every change that the store had acknowledged by `asOf`.
    void confirm(TimePoint asOf)
    {
        if (asOf > this->confirmedAt.load())
            this->confirmedAt.store(asOf);
        if (this->listed.load() && asOf > this->usableAsOf.load())
            this->usableAsOf.store(asOf);
    }
    /// Time as of which the view was last confirmed; the clock's epoch if it never was.
    TimePoint confirmed() const { return this->confirmedAt.load(); }
    /// True if the view may be used at `now`.
    bool isFresh(TimePoint now) const { return now - this->usableAsOf.load() < this->limit(); }
    /// True if more than `fraction` (0 to 1) of the time for which the view may be used remains at `now`.
    bool hasRemaining(TimePoint now, double fraction) const
    {
        return now - this->usableAsOf.load() < this->limit() * (1 - fraction);
    }
    Milliseconds maxAge() const { return this->maxViewAge.load(); }
    /// Time since the last confirmation.
    Milliseconds age(TimePoint now) const
    {
        return std::chrono::duration_cast<Milliseconds>(now - this->confirmedAt.load());
    }

private:
    // A failure counts only if it is later than the confirmation, since this instance can't have confirmed the view
    // then.
    Milliseconds limit() const
    {
        bool cutOff = this->storeFailedAt.load() > this->confirmedAt.load();
        return cutOff ? this->maxViewAge.load() : this->maxAgeInTouch.load();
    }

    std::atomic<Milliseconds> maxViewAge { Milliseconds(0) };
    std::atomic<Milliseconds> maxAgeInTouch { Milliseconds(0) };
    // Time of the last failed call; the clock's epoch if the store has replied since.
    std::atomic<TimePoint> storeFailedAt { TimePoint() };
    std::atomic<TimePoint> confirmedAt { TimePoint() };
    std::atomic<bool> listed { true };
    // The last confirmation of a view that listed this instance.
    std::atomic<TimePoint> usableAsOf { TimePoint() };
};

} // namespace catkinlock
