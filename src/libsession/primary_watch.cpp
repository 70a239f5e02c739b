#include "libsession/primary_watch.h"

namespace catkinlock {

namespace {

    constexpr unsigned leastFailures = 2;
    // Single answers get lost while a primary is well.
    constexpr unsigned leastLostWrites = 3;

    // How long the primary has been of no use here.
    Duration uselessFor(const MemberHealth& health, const DetectionTimes& times, TimePoint now)
    {
        bool silentLately = health.failures >= leastFailures && now - health.lastFailure < times.evidenceLifetime;
        bool stalledLately
            = health.lostWrites >= leastLostWrites && now - health.lastLostWrite < times.evidenceLifetime;
        Duration silent = silentLately ? now - health.failingSince : Duration(0);
        Duration stalled = stalledLately ? now - health.losingWritesSince : Duration(0);
        // Lost writes alone take longer to mean something.
        return std::max(silent, stalled - (times.stalledAfter - times.suspectAfter));
    }

} // namespace

PrimaryVerdict judgePrimary(
    const PrimaryEvidence& evidence, const DetectionTimes& times, Duration unknownFor, TimePoint now)
{
    if (!evidence.known)
        return unknownFor >= times.unknownAfter ? PrimaryVerdict::Replace : PrimaryVerdict::Fine;
    if (evidence.draining)
        return PrimaryVerdict::HandOver;
    Duration useless = uselessFor(evidence.health, times, now);
    if (useless < times.suspectAfter)
        return PrimaryVerdict::Fine;
    bool mostAgree = evidence.othersSuspecting + 1 > evidence.othersReaching;
    return useless >= times.lostAfter && mostAgree ? PrimaryVerdict::Replace : PrimaryVerdict::Suspect;
}

} // namespace catkinlock
