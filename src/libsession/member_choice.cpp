#include "libsession/member_choice.h"

namespace catkinlock {

namespace {

    constexpr Milliseconds handshakeTime { 30 };
    constexpr Milliseconds crossDataCentreTime { 3 };
    // A member that refused such a read just now will most likely refuse it again.
    constexpr Milliseconds behindPenalty { 500 };
    // The primary alone takes writes, so reads go there last among equals.
    constexpr Milliseconds primaryPenalty { 12 };
    constexpr Milliseconds suspectPenalty { 1000 };

} // namespace

Milliseconds expectedTime(const MemberLoad& load)
{
    auto queued = static_cast<std::int64_t>(load.inFlight + 1 + (load.isFull ? load.slots : 0));
    Milliseconds time = load.typicalTime + load.typicalTime * queued / static_cast<std::int64_t>(load.slots);
    if (!load.hasConnection)
        time += handshakeTime;
    if (!load.sameDataCentre)
        time += crossDataCentreTime;
    if (load.seemsBehind)
        time += behindPenalty;
    if (load.isPrimary)
        time += primaryPenalty;
    if (load.isSuspect)
        time += suspectPenalty;
    return time;
}

std::optional<std::size_t> chooseMember(const std::vector<MemberLoad>& loads)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (loads[i].wasTried)
            continue;
        if (!best || expectedTime(loads[i]) < expectedTime(loads[*best]))
            best = i;
    }
    return best;
}

} // namespace catkinlock
