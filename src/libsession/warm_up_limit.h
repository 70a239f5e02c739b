#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/target_record.h"
#include "libsession/instance_history.h"
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace catkinlock {

struct FleetView;

/// Bounds the statements that this instance sends a member that warms up, so that all instances together send it at
/// most `coldPerS * excess + slack` in any second. Each instance has an equal share of that. If there are more
/// instances than statements, those that come first by rendezvous hashing send one each. The share of a lost instance
/// stays unused. Does no I/O.
///
/// An instance that has just started, or that had no usable view, sends such a member nothing until every other one
/// counts it. Made for 1,600 instances and some dozen statements a second to members that warm up.
class WarmUpLimit {
public:
    struct Terms {
        /// Name of this instance.
        std::string instance;
        double excess = 1.5;
        double slack = 5;
        /// Time after its last confirmation for which an instance may use its view.
        Duration maxViewAge { 0 };
    };

    explicit WarmUpLimit(Terms);

    /// Records the view in use, with its members and instances. `usable`: statements may be sent on it. Call it at
    /// least every `InstanceHistory::maxGap`.
    void recordView(const FleetView&, bool usable, TimePoint now);
    /// True if the member may be sent another statement now.
    bool allows(const std::string& member, TimePoint now) const;
    /// Counts a statement that is sent to the member.
    void recordStatement(const std::string& member, TimePoint now);

private:
    struct Member {
        // The time in the member's entry, and the run of the member that it is about.
        std::uint32_t warmUpMs = 0;
        std::int64_t startedAt = 0;
        TimePoint warmUntil;
        // Statements per second that it takes; 0 if they are not bounded.
        std::uint32_t coldPerS = 0;
        // Statements of the last second.
        std::deque<TimePoint> sent;
    };

    void recordMember(const TargetRecord&, std::uint32_t coldPerS, TimePoint now);
    bool isBounded(const Member&, TimePoint now) const;
    std::size_t shareOf(const std::string& id, const Member&) const;

    Terms terms;
    InstanceHistory instances;
    std::uint64_t viewSerial = 0;
    // By id.
    std::map<std::string, Member> members;
};

} // namespace catkinlock
