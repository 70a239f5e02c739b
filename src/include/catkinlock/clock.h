#pragma once

#include <chrono>
#include <ctime>

namespace catkinlock {

/// Monotonic time that also counts while the machine is suspended (CLOCK_BOOTTIME), so that a lease or a belief is
/// never older than it looks. Decisions take it as a value and never read a clock.
struct Clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;

    static time_point now()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

using TimePoint = Clock::time_point;
using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

} // namespace catkinlock
