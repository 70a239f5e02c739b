#pragma once

#include "catkinlock/clock.h"
#include "libsession/target_pool.h"
#include <cstddef>

namespace catkinlock {

/// What is known of a group's primary when one asks whether it has to be replaced.
struct PrimaryEvidence {
    /// False if no member is to be used as primary: none is listed, or several claim it.
    bool known = false;
    bool draining = false;
    /// What this instance saw of it.
    MemberHealth health;
    /// Other instances that lately said they can't reach it, and that they can.
    std::size_t othersSuspecting = 0;
    std::size_t othersReaching = 0;
};

enum class PrimaryVerdict {
    Fine,
    /// This instance can't use it; ask the others.
    Suspect,
    /// It leaves as planned, and still serves.
    HandOver,
    /// It is lost.
    Replace,
};

/// Times of the detection.
struct DetectionTimes {
    /// Silence of a member, without one answer between, until it is suspected.
    Milliseconds suspectAfter { 700 };
    /// Writes without an answer, while reads may be answered, until it is suspected.
    Milliseconds stalledAfter { 1000 };
    /// Silence until it counts as lost, so that the others have had time to say what they see.
    Milliseconds lostAfter { 1100 };
    /// Evidence that nothing was added to for this long says nothing any more.
    Milliseconds evidenceLifetime { 2500 };
    /// How long no primary may be known before one is made.
    Milliseconds unknownAfter { 2500 };
};

/// Decides about the primary of one group. `unknownFor`: how long no primary has been known.
PrimaryVerdict judgePrimary(const PrimaryEvidence&, const DetectionTimes&, Duration unknownFor, TimePoint now);

} // namespace catkinlock
