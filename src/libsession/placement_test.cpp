#include "catkinlock/line_budget.h"
#include "catkinlock/rendezvous.h"
#include "libsession/member_choice.h"
#include "libsession/operation_token.h"
#include "libsession/position_window.h"
#include "libsession/target_groups.h"
#include "libsession/target_pool.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };

} // namespace

TEST(PositionWindow, CoversNothingWithoutALateEnoughRequest)
{
    PositionWindow window;
    window.record({ 1, 5 }, start);
    EXPECT_EQ(window.covering(start + Milliseconds(1)), std::nullopt);
    EXPECT_EQ(window.covering(start), (Position { 1, 5 }));
}

// The position for a bound includes every commit that was acknowledged before the bound, for any sequence of requests.
// Otherwise a replica at that position could serve a read without one of these commits.
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
            window.record({ 1, lsn }, now);
    }
    TimePoint bound = start + Milliseconds(*rc::gen::inRange(0, 6000));
    auto position = window.covering(bound);
    if (!position)
        return;
    for (const auto& [at, number] : log)
        RC_ASSERT(at >= bound || number <= position->lsn);
}

TEST(PositionWindow, ReportsHowFarALogIsBehind)
{
    PositionWindow window;
    window.record({ 1, 10 }, start);
    window.record({ 1, 12 }, start + Milliseconds(100));
    window.record({ 1, 15 }, start + Milliseconds(200));
    TimePoint now = start + Milliseconds(1000);
    EXPECT_EQ(window.lagOf({ 1, 15 }, now), Duration(0));
    EXPECT_EQ(window.lagOf({ 1, 12 }, now), Milliseconds(800));
    EXPECT_EQ(window.lagOf({ 1, 3 }, now), Milliseconds(1000));
}

// A member that lags refuses only reads that need newer data than it has. It is avoided for such reads for a while, but
// not for reads that accept older data.
TEST(TargetPool, IsLeftOutOnlyForReadsThatItsLagForbids)
{
    boost::asio::io_context context;
    TargetPool pool(context.get_executor(), nullptr, {});
    pool.recordLag(Milliseconds(2000), start);
    EXPECT_TRUE(pool.lagsBeyond(Milliseconds(1500), start + Milliseconds(100)));
    EXPECT_FALSE(pool.lagsBeyond(Milliseconds(2500), start + Milliseconds(100)));
    EXPECT_FALSE(pool.lagsBeyond(Milliseconds(1500), start + Milliseconds(700)));
    // An observation older than the last one has no effect.
    pool.recordLag(Milliseconds(0), start - Milliseconds(100));
    EXPECT_TRUE(pool.lagsBeyond(Milliseconds(1500), start + Milliseconds(100)));
}

namespace {

// The view of a service with one member, which is the primary.
FleetView viewOf(const TargetRecord& member)
{
    FleetView view;
    view.serial = 1;
    view.targets.set(member);
    return view;
}

} // namespace

// Guards against DRAIN: once a leaving primary may get nothing any more, a statement that only it could run has no
// place, and is refused at once.
TEST(TargetGroups, PlacesNothingAtAPrimaryWhoseDrainTimeIsOver)
{
    boost::asio::io_context context;
    auto freshness = std::make_shared<ViewFreshness>(Milliseconds(60000));
    freshness->confirm(start);
    TargetGroups groups(context.get_executor(), nullptr, freshness, "i", "here");
    TargetRecord member;
    member.id = "a";
    member.service = "s";
    member.primary = true;
    member.draining = true;
    FleetView view = viewOf(member);
    view.sendEnds["a"] = start + Milliseconds(4000);
    groups.refresh(view, start);
    ReadRequirements read;
    read.service = "s";
    EXPECT_TRUE(groups.placeWrite(view, "s", start + Milliseconds(3999)));
    EXPECT_TRUE(groups.placeRead(view, read, {}, start + Milliseconds(3999)));
    EXPECT_FALSE(groups.placeWrite(view, "s", start + Milliseconds(4000)));
    EXPECT_FALSE(groups.placeRead(view, read, {}, start + Milliseconds(4000)));
}

TEST(OperationToken, IsRefundedOnceIfNothingRan)
{
    OperationToken token;
    token.take();
    EXPECT_TRUE(token.recordReply(true, false, TransactionState::Idle));
    EXPECT_FALSE(token.recordReply(true, false, TransactionState::Idle));
    token.take();
    EXPECT_FALSE(token.recordReply(false, true, TransactionState::Idle));
    EXPECT_FALSE(token.recordReply(true, false, TransactionState::Idle));
}

// A caller may go on in a transaction after an error that left it open. A refund at the error would let the rest of the
// transaction run without a token.
TEST(OperationToken, IsNotRefundedWhileTheTransactionContinues)
{
    OperationToken token;
    token.take();
    EXPECT_FALSE(token.recordReply(false, false, TransactionState::Open));
    EXPECT_FALSE(token.recordReply(true, false, TransactionState::Open));
    EXPECT_FALSE(token.recordReply(false, true, TransactionState::Open));
    EXPECT_FALSE(token.recordReply(true, true, TransactionState::Failed));
}

TEST(OperationToken, IsRefundedWhenATransactionFailsBeforeItsFirstStatementRan)
{
    OperationToken token;
    token.take();
    EXPECT_FALSE(token.recordReply(false, false, TransactionState::Open));
    EXPECT_TRUE(token.recordReply(true, false, TransactionState::Failed));
}

TEST(LineBudget, BoundsTheLinesOfASecondAndCountsTheRest)
{
    LineBudget budget(10);
    int taken = 0;
    for (int i = 0; i < 2000; ++i)
        taken += budget.take(start + Milliseconds(i));
    EXPECT_GE(taken, 28);
    EXPECT_LE(taken, 30);
    EXPECT_EQ(budget.omitted(), 2000u - static_cast<unsigned>(taken));
}

TEST(MemberChoice, PrefersAReadyConnectionAndAFreeMember)
{
    MemberLoad busy;
    busy.inFlight = 6;
    busy.hasIdleConnection = true;
    MemberLoad free;
    free.hasIdleConnection = true;
    MemberLoad closed;
    EXPECT_EQ(chooseMember({ busy, free, closed }), 1u);
}

// Guards against hundreds of instances that all send their reads to one of two equal replicas.
TEST(MemberChoice, ManyInstancesChooseEqualMembersEvenly)
{
    constexpr int instances = 300;
    std::array<int, 2> chosen {};
    for (int instance = 0; instance < instances; ++instance) {
        std::vector<MemberLoad> loads(2);
        for (std::size_t member = 0; member < loads.size(); ++member)
            loads[member].tieBreak = stableHash("i-" + std::to_string(member), static_cast<std::uint64_t>(instance));
        ++chosen[*chooseMember(loads)];
    }
    EXPECT_GT(chosen[0], instances / 3);
    EXPECT_GT(chosen[1], instances / 3);
}

// A lagging replica refuses each read that needs a newer position, and each refusal costs a round trip.
TEST(MemberChoice, LeavesOutAMemberThatJustRefusedForLag)
{
    MemberLoad behind;
    behind.hasIdleConnection = true;
    behind.seemsBehind = true;
    MemberLoad primary;
    primary.isPrimary = true;
    primary.inFlight = 2;
    EXPECT_EQ(chooseMember({ behind, primary }), 1u);
}

// Guards against writers that wait while reads use the primary's places, and against reads that fail although only the
// primary can serve them.
TEST(MemberChoice, UsesAReservedPrimaryOnlyIfNoReplicaCanServe)
{
    MemberLoad primary;
    primary.isPrimary = true;
    primary.isReserved = true;
    MemberLoad replica;
    replica.inFlight = 9;
    EXPECT_EQ(chooseMember({ primary, replica }), 1u);
    replica.wasTried = true;
    EXPECT_EQ(chooseMember({ primary, replica }), std::nullopt);
    replica.seemsBehind = true;
    EXPECT_EQ(chooseMember({ primary, replica }), 0u);
    EXPECT_EQ(chooseMember({ primary }), 0u);
}

// A probe that had to wait would make its caller pay for what the gateway learns.
TEST(MemberChoice, SendsAProbeOnlyWhereItRunsAtOnce)
{
    MemberLoad slow;
    slow.responseTime = Milliseconds(100);
    slow.needsProbe = true;
    MemberLoad fast;
    EXPECT_EQ(chooseMember({ slow, fast }), 0u);
    slow.atSendLimit = true;
    EXPECT_EQ(chooseMember({ slow, fast }), 1u);
    slow.atSendLimit = false;
    slow.isSuspect = true;
    EXPECT_EQ(chooseMember({ slow, fast }), 1u);
}

TEST(MemberChoice, HasNothingLeftOnceAllWereTried)
{
    MemberLoad tried;
    tried.wasTried = true;
    EXPECT_EQ(chooseMember({ tried, tried }), std::nullopt);
}
