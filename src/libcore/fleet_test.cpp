// Tests of gossip membership, the fair queue, the selection of gateways by slot, the instance lifecycle, and the burn
// report.

#include "catkinlock/burn_meter.h"
#include "catkinlock/fair_queue.h"
#include "catkinlock/instance_lifecycle.h"
#include "catkinlock/membership.h"
#include "catkinlock/rendezvous.h"
#include "catkinlock/routing_view.h"
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace catkinlock;
using std::chrono::milliseconds;

namespace {

const TimePoint start { milliseconds(1000) };

InstanceRecord recordOf(std::size_t index)
{
    std::string name = "entry-" + std::to_string(index);
    return { name, name + ":1", "hakata", 1, 1, InstanceState::Live, { static_cast<std::uint32_t>(index) } };
}

// Runs gossip rounds with message loss until all digests are equal. Returns the number of rounds, or 1000 if they still
// differ after 200.
int roundsUntilAgreement(std::vector<Membership>& fleet, std::uint64_t seed, double loss)
{
    std::mt19937_64 random(seed);
    for (int round = 1; round <= 200; ++round) {
        for (Membership& sender : fleet) {
            Membership& receiver = fleet[random() % fleet.size()];
            if (&receiver == &sender || std::bernoulli_distribution(loss)(random))
                continue;
            bool same = sender.digest() == receiver.digest();
            for (const InstanceRecord& record : sender.takeUpdates(6))
                receiver.apply(record, start);
            // Every tenth round, instances whose digests differ exchange all records.
            if (!same && round % 10 == 0) {
                for (const InstanceRecord& record : sender.all())
                    receiver.apply(record, start);
            }
        }
        std::set<std::uint64_t> digests;
        for (const Membership& member : fleet)
            digests.insert(member.digest());
        if (digests.size() == 1)
            return round;
    }
    return 1000;
}

} // namespace

RC_GTEST_PROP(Membership, GossipReachesAllAlthoughMessagesAreLost, (std::uint64_t seed))
{
    auto size = *rc::gen::inRange<std::size_t>(2, 40);
    std::vector<Membership> fleet;
    for (std::size_t i = 0; i < size; ++i) {
        fleet.emplace_back(recordOf(i));
        fleet.back().apply(recordOf(0), start);
    }
    RC_ASSERT(roundsUntilAgreement(fleet, seed, 0.2) < 200);
    RC_ASSERT(fleet[0].peers().size() == size - 1);
}

TEST(Membership, AnInstanceWronglyMarkedDeadBecomesLiveAgain)
{
    Membership self(recordOf(0));
    Membership other(recordOf(1));
    other.apply(recordOf(0), start);
    for (int i = 0; i < 3; ++i)
        other.recordTimeout("entry-0", start);
    ASSERT_EQ(other.find("entry-0")->state, InstanceState::Dead);
    EXPECT_EQ(other.holderOf(0), nullptr);
    self.apply(*other.find("entry-0"), start);
    other.apply(self.self(), start);
    EXPECT_EQ(other.find("entry-0")->state, InstanceState::Live);
    EXPECT_EQ(other.holderOf(0)->name, "entry-0");
}

TEST(Membership, ALaterStartReplacesAnEarlierOne)
{
    Membership view(recordOf(1));
    InstanceRecord later = recordOf(0);
    later.incarnation = 2;
    later.address = "elsewhere:1";
    EXPECT_TRUE(view.apply(later, start));
    EXPECT_FALSE(view.apply(recordOf(0), start));
    EXPECT_EQ(view.find("entry-0")->address, "elsewhere:1");
}

TEST(Membership, AMinorityHasNoLiveMajority)
{
    Membership view(recordOf(0));
    for (std::size_t i = 1; i < 5; ++i)
        view.apply(recordOf(i), start);
    EXPECT_TRUE(view.hasLiveMajority());
    for (std::size_t i = 1; i < 4; ++i) {
        for (int timeout = 0; timeout < 3; ++timeout)
            view.recordTimeout("entry-" + std::to_string(i), start);
    }
    EXPECT_FALSE(view.hasLiveMajority());
}

RC_GTEST_PROP(Rendezvous, ALosingSlotMovesNoOther, (const std::string& name))
{
    auto few = rankSlots(name, 64, 3);
    auto many = rankSlots(name, 64, 16);
    RC_ASSERT(std::equal(few.begin(), few.end(), many.begin()));
    RC_ASSERT(std::set<std::uint32_t>(many.begin(), many.end()).size() == 16u);
}

TEST(RoutingView, TriesItselfThenItsDataCentreThenTheRestAndLeavingOnesLast)
{
    RoutingView view;
    view.slotCount = 3;
    view.holders = { recordOf(0), recordOf(1), recordOf(2) };
    view.holders[0].dataCentre = "nakasu";
    view.self = recordOf(1);
    auto choices = view.gatewaysFor("p/d");
    ASSERT_EQ(choices.size(), 3u);
    EXPECT_TRUE(choices[0].isSelf);
    EXPECT_EQ(choices[1].instance, "entry-2");
    view.holders[2].state = InstanceState::Leaving;
    EXPECT_EQ(view.gatewaysFor("p/d")[2].instance, "entry-2");
}

// Two workspaces of equal weight are served in turn although one has five times as many requests queued.
TEST(FairQueue, AWorkspaceWithALongQueueDoesNotStarveAnother)
{
    FairQueue queue(1000);
    for (std::uint64_t i = 0; i < 500; ++i)
        queue.push("loud", 1, { i, start + milliseconds(1000) });
    for (std::uint64_t i = 0; i < 100; ++i)
        queue.push("quiet", 1, { 1000 + i, start + milliseconds(1000) });
    int quiet = 0;
    for (int i = 0; i < 200; ++i)
        quiet += queue.pop(start)->id >= 1000;
    EXPECT_EQ(quiet, 100);
}

TEST(FairQueue, ServesByWeight)
{
    FairQueue queue(1000);
    for (std::uint64_t i = 0; i < 300; ++i) {
        queue.push("a", 3, { i, start + milliseconds(1000) });
        queue.push("b", 1, { 1000 + i, start + milliseconds(1000) });
    }
    int heavy = 0;
    for (int i = 0; i < 200; ++i)
        heavy += queue.pop(start)->id < 1000;
    EXPECT_EQ(heavy, 150);
}

RC_GTEST_PROP(FairQueue, ServesEachWaiterOnceAndInOrderWithinItsWorkspace, ())
{
    FairQueue queue(50);
    std::map<std::string, std::uint64_t> last;
    std::set<std::uint64_t> waiting;
    std::uint64_t next = 1;
    for (int i = 0; i < 200; ++i) {
        std::string workspace(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        if (*rc::gen::inRange(0, 3)) {
            if (queue.push(workspace, 1 + next % 3,
                    { next * 10 + static_cast<std::uint64_t>(workspace[0] - 'a'), start + milliseconds(5) }))
                waiting.insert(next * 10 + static_cast<std::uint64_t>(workspace[0] - 'a'));
            ++next;
        } else if (auto served = queue.pop(start)) {
            RC_ASSERT(waiting.erase(served->id) == 1u);
            std::uint64_t& before = last[std::string(1, static_cast<char>('a' + served->id % 10))];
            RC_ASSERT(served->id > before);
            before = served->id;
        }
        RC_ASSERT(queue.size() == waiting.size());
    }
    RC_ASSERT(!queue.pop(start + milliseconds(5)));
}

TEST(InstanceLifecycle, StatesAdvanceInOneDirection)
{
    InstanceLifecycle lifecycle;
    EXPECT_EQ(lifecycle.state(), InstanceLifecycle::State::Starting);
    lifecycle.drained();
    EXPECT_EQ(lifecycle.state(), InstanceLifecycle::State::Starting);
    lifecycle.ready();
    EXPECT_EQ(lifecycle.state(), InstanceLifecycle::State::Serving);
    lifecycle.leave();
    lifecycle.ready();
    EXPECT_EQ(lifecycle.state(), InstanceLifecycle::State::Draining);
    lifecycle.drained();
    EXPECT_EQ(lifecycle.state(), InstanceLifecycle::State::Stopped);
}

TEST(BurnMeter, CountsOnlyRequestsWithinTheWindow)
{
    BurnMeter meter;
    meter.sample("route a", { 0, 0 }, start);
    meter.sample("route a", { 1000, 10 }, start + std::chrono::minutes(1));
    meter.sample("route a", { 2000, 10 }, start + std::chrono::minutes(50));
    auto rows = meter.report(start + std::chrono::minutes(50));
    ASSERT_EQ(rows.size(), 3u);
    EXPECT_EQ(rows[0].counts, (ServiceCounts { 1000, 0 }));
    EXPECT_EQ(rows[1].counts, (ServiceCounts { 2000, 10 }));
    EXPECT_DOUBLE_EQ(rows[1].burnRate, 5.0);
}
