#pragma once

#include "catkinlock/clock.h"

namespace catkinlock {

/// Decides how many statements may be under way to one member for each that it runs. While a statement or its reply is
/// on the way, it uses none of the member's places, so that more statements than places keep the member busy: response
/// time / (response time - time on the way). When responses become slower because statements queue at the member, the
/// number falls. Does no I/O.
///
/// Load: 15 to 40 statements a second, 5 to 55 ms of work each, 1 to 7 ms on the way.
class ConcurrencyLimit {
public:
    /// The greatest number of statements under way for each one that runs. More would only queue at the member.
    static constexpr double maxStretch = 2;

    /// Records that the member ran a statement and replied after `took`.
    void recordReply(Duration took, TimePoint now);
    /// Records a reply to a request that needs hardly any work, such as the start of a transaction.
    void recordExchange(Duration took, TimePoint now);
    /// Records that the member refused a statement for want of capacity.
    void recordBusy(TimePoint now) { this->refusedAt = now; }

    /// Statements under way for each one that the member runs, from 1 to `maxStretch`.
    double stretch(TimePoint now) const;
    /// Mean time that a statement is under way, with a wait at the member.
    Duration meanResponse() const;

private:
    void recordLeast(double ms, TimePoint now);

    double meanMs = 20;
    unsigned replies = 0;
    // The least response times of the present and the last period. The least one of many is close to the time on the
    // way.
    double leastMs = 0;
    double lastLeastMs = 0;
    unsigned samples = 0;
    unsigned lastSamples = 0;
    TimePoint periodBeganAt;
    TimePoint refusedAt;
};

} // namespace catkinlock
