#include "libsession/primary_reserve.h"

#include <cmath>

namespace catkinlock {

namespace {

    // A recorded number counts for about this long.
    constexpr double memorySeconds = 1;
    // A read may use a place that is needed for less than this part of the time.
    constexpr double maxOverlap = 0.5;

} // namespace

double PrimaryReserve::averageAt(TimePoint now) const
{
    double seconds = std::chrono::duration<double>(now - this->recordedAt).count();
    return this->latest + (this->average - this->latest) * std::exp(-seconds / memorySeconds);
}

void PrimaryReserve::record(std::size_t needed, TimePoint now)
{
    this->average = this->averageAt(now);
    this->latest = static_cast<double>(needed);
    this->recordedAt = now;
}

bool PrimaryReserve::admitsRead(std::size_t reads, std::size_t places, TimePoint now) const
{
    return static_cast<double>(reads + 1) + this->averageAt(now) <= static_cast<double>(places) + maxOverlap;
}

} // namespace catkinlock
