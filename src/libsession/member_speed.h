#pragma once

#include "catkinlock/clock.h"
#include "libsession/work_kind.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace catkinlock {

/// Learns how slow each member of one service is, relative to the others for the same kind of work, and how long work
/// of each kind takes. Does no I/O.
///
/// Load: 3 members, 15 to 40 statements a second of each, a few kinds of work whose times vary by a factor of ten. The
/// logarithm of a response time is the sum of one part for the kind of work and one for the member, and noise. A member
/// that becomes three times as slow shows within ten samples or half a second.
class MemberSpeed {
public:
    /// Records that the member replied after `took` to a statement of this kind.
    void recordReply(const std::string& member, const WorkKind&, Duration took, TimePoint now);
    /// Records that a statement failed at the member, or had no reply, after `took`.
    void recordFailure(const std::string& member, const WorkKind&, Duration took, TimePoint now);
    /// Records that a statement is sent to the member.
    void recordSent(const std::string& member, TimePoint now);

    /// Mean time that the member takes for work of this kind; std::nullopt before the first reply of this kind.
    std::optional<Duration> expectedTime(const std::string& member, const WorkKind&) const;
    /// Ratio of the member's response times to those of the fastest member of the service, at least 1.
    double slowness(const std::string& member) const;
    /// True if the member seems slow and has been sent nothing for some time, so that only another statement can show
    /// whether it still is.
    bool needsProbe(const std::string& member, TimePoint now) const;
    /// Forgets all members but these.
    void keepOnly(const std::set<std::string>& members);

private:
    struct Member {
        // Logarithm of the member's factor on response times.
        double factor = 0;
        TimePoint sampledAt;
        TimePoint sentAt;
        bool sampled = false;
    };
    struct Work {
        // Average of the logarithm of the response time in ms, less the member's factor.
        double level = 0;
        // Ratio of the mean to the typical time: work of most kinds is skewed.
        double meanRatio = 1;
        // Replies so far, up to the number whose average the level follows.
        unsigned samples = 0;
    };

    void record(Member&, Work&, double logTime, TimePoint now);
    void center();
    double leastFactor() const;

    std::map<std::string, Member> members;
    std::map<WorkKind, Work> works;
};

} // namespace catkinlock
