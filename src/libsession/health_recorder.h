#pragma once

#include "libsession/member_health.h"

namespace catkinlock {

/// Counts the successes and failures of one member. Takes events and the time as values.
class HealthRecorder {
public:
    /// The group's record names the member as the serving primary of `term`; this instance learned it at `now`. The
    /// health starts anew if it belonged to another term.
    void beginTerm(std::uint64_t term, TimePoint now);
    /// Records a reply to a statement that was sent at `sentAt`. `wrote`: to a write or a commit of writes, which
    /// succeeded.
    void recordReply(TimePoint sentAt, bool wrote, TimePoint now);
    /// Records the failure of a statement that was sent, or of a connection whose opening began, at `sentAt`.
    /// `lostWrite`: the reply to a write or to a commit of writes is missing.
    void recordFailure(TimePoint sentAt, bool lostWrite, TimePoint now);

    /// Health in the present term. What was sent before the term began doesn't count.
    const MemberHealth& health() const { return this->observed; }
    /// True if the member failed at least twice in a row, the last time recently, in whichever term.
    bool isSuspect(TimePoint now) const;

private:
    MemberHealth observed;
    TimePoint termBeganAt;
    // Failures since the last reply, and the time of the last one, in any term.
    unsigned failuresInRow = 0;
    TimePoint lastFailure;
};

} // namespace catkinlock
