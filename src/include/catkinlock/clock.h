#pragma once

#include <chrono>
#include <ctime>

namespace catkinlock {

/// Monotonic clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME), so that a suspension cannot
/// make a lease or an observation look younger than it is. Decision code receives the time as a parameter and never
/// reads the clock itself.
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
