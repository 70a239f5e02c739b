#include "libsession/membership_change.h"
#include "libsession/simulated_group.h"
#include <gtest/gtest.h>
#include <ostream>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace catkinlock {

// Shows a step in a counterexample.
std::ostream& operator<<(std::ostream& out, const SimulatedGroup::Step& step)
{
    return out << step.action << ":" << step.choice;
}

} // namespace catkinlock

namespace {

TargetRecord member(const std::string& id, const std::string& address, std::int64_t startedAt)
{
    TargetRecord target;
    target.id = id;
    target.service = "s";
    target.address = address;
    target.startedAt = startedAt;
    return target;
}

MemberReport report(bool primary, std::uint64_t term, std::uint64_t lsn) { return { primary, term, { term, lsn }, 0 }; }

} // namespace

TEST(GroupMembership, IsReadAsItWasWritten)
{
    GroupMembership membership { { { "a", 1764950000000, "10.0.0.1:5" }, { "b", 0, "10.0.0.2:5" } } };
    EXPECT_EQ(parseGroupMembership(writeGroupMembership(membership)), membership);
    EXPECT_EQ(parseGroupMembership("{}"), std::nullopt);
    EXPECT_EQ(parseGroupMembership(R"({"runs":[{"id":"a","started_at":1}]})"), std::nullopt);
}

TEST(GroupMembership, IsCompleteOnlyIfItSaysSo)
{
    GroupMembership membership { { { "a", 1, "10.0.0.1:5" } }, true };
    EXPECT_EQ(parseGroupMembership(writeGroupMembership(membership)), membership);
    auto earlier = parseGroupMembership(R"({"runs":[{"id":"a","started_at":1,"address":"10.0.0.1:5"}]})");
    ASSERT_TRUE(earlier);
    EXPECT_EQ(earlier->runs, membership.runs);
    EXPECT_FALSE(earlier->isComplete);
}

TEST(MembershipChange, AMemberThatStartsAgainIsAddedAsAnotherRun)
{
    GroupMembership membership { { runOf(member("a", "10.0.0.1:5", 1)) } };
    EXPECT_TRUE(runsToAdd(membership, { member("a", "10.0.0.1:5", 1) }).empty());
    EXPECT_EQ(runsToAdd(membership, { member("a", "10.0.0.1:5", 2) }).size(), 1u);
}

// Guards against a group that waits for ever: members that crash come back under other ids, with their logs.
TEST(MembershipChange, AMemberOfAnotherIdAtItsAddressContinuesARun)
{
    GroupMembership membership { { runOf(member("a", "10.0.0.1:5", 1)), runOf(member("b", "10.0.0.2:5", 1)) } };
    std::vector<TargetRecord> members { member("c", "10.0.0.1:5", 4), member("b", "10.0.0.2:5", 1) };
    EXPECT_EQ(continuedRuns(membership, members), (std::set<MemberRun> { { "a", 1, "10.0.0.1:5" } }));
    std::vector<PromotionCandidate> candidates { { "c", false, false, true, report(false, 1, 9) },
        { "b", false, false, false, {} } };
    addAbsentRuns(candidates, members, membership, { GroupRecord::State::Replacing, "a", 1 });
    EXPECT_EQ(choosePromotion(candidates, PromotionTerms()), "c");
    // One that started again under its id before has lost the log.
    membership.runs.insert({ "a", 2, "10.0.0.1:5" });
    EXPECT_TRUE(continuedRuns(membership, members).empty());
    addAbsentRuns(candidates, members, membership, { GroupRecord::State::Replacing, "a", 1 });
    EXPECT_EQ(choosePromotion(candidates, PromotionTerms()), std::nullopt);
}

TEST(MembershipChange, ALaterRunOfTheSameIdOrAddressShowsThatARunHasEnded)
{
    TargetDirectory targets;
    targets.set(member("b", "10.0.0.1:5", 7));
    EXPECT_TRUE(isSucceeded({ "a", 5, "10.0.0.1:5" }, targets));
    EXPECT_TRUE(isSucceeded({ "b", 5, "10.0.0.2:5" }, targets));
    EXPECT_FALSE(isSucceeded({ "b", 7, "10.0.0.1:5" }, targets));
    EXPECT_FALSE(isSucceeded({ "a", 9, "10.0.0.1:5" }, targets));
    EXPECT_FALSE(isSucceeded({ "a", 0, "10.0.0.1:5" }, targets));
    EXPECT_FALSE(isSucceeded({ "a", 5, "10.0.0.3:5" }, targets));
}

TEST(MembershipChange, ARunIsRemovedOnceAReplicaHasAllThatThePrimaryHad)
{
    MemberReports reports { { { "p", report(true, 3, 9) } },
        { { "p", report(true, 3, 12) }, { "r", report(false, 3, 9) } } };
    EXPECT_TRUE(haveEveryCommit(reports, "p", 3, 1));
    EXPECT_TRUE(haveEveryCommit(reports, "p", 0, 1));
    EXPECT_FALSE(haveEveryCommit(reports, "p", 3, 2));
    EXPECT_FALSE(haveEveryCommit(reports, "p", 4, 1));
    EXPECT_FALSE(haveEveryCommit(reports, "r", 3, 1));
    reports.later["r"].received.lsn = 8;
    EXPECT_FALSE(haveEveryCommit(reports, "p", 3, 1));
    reports.later["r"] = report(false, 4, 20);
    EXPECT_FALSE(haveEveryCommit(reports, "p", 3, 1));
}

TEST(AbsentRuns, KeepTheTimeSinceWhichTheyHaveBeenAbsent)
{
    TimePoint start { std::chrono::hours(1) };
    TargetRecord a = member("a", "10.0.0.1:5", 1);
    TargetRecord b = member("b", "10.0.0.2:5", 1);
    GroupMembership membership { { runOf(a), runOf(b) } };
    AbsentRuns absent;
    absent.observe(membership, { a }, start);
    absent.observe(membership, { a }, start + Milliseconds(700));
    EXPECT_EQ(absent.since(), (std::map<MemberRun, TimePoint> { { runOf(b), start } }));
    absent.observe(membership, { a, b }, start + Milliseconds(900));
    EXPECT_TRUE(absent.since().empty());
}

// Guards against LOST at a promotion: the members listed first count as the whole group. The replica b has every commit
// and is out of sight when the group is first observed.
TEST(GroupObservation, AMemberThatWasOutOfSightBeforeItMayHoldTheOnlyCopyOfACommit)
{
    TimePoint start { std::chrono::hours(1) };
    std::vector<TargetRecord> listed { member("a", "10.0.0.1:5", 1), member("c", "10.0.0.3:5", 1) };
    auto chosenWith = [&listed](const GroupMembership& membership) {
        std::vector<PromotionCandidate> candidates { { "a", true, false, false, {} },
            { "c", false, false, true, report(false, 1, 7) } };
        addAbsentRuns(candidates, listed, membership, { GroupRecord::State::Replacing, "a", 1 });
        PromotionTerms terms;
        terms.mayLackRuns = !membership.isComplete;
        return choosePromotion(candidates, terms);
    };
    GroupObservation observation;
    GroupMembership membership;
    for (Milliseconds passed(0); passed < absenceLimit; passed += Milliseconds(100)) {
        observation.record(membership, listed, start + passed);
        membership = nextMembership(membership, listed, observation);
        ASSERT_EQ(membership.runs.size(), 2u);
        ASSERT_EQ(chosenWith(membership), std::nullopt) << passed.count() << " ms";
    }
    // If it still ran, it would have been listed by now.
    observation.record(membership, listed, start + absenceLimit);
    membership = nextMembership(membership, listed, observation);
    EXPECT_EQ(chosenWith(membership), "c");
}

// An instance that was suspended or cut off, and one whose group had no entry, may have missed a member.
TEST(GroupObservation, BeginsAgainAfterAGap)
{
    TimePoint start { std::chrono::hours(1) };
    std::vector<TargetRecord> listed { member("a", "10.0.0.1:5", 1) };
    GroupObservation cutOff;
    GroupObservation unlisted;
    for (Milliseconds passed(0); passed < absenceLimit; passed += Milliseconds(1000)) {
        cutOff.record({}, listed, start + passed);
        unlisted.record({}, passed == Milliseconds(4000) ? std::vector<TargetRecord>() : listed, start + passed);
    }
    cutOff.record({}, listed, start + absenceLimit + Milliseconds(2500));
    EXPECT_FALSE(cutOff.isComplete());
    EXPECT_FALSE(unlisted.isComplete());
    unlisted.record({}, listed, start + absenceLimit + Milliseconds(2000));
    EXPECT_FALSE(unlisted.isComplete());
    unlisted.record({}, listed, start + absenceLimit + Milliseconds(5000));
    EXPECT_TRUE(unlisted.isComplete());
}

TEST(GroupObservation, AViewThatIsNotConfirmedAnyMoreShowsNothing)
{
    TimePoint start { std::chrono::hours(1) };
    GroupObservation observation;
    for (int i = 0; i < 200; ++i)
        observation.record({}, { member("a", "10.0.0.1:5", 1) }, start);
    EXPECT_FALSE(observation.isComplete());
    // The views before the first confirmation are empty.
    observation.record({}, { member("a", "10.0.0.1:5", 1) }, TimePoint());
    observation.record({}, { member("a", "10.0.0.1:5", 1) }, start + absenceLimit);
    EXPECT_FALSE(observation.isComplete());
}

TEST(GroupObservation, AMemberThatCameAndWentIsPartOfTheMembership)
{
    TimePoint start { std::chrono::hours(1) };
    TargetRecord a = member("a", "10.0.0.1:5", 1);
    TargetRecord b = member("b", "10.0.0.2:5", 1);
    GroupObservation observation;
    GroupMembership membership { { runOf(a) } };
    observation.record(membership, { a, b }, start);
    // The membership could not be written meanwhile.
    for (Milliseconds passed(2000); passed <= absenceLimit; passed += Milliseconds(2000))
        observation.record(membership, { a }, start + passed);
    GroupMembership next = nextMembership(membership, { a }, observation);
    EXPECT_EQ(next, (GroupMembership { { runOf(a), runOf(b) }, true }));
    // Afterwards it is removed like any other.
    observation.record(next, { a }, start + absenceLimit);
    EXPECT_EQ(nextMembership({ { runOf(a) }, true }, { a }, observation), (GroupMembership { { runOf(a) }, true }));
}

// An instance that joins or starts again does not make the others wait, and a program that does not write the field
// makes them wait no longer than they have observed the group.
TEST(GroupObservation, AMembershipStaysComplete)
{
    TimePoint start { std::chrono::hours(1) };
    TargetRecord a = member("a", "10.0.0.1:5", 1);
    TargetRecord b = member("b", "10.0.0.2:5", 1);
    GroupObservation joined;
    joined.record({ { runOf(a) }, true }, { a, b }, start);
    EXPECT_EQ(
        nextMembership({ { runOf(a) }, true }, { a, b }, joined), (GroupMembership { { runOf(a), runOf(b) }, true }));
    GroupObservation observation;
    for (Milliseconds passed(0); passed <= absenceLimit * 2; passed += Milliseconds(1000))
        observation.record({ { runOf(a) }, passed >= absenceLimit }, { a }, start + passed);
    EXPECT_TRUE(nextMembership({ { runOf(a) } }, { a }, observation).isComplete);
}

// Guards against LOST at a promotion, under any mix of members that lapse, come back, start empty, lag, leave and join,
// and of replacements that are abandoned and continued by leaders that know no more than the store.
RC_GTEST_PROP(MembershipSchedules, NoPromotedLogLacksAnAcknowledgedCommit, ())
{
    SimulatedGroup group(*rc::gen::inRange<std::size_t>(2, 6), *rc::gen::inRange<std::size_t>(1, 3));
    auto steps = *rc::gen::container<std::vector<SimulatedGroup::Step>>(200,
        rc::gen::construct<SimulatedGroup::Step>(
            rc::gen::inRange(0u, SimulatedGroup::actionCount), rc::gen::inRange(0u, 60u)));
    for (const SimulatedGroup::Step& step : steps)
        group.run(step);
    RC_CLASSIFY(group.promotions() >= 3, "three promotions or more");
    RC_ASSERT(group.lostCommits() == 0u);
}

// Guards against LOST at a promotion: the same while the first membership is kept, with members that are out of sight
// at the first observation.
RC_GTEST_PROP(MembershipSchedules, NoPromotionFromAFirstMembershipLosesACommit, ())
{
    SimulatedGroup group(
        *rc::gen::inRange<std::size_t>(2, 6), *rc::gen::inRange<std::size_t>(1, 3), *rc::gen::inRange(1u, 32u));
    auto steps = *rc::gen::container<std::vector<SimulatedGroup::Step>>(100,
        rc::gen::construct<SimulatedGroup::Step>(
            rc::gen::inRange(0u, SimulatedGroup::actionCount), rc::gen::inRange(0u, 60u)));
    for (const SimulatedGroup::Step& step : steps)
        group.run(step);
    RC_CLASSIFY(group.promotions() >= 1, "a promotion or more");
    RC_ASSERT(group.lostCommits() == 0u);
}

// The rule that keeps commits leaves a group without a primary no longer than it has to: once all members respond and
// are listed, one is promoted.
RC_GTEST_PROP(MembershipSchedules, AMemberIsPromotedOnceAllRespond, ())
{
    SimulatedGroup group(3, 1, *rc::gen::inRange(0u, 8u));
    auto steps = *rc::gen::container<std::vector<SimulatedGroup::Step>>(60,
        rc::gen::construct<SimulatedGroup::Step>(
            rc::gen::inRange(0u, SimulatedGroup::lossCount), rc::gen::inRange(0u, 60u)));
    for (const SimulatedGroup::Step& step : steps)
        group.run(step);
    group.recover();
    // A former primary whose log is the longest is passed over at first.
    bool promoted = false;
    for (int attempt = 0; attempt < 3 && !promoted; ++attempt)
        promoted = group.replacePrimary();
    RC_ASSERT(promoted);
    RC_ASSERT(group.lostCommits() == 0u);
}
