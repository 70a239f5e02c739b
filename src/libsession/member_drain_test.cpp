// No request may reach a member later than its drain time after it announced that it is leaving. It may end at any
// moment then, and with it what was accepted for it.

#include "libsession/member_drain.h"
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };

TimePoint at(int ms) { return start + Milliseconds(ms); }

} // namespace

TEST(MemberDrain, EndsBeforeTheDrainTimeByTheAgeOfAView)
{
    MemberDrain drain;
    drain.recordLeaving("a", at(1000), at(900));
    EXPECT_EQ(drain.sendEnds().at("a"), at(5000));
    EXPECT_TRUE(drain.isLeaving("a"));
    EXPECT_FALSE(drain.isLeaving("b"));
    drain.setLimits({ Milliseconds(20000), Milliseconds(1000) });
    EXPECT_EQ(drain.sendEnds().at("a"), at(20000));
}

TEST(MemberDrain, CountsFromTheFirstSight)
{
    MemberDrain drain;
    drain.recordLeaving("a", at(1000), at(900));
    drain.recordLeaving("a", at(2500), at(2400));
    EXPECT_EQ(drain.sendEnds().at("a"), at(5000));
}

TEST(MemberDrain, HalfOfTheTimeHasElapsedInTheFirstViewOfAnInstance)
{
    MemberDrain drain;
    drain.recordLeaving("a", at(1000), TimePoint());
    EXPECT_EQ(drain.sendEnds().at("a"), at(1500));
}

// The member may have announced it at any time since the instance lost its sources of views.
TEST(MemberDrain, CountsFromTheLastConfirmedViewAfterALongGap)
{
    MemberDrain drain;
    drain.recordLeaving("a", at(20000), at(9000));
    EXPECT_EQ(drain.sendEnds().at("a"), at(16000));
}

TEST(MemberDrain, ForgetsAMemberThatRunsAgainOrIsGone)
{
    MemberDrain drain;
    drain.recordLeaving("a", at(1000), at(900));
    drain.recordLeaving("b", at(1000), at(900));
    drain.recordReady("a");
    drain.forgetOld(at(61000));
    EXPECT_FALSE(drain.isLeaving("a"));
    EXPECT_TRUE(drain.isLeaving("b"));
    drain.forgetOld(at(61001));
    EXPECT_TRUE(drain.sendEnds().empty());
}

// An instance learns of the announcement with views that are confirmed at any times, with gaps. It uses a view for as
// long as it is fresh, and no statement may leave later than the drain time after the announcement.
RC_GTEST_PROP(MemberDrain, NoStatementIsSentAfterTheDrainTime, ())
{
    DrainLimits limits { Milliseconds(*rc::gen::inRange(1000, 20000)), Milliseconds(*rc::gen::inRange(500, 8000)) };
    MemberDrain drain;
    drain.setLimits(limits);
    TimePoint announced = at(*rc::gen::inRange(0, 20000));
    TimePoint confirmed = at(0);
    for (int ms = 0; ms < 60000; ms += *rc::gen::inRange(1, 15000)) {
        // A view reflects the store as of its confirmation, which is at most `applyWithin` old while in touch.
        Milliseconds age(*rc::gen::inRange(0, 500));
        TimePoint asOf = std::max(confirmed, at(ms) - age);
        if (asOf >= announced)
            drain.recordLeaving("a", at(ms), confirmed);
        confirmed = asOf;
    }
    for (const auto& [member, end] : drain.sendEnds())
        RC_ASSERT(end <= announced + limits.drainTime);
}
