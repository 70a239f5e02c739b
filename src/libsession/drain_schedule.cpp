#include "libsession/drain_schedule.h"

namespace catkinlock {

namespace {

    // Ends of the stages, as fractions of the whole time.
    constexpr double idleSessionsFraction = 0.25;
    constexpr double acceptingFraction = 0.5;
    constexpr double transactionsFraction = 0.5;
    constexpr double statementsFraction = 0.7;
    constexpr double repliesFraction = 0.82;
    constexpr double processFraction = 0.85;

} // namespace

DrainSchedule makeDrainSchedule(TimePoint start, Milliseconds total)
{
    auto after = [&](double fraction) { return start + std::chrono::duration_cast<Duration>(total * fraction); };
    return { after(idleSessionsFraction), after(acceptingFraction), after(transactionsFraction),
        after(statementsFraction), after(repliesFraction), after(processFraction) };
}

} // namespace catkinlock
