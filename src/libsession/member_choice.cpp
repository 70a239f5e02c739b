#include "libsession/member_choice.h"

#include <algorithm>
#include <tuple>

namespace catkinlock {

namespace {

    // Added if a connection has to be opened first.
    constexpr Milliseconds handshakeTime { 30 };
    // Added for a member in another data centre.
    constexpr Milliseconds crossDataCentreTime { 3 };
    // Added for a member that is behind or lags too far: it would most likely refuse the read, which costs a round
    // trip.
    constexpr Milliseconds behindPenalty { 500 };
    // Added for the primary: only it can run writes, so among equal members reads go to a replica.
    constexpr Milliseconds primaryPenalty { 12 };
    // Added for a member that failed at least twice in a row, the last time recently.
    constexpr Milliseconds suspectPenalty { 1000 };

} // namespace

Duration expectedTime(const MemberLoad& load)
{
    auto queued = static_cast<std::int64_t>(load.inFlight + 1 + (load.atSendLimit ? load.maxConcurrentStatements : 0));
    Duration time
        = load.responseTime + load.responseTime * queued / static_cast<std::int64_t>(load.maxConcurrentStatements);
    if (!load.hasIdleConnection)
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

namespace {

    // A probe must not make the statement wait or fail where another member would serve it.
    bool isProbe(const MemberLoad& load)
    {
        return load.needsProbe && !load.atSendLimit && !load.isSuspect && !load.seemsBehind;
    }

    bool isPreferred(const MemberLoad& left, const MemberLoad& right)
    {
        return std::tuple(!isProbe(left), expectedTime(left), left.tieBreak)
            < std::tuple(!isProbe(right), expectedTime(right), right.tieBreak);
    }

} // namespace

bool replicaServes(const std::vector<MemberLoad>& loads)
{
    return std::any_of(loads.begin(), loads.end(),
        [](const MemberLoad& load) { return !load.isPrimary && !load.seemsBehind && !load.isSuspect; });
}

std::optional<std::size_t> chooseMember(const std::vector<MemberLoad>& loads)
{
    std::optional<std::size_t> best;
    bool leaveOutReserved = replicaServes(loads);
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (loads[i].wasTried || (loads[i].isReserved && leaveOutReserved))
            continue;
        if (!best || isPreferred(loads[i], loads[*best]))
            best = i;
    }
    return best;
}

} // namespace catkinlock
