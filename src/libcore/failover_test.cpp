#include "libcore/scenarios/group_scenario.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock::scenarios;

namespace catkinlock::scenarios {

void showValue(const FaultPlan& plan, std::ostream& out)
{
    out << faultName(plan.fault) << " at " << stepName(plan.step) << " number " << plan.occurrence;
}

} // namespace catkinlock::scenarios

namespace {

rc::Gen<FaultPlan> anyPlan()
{
    return rc::gen::construct<FaultPlan>(
        rc::gen::map(rc::gen::inRange(0, faultCount), [](int value) { return static_cast<Fault>(value); }),
        rc::gen::map(rc::gen::inRange(0, stepCount), [](int value) { return static_cast<Step>(value); }),
        rc::gen::inRange(1u, 40u));
}

// True if, for some seed, the scenario's checker reports `violation` when the mutation is active.
bool checkerDetects(const Mutation& mutation, const std::string& violation)
{
    const Fault faults[] = { Fault::PrimaryCutFromReplicas, Fault::PrimaryCrashed, Fault::ResponsesLost,
        Fault::PrimaryCutFromAll, Fault::ReplicaFarBehind, Fault::MessagesDelayed };
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::vector<FaultPlan> plans { { faults[seed % 6], Step::CommitExecuted, 20 },
            { Fault::PrimaryCrashed, Step::Acknowledged, 40 }, { Fault::MessagesDelayed, Step::CommitSent, 10 } };
        auto result = runGroupScenario(seed, plans, mutation);
        if (std::find(result.violations.begin(), result.violations.end(), violation) != result.violations.end())
            return true;
    }
    return false;
}

} // namespace

TEST(Failover, WithoutFaultsOneElectionServesAllWrites)
{
    auto result = runGroupScenario(1, {});
    EXPECT_TRUE(result.violations.empty());
    EXPECT_EQ(result.terms, 1u);
    EXPECT_EQ(result.unknown, 0u);
    EXPECT_GT(result.acknowledged, 900u);
    EXPECT_GT(result.reads, 500u);
}

RC_GTEST_PROP(Failover, KeepsItsPromisesUnderAnyTwoFaults, ())
{
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::vector<FaultPlan> plans { *anyPlan(), *anyPlan() };
    auto result = runGroupScenario(seed, plans);
    for (const std::string& violation : result.violations)
        RC_LOG() << violation << "\n";
    RC_ASSERT(result.violations.empty());
}

TEST(Failover, AShortFreezeOfThePrimaryStartsNoElection)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        EXPECT_EQ(runGroupScenario(seed, { { Fault::PrimaryFrozenShortly, Step::Acknowledged, 30 } }).terms, 1u);
}

// The primary does not respond to one watcher, but its replicas receive from it. The watcher must replace it only if no
// other watcher reaches it either.
TEST(Failover, AWatcherDoesNotReplaceAPrimaryThatOthersReach)
{
    using namespace catkinlock;
    auto replaces = [](bool reachedByOthers) {
        TimePoint start(Milliseconds(1000));
        GroupState group(3, start);
        Failover failover(3, {}, start);
        group.observe(0, { true, 2, { 2, 5 }, 2, 5, 0 }, start, start);
        for (int ms = 0; ms < 5000; ms += 100) {
            TimePoint now = start + Milliseconds(ms);
            group.observe(1, { false, 2, { 2, 5 }, 2, 5, 20 }, now, now);
            group.observe(2, { false, 2, { 2, 5 }, 2, 5, 20 }, now, now);
            group.recordFailure(0, now);
            if (!failover.tick(group, now, 0, reachedByOthers, 0.5).empty())
                return true;
        }
        return false;
    };
    EXPECT_FALSE(replaces(true));
    EXPECT_TRUE(replaces(false));
}

TEST(Failover, CheckerDetectsAcknowledgementsWithoutAMajority)
{
    Mutation mutation;
    mutation.acknowledgeWithoutMajority = true;
    EXPECT_TRUE(checkerDetects(mutation, "an acknowledged write is lost"));
}

TEST(Failover, CheckerDetectsAcknowledgementsAcrossTerms)
{
    Mutation mutation;
    mutation.acknowledgeAcrossTerms = true;
    EXPECT_TRUE(checkerDetects(mutation, "an acknowledged write is lost"));
}

TEST(Failover, CheckerDetectsThePromotionOfAMemberThatIsBehind)
{
    Mutation mutation;
    mutation.promoteOldest = true;
    EXPECT_TRUE(checkerDetects(mutation, "an acknowledged write is lost"));
}

TEST(Failover, CheckerDetectsReadsThatIgnoreTheRequiredPosition)
{
    Mutation mutation;
    mutation.readAnyMember = true;
    EXPECT_TRUE(checkerDetects(mutation, "a read did not see the session's own write"));
}

TEST(Failover, CheckerDetectsReadsOfUnprovenAge)
{
    Mutation mutation;
    mutation.trustUnprovenSamples = true;
    EXPECT_TRUE(checkerDetects(mutation, "a read by age saw older data than it accepts"));
}

TEST(Failover, CheckerDetectsSettlementsThatLeaveNoRecord)
{
    Mutation mutation;
    mutation.settleWithoutRecord = true;
    EXPECT_TRUE(checkerDetects(mutation, "a write that was reported as not run has run"));
}
