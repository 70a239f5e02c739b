#include "catkinlock/claim_schedule.h"

#include <algorithm>
#include <limits>

namespace catkinlock {

namespace {

    // Between two rounds, as long as each may claim slots of more ranks than the one before.
    constexpr Milliseconds rankedInterval { 100 };
    // Number of rounds after which a slot of any rank may be claimed.
    constexpr unsigned maxRankDoublings = 10;
    // Backoff after the rounds limited by rank. It doubles up to the maximum while rounds gain no slot.
    constexpr Milliseconds minBackoff { 500 };
    constexpr Milliseconds maxBackoff { 30'000 };

} // namespace

std::size_t ClaimSchedule::maxRank() const
{
    if (this->rounds >= maxRankDoublings)
        return std::numeric_limits<std::size_t>::max();
    return (std::size_t { 1 } << this->rounds) - 1;
}

void ClaimSchedule::recordRound(bool gained, TimePoint now)
{
    bool limitedByRank = this->rounds < maxRankDoublings;
    this->rounds += limitedByRank;
    if (limitedByRank)
        this->backoff = rankedInterval;
    else
        this->backoff = gained ? minBackoff : std::clamp(this->backoff * 2, minBackoff, maxBackoff);
    this->nextAt = now + this->backoff;
}

void ClaimSchedule::recordFreeSlot(TimePoint now)
{
    // The first round has its own time.
    if (!this->rounds)
        return;
    this->rounds = 0;
    this->nextAt = now;
}

} // namespace catkinlock
