#pragma once

#include "catkinlock/clock.h"
#include "libsession/member_health.h"
#include <cstddef>

namespace catkinlock {

/// The observations of a group's primary from which `evaluatePrimary` decides whether it has to be replaced.
struct PrimaryEvidence {
    /// False if no member can be used as primary: it is being replaced or is not listed, or no member or several claim
    /// the role.
    bool known = false;
    /// True if the primary is to hand its role over, because it is leaving or its data centre is evacuated.
    bool draining = false;
    /// How long the members have reported that the primary is a replica and another member is the primary. A replica
    /// refuses writes, and a refusal is a success.
    Duration deposedFor { 0 };
    /// Successes and failures of this instance's own statements on the primary.
    MemberHealth health;
    /// Number of other instances that recently reported that they suspect the primary: several of their statements on
    /// it failed, or several writes got no reply.
    std::size_t othersSuspecting = 0;
    /// Number of other instances that recently reported that they reach the primary: it had replied to them less
    /// than a second before, and no statement on it failed and no write was lost since.
    std::size_t othersReaching = 0;
};

enum class PrimaryVerdict {
    /// The primary is usable, or has been unusable or unknown for too short a time.
    NoAction,
    /// This instance can't use the primary, but has to query other instances before it may replace it: the primary has
    /// not failed for `lostAfter` yet, or more instances reach it than suspect it.
    Suspect,
    /// The primary is draining; hand its role over to another member. Returned whether or not it still serves.
    HandOver,
    /// The primary has failed or lost its role, or the group has had none for too long; promote a member.
    Replace,
};

/// Time limits of failure detection.
struct DetectionTimes {
    /// The primary is suspected once all requests to it have failed for this long.
    Milliseconds suspectAfter { 700 };
    /// The primary is suspected once all its writes have gone unanswered for this long, even if it answers reads.
    Milliseconds stalledAfter { 1000 };
    /// The primary may be replaced once all requests to it have failed for this long. Longer than `suspectAfter`, so
    /// that the reports of other instances arrive in between. If only writes are lost, it takes
    /// `stalledAfter - suspectAfter` longer.
    Milliseconds lostAfter { 1100 };
    /// Failures count only while the latest one is younger than this.
    Milliseconds evidenceLifetime { 2500 };
    /// The primary may be replaced once the members have reported for this long that another member has its role.
    /// Longer than the reports of a change of roles take to arrive.
    Milliseconds deposedAfter { 2500 };
    /// A member is promoted once the group has had no known primary for this long.
    Milliseconds unknownAfter { 2500 };
};

/// True if so many writes got no reply lately that the primary counts as unable to serve writes.
bool losesWrites(const MemberHealth&, const DetectionTimes&, TimePoint now);

/// Decides whether the primary of a group has to be replaced. `unknownFor`: how long the group has had no known
/// primary.
PrimaryVerdict evaluatePrimary(const PrimaryEvidence&, const DetectionTimes&, Duration unknownFor, TimePoint now);

} // namespace catkinlock
