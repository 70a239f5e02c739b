#include "catkinlock/claim_schedule.h"
#include <gtest/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };
// A slot has a new holder this long after the lease of the last one has ended.
constexpr Milliseconds maxTimeWithoutHolder { 1000 };

// Plays fruitless rounds until `end`, and returns the time of the first one from there on.
TimePoint playUntil(ClaimSchedule& schedule, TimePoint from, TimePoint end)
{
    TimePoint now = from;
    for (; now < end || !schedule.isDue(now); now += Milliseconds(10)) {
        if (schedule.isDue(now))
            schedule.recordRound(false, now);
    }
    return now;
}

} // namespace

TEST(ClaimSchedule, BeginsAtItsTime)
{
    ClaimSchedule schedule(start);
    EXPECT_FALSE(schedule.isDue(start - Milliseconds(1)));
    schedule.recordFreeSlot(start - Milliseconds(1));
    EXPECT_FALSE(schedule.isDue(start - Milliseconds(1)));
    EXPECT_TRUE(schedule.isDue(start));
    EXPECT_EQ(schedule.maxRank(), 0u);
}

TEST(ClaimSchedule, RoundsThatGainNothingBecomeRare)
{
    ClaimSchedule schedule(start);
    TimePoint last = playUntil(schedule, start, start + std::chrono::minutes(3));
    schedule.recordRound(false, last);
    EXPECT_FALSE(schedule.isDue(last + Milliseconds(29'999)));
    EXPECT_TRUE(schedule.isDue(last + Milliseconds(30'000)));
}

// Guards against a slot that stays free while the instances that want one wait for their next round.
TEST(ClaimSchedule, AnInstanceOfAnyRankMayClaimASlotSoonAfterItBecameFree)
{
    for (std::size_t rank : { 0u, 16u, 294u }) {
        ClaimSchedule schedule(start);
        TimePoint freed = playUntil(schedule, start, start + std::chrono::minutes(3)) + Milliseconds(1000);
        schedule.recordRound(false, freed);
        schedule.recordFreeSlot(freed);
        TimePoint now = freed;
        for (; schedule.maxRank() < rank; now += Milliseconds(10)) {
            if (schedule.isDue(now))
                schedule.recordRound(false, now);
        }
        EXPECT_LE(now - freed, maxTimeWithoutHolder) << rank;
    }
}

// Guards against all instances of a large fleet that try to claim one slot at a time.
TEST(ClaimSchedule, FewInstancesClaimASlotAtATime)
{
    ClaimSchedule schedule(start);
    std::size_t ranks = 1;
    for (TimePoint now = start; schedule.maxRank() < 1000; now += Milliseconds(100)) {
        EXPECT_LT(schedule.maxRank(), ranks);
        ranks *= 2;
        schedule.recordRound(false, now);
    }
}
