#include "libsession/primary_watch.h"

namespace catkinlock {

namespace {

    // A single failure is not evidence that the primary has failed.
    constexpr unsigned minFailures = 2;
    // Responses to single writes get lost while the primary works, so a few are not evidence of a failure.
    constexpr unsigned minLostWrites = 3;

    // How long this instance has been unable to use the primary.
    Duration unusableFor(const MemberHealth& health, const DetectionTimes& times, TimePoint now)
    {
        bool failedRecently = health.failures >= minFailures && now - health.lastFailure < times.evidenceLifetime;
        bool lostWritesRecently = losesWrites(health, times, now);
        Duration failingFor = failedRecently ? now - health.failingSince : Duration(0);
        Duration losingWritesFor = lostWritesRecently ? now - health.losingWritesSince : Duration(0);
        // A primary that only loses writes is suspected after `stalledAfter` instead of `suspectAfter`. The difference
        // is subtracted here, so that the caller compares both kinds of failure with the same limits.
        return std::max(failingFor, losingWritesFor - (times.stalledAfter - times.suspectAfter));
    }

} // namespace

bool losesWrites(const MemberHealth& health, const DetectionTimes& times, TimePoint now)
{
    return health.lostWrites >= minLostWrites && now - health.lastLostWrite < times.evidenceLifetime;
}

PrimaryVerdict evaluatePrimary(
    const PrimaryEvidence& evidence, const DetectionTimes& times, Duration unknownFor, TimePoint now)
{
    if (!evidence.known)
        return unknownFor >= times.unknownAfter ? PrimaryVerdict::Replace : PrimaryVerdict::NoAction;
    if (evidence.draining)
        return PrimaryVerdict::HandOver;
    if (evidence.deposedFor >= times.deposedAfter)
        return PrimaryVerdict::Replace;
    Duration unusable = unusableFor(evidence.health, times, now);
    if (unusable < times.suspectAfter)
        return PrimaryVerdict::NoAction;
    // This instance counts as one that suspects the primary.
    bool majorityAgrees = evidence.othersSuspecting + 1 > evidence.othersReaching;
    return unusable >= times.lostAfter && majorityAgrees ? PrimaryVerdict::Replace : PrimaryVerdict::Suspect;
}

} // namespace catkinlock
