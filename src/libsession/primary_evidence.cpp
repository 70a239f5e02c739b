#include "libsession/primary_evidence.h"

namespace catkinlock {

namespace {

    // Older reports of peers are ignored.
    constexpr Milliseconds peerReportLifetime { 1000 };
    // A primary counts as reachable if it answered within this time and no failure followed.
    constexpr Milliseconds reachableWithin { 800 };
    // Failures or lost writes from which an instance reports that it suspects the primary.
    constexpr unsigned minReportedFailures = 2;

} // namespace

PrimaryEvidence collectEvidence(const PrimaryTerm& primary, const MemberObservation* observation,
    const std::map<std::string, PeerReport>& reports, TimePoint now)
{
    PrimaryEvidence evidence;
    evidence.known = true;
    // The observation may have been copied from the request thread under another view.
    if (observation && observation->health.term == primary.term)
        evidence.health = observation->health;
    for (const auto& [peer, report] : reports) {
        if (report.primary != primary || now - report.receivedAt > peerReportLifetime)
            continue;
        evidence.othersSuspecting += report.suspects;
        evidence.othersReaching += report.reaches;
    }
    return evidence;
}

PeerReport reportOn(const std::string& member, const MemberObservation* observation, TimePoint now)
{
    PeerReport report;
    report.primary.member = member;
    report.receivedAt = now;
    if (!observation)
        return report;
    const MemberHealth& health = observation->health;
    report.primary.term = health.term;
    report.reaches = !health.failures && !health.lostWrites && now - health.lastSuccess < reachableWithin;
    report.suspects = health.failures >= minReportedFailures || health.lostWrites >= minReportedFailures;
    return report;
}

} // namespace catkinlock
