#pragma once

#include "catkinlock/clock.h"
#include <map>
#include <string>

namespace catkinlock {

/// Time limits of sending to members that leave.
struct DrainLimits {
    /// Time after the announcement of a member that it is leaving, from which on no request may reach it.
    Milliseconds drainTime { 7000 };
    /// Time within which an instance that reaches the store has the announcement in its view.
    Milliseconds applyWithin { 3000 };

    bool operator==(const DrainLimits&) const = default;
};

/// Decides until when this instance may send statements to members that are leaving. A member's entry says that the
/// member is leaving, but not since when. It is taken to have announced it when this instance first saw it so, or
/// earlier if the view before was confirmed too long ago. Reads no clock. Made for tens of members that leave at once.
class MemberDrain {
public:
    void setLimits(const DrainLimits& next) { this->limits = next; }

    /// Records that the entry of a member says at `now` that it is leaving. `confirmedAt`: time as of which the view
    /// before was last confirmed; the clock's epoch if there was none, and half of the drain time then counts as
    /// elapsed.
    void recordLeaving(const std::string& member, TimePoint now, TimePoint confirmedAt);
    /// Records that the member is not leaving any more.
    void recordReady(const std::string& member) { this->drains.erase(member); }
    /// Forgets members whose entries have not said for a minute that they are leaving. An entry may be missing for a
    /// while, or appear as it was before, after an outage or a restore of the store.
    void forgetOld(TimePoint now);

    bool isLeaving(const std::string& member) const { return this->drains.count(member) != 0; }
    /// For each member that is leaving, the time from which on no statement may be sent to it.
    std::map<std::string, TimePoint> sendEnds() const;

private:
    struct Drain {
        // The announcement is taken to have been made at this time.
        TimePoint begin;
        TimePoint lastSeen;
    };

    DrainLimits limits;
    // By member id.
    std::map<std::string, Drain> drains;
};

} // namespace catkinlock
