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

// True if some seed shows the checker what the mutation breaks.
bool checkerCatches(const Mutation& mutation, const std::string& promise)
{
    const Fault faults[] = { Fault::PrimaryCutFromReplicas, Fault::PrimaryCrashed, Fault::AnswersLost,
        Fault::PrimaryCutFromAll, Fault::ReplicaFarBehind, Fault::MessagesLate };
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::vector<FaultPlan> plans { { faults[seed % 6], Step::CommitExecuted, 20 },
            { Fault::PrimaryCrashed, Step::Acknowledged, 40 }, { Fault::MessagesLate, Step::CommitSent, 10 } };
        auto result = runGroupScenario(seed, plans, mutation);
        if (std::find(result.broken.begin(), result.broken.end(), promise) != result.broken.end())
            return true;
    }
    return false;
}

} // namespace

TEST(Failover, WithoutFaultsOneElectionServesAllWrites)
{
    auto result = runGroupScenario(1, {});
    EXPECT_TRUE(result.broken.empty());
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
    for (const std::string& promise : result.broken)
        RC_LOG() << promise << "\n";
    RC_ASSERT(result.broken.empty());
}

TEST(Failover, AShortFreezeOfThePrimaryStartsNoElection)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        EXPECT_EQ(runGroupScenario(seed, { { Fault::PrimaryFrozenShortly, Step::Acknowledged, 30 } }).terms, 1u);
}

// One watcher misses a primary that its replicas hear. Whether it replaces it depends on what the others reach.
TEST(Failover, AWatcherThatAloneMissesAPrimaryLeavesItToTheOthers)
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
            group.noteFailure(0, now);
            if (!failover.tick(group, now, 0, reachedByOthers, 0.5).empty())
                return true;
        }
        return false;
    };
    EXPECT_FALSE(replaces(true));
    EXPECT_TRUE(replaces(false));
}

TEST(Failover, CheckerSeesAcknowledgementsWithoutAMajority)
{
    Mutation mutation;
    mutation.acknowledgeWithoutMajority = true;
    EXPECT_TRUE(checkerCatches(mutation, "an acknowledged write is lost"));
}

TEST(Failover, CheckerSeesAcknowledgementsAcrossTerms)
{
    Mutation mutation;
    mutation.acknowledgeAcrossTerms = true;
    EXPECT_TRUE(checkerCatches(mutation, "an acknowledged write is lost"));
}

TEST(Failover, CheckerSeesThePromotionOfAMemberThatIsBehind)
{
    Mutation mutation;
    mutation.promoteOldest = true;
    EXPECT_TRUE(checkerCatches(mutation, "an acknowledged write is lost"));
}

TEST(Failover, CheckerSeesReadsThatDoNotLookAtThePosition)
{
    Mutation mutation;
    mutation.readAnywhere = true;
    EXPECT_TRUE(checkerCatches(mutation, "a read did not see the session's own write"));
}

TEST(Failover, CheckerSeesAgesThatAreNotProved)
{
    Mutation mutation;
    mutation.trustUnprovedSamples = true;
    EXPECT_TRUE(checkerCatches(mutation, "a read by age saw older data than it accepts"));
}

TEST(Failover, CheckerSeesSettlementsThatLeaveNoRecord)
{
    Mutation mutation;
    mutation.settleWithoutRecord = true;
    EXPECT_TRUE(checkerCatches(mutation, "a write that was told not to have run has run"));
}
