#include "libsession/member_drain.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // Longer than the age of a copy from which the store is restored.
    constexpr Milliseconds retention { 60000 };

} // namespace

void MemberDrain::recordLeaving(const std::string& member, TimePoint now, TimePoint confirmedAt)
{
    auto found = this->drains.find(member);
    if (found != this->drains.end()) {
        found->second.lastSeen = now;
        return;
    }
    // The announcement is later than the last confirmation of a view without it. `sendEnds` allows for an age of the
    // view of `applyWithin`; only a longer gap makes the drain begin earlier than it was seen.
    bool isFirstView = confirmedAt == TimePoint();
    TimePoint begin
        = isFirstView ? now - this->limits.drainTime / 2 : std::min(now, confirmedAt + this->limits.applyWithin);
    this->drains[member] = { begin, now };
}

void MemberDrain::forgetOld(TimePoint now)
{
    std::erase_if(this->drains, [now](const auto& entry) { return now - entry.second.lastSeen > retention; });
}

std::map<std::string, TimePoint> MemberDrain::sendEnds() const
{
    std::map<std::string, TimePoint> ends;
    for (const auto& [member, drain] : this->drains)
        ends.emplace(member, drain.begin + this->limits.drainTime - this->limits.applyWithin);
    return ends;
}

} // namespace catkinlock
