#pragma once

#include <chrono>

namespace catkinlock {

/// Monotonic time of this process. Decisions take it as a value and never read a clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

} // namespace catkinlock
