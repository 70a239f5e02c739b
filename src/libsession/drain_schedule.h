#pragma once

#include "catkinlock/clock.h"

namespace catkinlock {

/// When an instance that leaves ends the work of its sessions, one stage after the other.
struct DrainSchedule {
    /// From then on sessions that are in no transaction are ended between two operations. Callers may close them by
    /// themselves before.
    TimePoint idleSessionsEnd;
    /// From then on no session is accepted. The balancer sends none any more, because it has seen for long enough that
    /// the instance is not ready.
    TimePoint acceptingEnds;
    /// From then on open transactions are rolled back, and their callers are told so.
    TimePoint transactionsEnd;
    /// From then on sessions are ended whenever they await a statement, and no statement is started.
    TimePoint statementsEnd;
    /// Deadline of all statements that start before.
    TimePoint repliesEnd;
    /// The process ends, even if sessions are still open.
    TimePoint processEnd;

    auto operator<=>(const DrainSchedule&) const = default;
};

/// The schedule of a drain from `start` for which the instance has `total` time.
DrainSchedule makeDrainSchedule(TimePoint start, Milliseconds total);

} // namespace catkinlock
