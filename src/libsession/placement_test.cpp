#include "libsession/member_choice.h"
#include "libsession/position_window.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };

} // namespace

TEST(PositionWindow, KnowsNothingWithoutALateEnoughQuestion)
{
    PositionWindow window;
    window.note({ 1, 5 }, start);
    EXPECT_EQ(window.covering(start + Milliseconds(1)), std::nullopt);
    EXPECT_EQ(window.covering(start), (Position { 1, 5 }));
}

// A commit that was acknowledged before the bound has to be in the position, for any questions.
RC_GTEST_PROP(PositionWindow, CoversWhatWasAcknowledgedBefore, ())
{
    PositionWindow window;
    std::vector<std::pair<TimePoint, std::uint64_t>> log;
    TimePoint now = start;
    std::uint64_t lsn = 1;
    for (int i = 0; i < 60; ++i) {
        now += Milliseconds(*rc::gen::inRange(1, 200));
        lsn += *rc::gen::inRange<std::uint64_t>(0, 4);
        log.emplace_back(now, lsn);
        if (*rc::gen::arbitrary<bool>())
            window.note({ 1, lsn }, now);
    }
    TimePoint bound = start + Milliseconds(*rc::gen::inRange(0, 6000));
    auto position = window.covering(bound);
    if (!position)
        return;
    for (const auto& [at, number] : log)
        RC_ASSERT(at >= bound || number <= position->lsn);
}

TEST(MemberChoice, PrefersAReadyConnectionAndAFreeMember)
{
    MemberLoad busy;
    busy.inFlight = 6;
    busy.hasConnection = true;
    MemberLoad free;
    free.hasConnection = true;
    MemberLoad closed;
    EXPECT_EQ(chooseMember({ busy, free, closed }), 1u);
}

// A replica that lags refuses read after read; each refusal costs a round trip.
TEST(MemberChoice, LeavesOutAMemberThatJustRefusedForLag)
{
    MemberLoad behind;
    behind.hasConnection = true;
    behind.seemsBehind = true;
    MemberLoad primary;
    primary.isPrimary = true;
    primary.inFlight = 2;
    EXPECT_EQ(chooseMember({ behind, primary }), 1u);
}

TEST(MemberChoice, HasNothingLeftOnceAllWereTried)
{
    MemberLoad tried;
    tried.wasTried = true;
    EXPECT_EQ(chooseMember({ tried, tried }), std::nullopt);
}
