#include "libsession/health_recorder.h"

namespace catkinlock {

namespace {

    // A member counts as suspect for this time after its last failure.
    constexpr Milliseconds suspectPeriod { 1500 };
    // Failures in succession that make a member suspect.
    constexpr unsigned failuresUntilSuspect = 2;

} // namespace

void HealthRecorder::beginTerm(std::uint64_t term, TimePoint now)
{
    if (term == this->observed.term)
        return;
    this->observed = {};
    this->observed.term = term;
    this->termBeganAt = now;
}

void HealthRecorder::recordReply(TimePoint sentAt, bool wrote, TimePoint now)
{
    this->failuresInRow = 0;
    if (sentAt < this->termBeganAt)
        return;
    this->observed.lastSuccess = now;
    this->observed.failures = 0;
    if (wrote)
        this->observed.lostWrites = 0;
}

void HealthRecorder::recordFailure(TimePoint sentAt, bool lostWrite, TimePoint now)
{
    ++this->failuresInRow;
    this->lastFailure = now;
    if (sentAt < this->termBeganAt)
        return;
    if (!this->observed.failures++)
        this->observed.failingSince = now;
    this->observed.lastFailure = now;
    if (!lostWrite)
        return;
    this->observed.lastLostWrite = now;
    if (!this->observed.lostWrites++)
        this->observed.losingWritesSince = now;
}

bool HealthRecorder::isSuspect(TimePoint now) const
{
    return this->failuresInRow >= failuresUntilSuspect && now - this->lastFailure < suspectPeriod;
}

} // namespace catkinlock
