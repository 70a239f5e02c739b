// Whom a leader waits for before a new primary serves: planned cases, and generated schedules of instances that are cut
// from the store, whose registrations end, and that leave, against a leader that starts at any time.

#include "catkinlock/store_revision.h"
#include "libsession/awaited_revisions.h"
#include "libsession/view_freshness.h"
#include "libsession/view_users.h"
#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

constexpr Milliseconds maxViewAge { 4700 };
constexpr Milliseconds leaseTime { 12'000 };
const TimePoint start { std::chrono::hours(1) };

FleetView viewOf(std::int64_t revision, const std::vector<std::string>& names)
{
    FleetView view;
    view.revision = revision;
    for (const std::string& name : names)
        view.instances[name] = { name + ":1", "dc" };
    return view;
}

// A leader that has run for long enough to know of all instances.
ViewUsers settledLeader(const std::vector<std::string>& names)
{
    ViewUsers users(maxViewAge, leaseTime);
    users.recordView(viewOf(1, names), TimePoint(), start - maxViewAge);
    return users;
}

} // namespace

TEST(AwaitedRevisions, APeerIsToldOnceWhenItsRevisionIsReached)
{
    AwaitedRevisions awaited;
    awaited.record("a:1", 5);
    awaited.record("b:1", 7);
    EXPECT_TRUE(awaited.takeReached(4).empty());
    EXPECT_EQ(awaited.takeReached(6), std::vector<std::string> { "a:1" });
    EXPECT_TRUE(awaited.takeReached(6).empty());
    awaited.record("b:1", 9);
    EXPECT_TRUE(awaited.takeReached(8).empty());
    EXPECT_EQ(awaited.takeReached(9), std::vector<std::string> { "b:1" });
}

TEST(ViewUsers, WaitsForARegisteredInstanceUntilItHasTheRevision)
{
    ViewUsers users = settledLeader({ "leader", "a" });
    users.recordView(viewOf(5, { "leader", "a" }), start, start);
    EXPECT_FALSE(users.allHave(5, "leader", start));
    EXPECT_EQ(users.behind(5, "leader", start), std::vector<std::string> { "a:1" });
    users.recordRevision("a:1", 4);
    EXPECT_FALSE(users.allHave(5, "leader", start));
    users.recordRevision("a:1", 5);
    EXPECT_TRUE(users.allHave(5, "leader", start));
}

// Guards against a read at a replaced primary by an instance that only a relay reached.
TEST(ViewUsers, WaitsForAnInstanceWhoseRegistrationEndedWhileItsViewMayBeInUse)
{
    ViewUsers users = settledLeader({ "leader", "a" });
    users.recordView(viewOf(5, { "leader" }), start, start);
    EXPECT_FALSE(users.allHave(5, "leader", start + maxViewAge - Milliseconds(1)));
    EXPECT_EQ(users.behind(5, "leader", start).size(), 1u);
    EXPECT_TRUE(users.allHave(5, "leader", start + maxViewAge));
    users.recordRevision("a:1", 5);
    EXPECT_TRUE(users.allHave(5, "leader", start));
}

TEST(ViewUsers, DoesNotWaitForAnInstanceThatHasLeft)
{
    ViewUsers users = settledLeader({ "leader", "a" });
    FleetView next = viewOf(5, { "leader" });
    next.leftInstances.insert("a");
    users.recordView(next, start, start);
    EXPECT_TRUE(users.allHave(5, "leader", start));
}

TEST(ViewUsers, WaitsUntilItsOwnViewHasTheRevision)
{
    ViewUsers users = settledLeader({ "leader" });
    EXPECT_FALSE(users.allHave(5, "leader", start));
    users.recordView(viewOf(5, { "leader" }), start, start);
    EXPECT_TRUE(users.allHave(5, "leader", start));
}

TEST(ViewUsers, ALeaderThatHasJustStartedWaitsForInstancesThatItCannotKnow)
{
    ViewUsers users(maxViewAge, leaseTime);
    users.recordView(viewOf(5, { "leader" }), TimePoint(), start);
    EXPECT_FALSE(users.allHave(5, "leader", start + maxViewAge - Milliseconds(1)));
    EXPECT_TRUE(users.allHave(5, "leader", start + maxViewAge));
}

TEST(ViewUsers, ALeaderThatWasSuspendedWaitsForInstancesThatCameAndWentMeanwhile)
{
    ViewUsers users = settledLeader({ "leader" });
    TimePoint resumed = start + leaseTime;
    users.recordView(viewOf(5, { "leader" }), start, resumed);
    EXPECT_FALSE(users.allHave(5, "leader", resumed));
    EXPECT_TRUE(users.allHave(5, "leader", resumed + maxViewAge));
}

TEST(ViewUsers, ALeaderWaitsForInstancesThatARestoreOfTheStoreHasLost)
{
    ViewUsers users = settledLeader({ "leader" });
    std::int64_t restored = StoreRevision { 1, 3 }.sequence();
    users.recordView(viewOf(restored, { "leader" }), start, start);
    EXPECT_FALSE(users.allHave(restored, "leader", start));
    EXPECT_TRUE(users.allHave(restored, "leader", start + maxViewAge));
}

TEST(ViewFreshness, AViewThatDoesNotListTheInstanceIsUsedNoLongerThanTheLastThatDid)
{
    ViewFreshness freshness(maxViewAge);
    freshness.setListed(false);
    freshness.confirm(start);
    EXPECT_FALSE(freshness.isFresh(start));
    EXPECT_EQ(freshness.age(start), Milliseconds(0));
    freshness.setListed(true);
    freshness.confirm(start + Milliseconds(100));
    EXPECT_TRUE(freshness.isFresh(start + Milliseconds(100)));
    freshness.setListed(false);
    freshness.confirm(start + Milliseconds(3000));
    EXPECT_TRUE(freshness.isFresh(start + Milliseconds(100) + maxViewAge - Milliseconds(1)));
    EXPECT_FALSE(freshness.isFresh(start + Milliseconds(100) + maxViewAge));
}

namespace {

// Ways to break the arrangement, which the schedules have to detect.
enum class Mutation { None, UsesViewsThatDoNotListIt, WaitsForRegisteredOnly, ForgetsWhatItCannotKnow };

// A span in which an instance has no path to the store, none to any instance, or both.
struct Cut {
    std::size_t instance = 0;
    Milliseconds from { 0 };
    Milliseconds to { 0 };
    bool store = true;
    bool peers = false;
};

struct Plan {
    unsigned seed = 0;
    std::vector<Cut> cuts;
    Milliseconds leaderStartsAt { 0 };
    // When the leader writes that the primary is being replaced.
    Milliseconds writtenAt { 20'000 };
};

constexpr std::size_t instanceCount = 5;
constexpr std::size_t leader = 0;
constexpr Milliseconds step { 50 };
constexpr Milliseconds length { 32'000 };

// A fleet in steps of time. Instances renew their registrations and copy the view of the store, or of another instance.
class Schedule {
public:
    Schedule(Plan plan, Mutation mutation)
        : plan(std::move(plan))
        , mutation(mutation)
        , random(this->plan.seed)
    {
    }

    // True if an instance used a view of before the change after the leader had waited for all.
    bool usesOldView()
    {
        for (; this->elapsed < length; this->elapsed += step) {
            this->keepRegistrations();
            this->copyViews();
            this->lead();
            if (this->servesAt && this->anyUsesOldView())
                return true;
        }
        return false;
    }

private:
    struct Instance {
        ViewFreshness freshness { maxViewAge };
        FleetView view;
        bool registered = false;
        Milliseconds leaseEndsAt { 0 };
    };

    TimePoint now() const { return start + this->elapsed; }
    static std::string nameOf(std::size_t instance) { return std::string(1, static_cast<char>('a' + instance)); }
    bool chance(int percent) { return std::uniform_int_distribution<int>(1, 100)(this->random) <= percent; }
    bool runs(std::size_t instance) const { return instance != leader || this->elapsed >= this->plan.leaderStartsAt; }

    bool isCut(std::size_t instance, bool Cut::*path) const
    {
        return std::any_of(this->plan.cuts.begin(), this->plan.cuts.end(), [&](const Cut& cut) {
            return cut.instance == instance && cut.*path && this->elapsed >= cut.from && this->elapsed < cut.to;
        });
    }

    void keepRegistrations()
    {
        for (std::size_t number = 0; number < instanceCount; ++number) {
            Instance& instance = this->instances[number];
            bool reaches = this->runs(number) && !this->isCut(number, &Cut::store);
            if (instance.registered && this->elapsed >= instance.leaseEndsAt) {
                instance.registered = false;
                ++this->revision;
            }
            bool renews = instance.leaseEndsAt - this->elapsed <= leaseTime * 2 / 3;
            if (!reaches || (instance.registered && !renews))
                continue;
            this->revision += !instance.registered;
            instance.registered = true;
            instance.leaseEndsAt = this->elapsed + leaseTime;
        }
    }

    FleetView storedView() const
    {
        std::vector<std::string> names;
        for (std::size_t number = 0; number < instanceCount; ++number) {
            if (this->instances[number].registered)
                names.push_back(nameOf(number));
        }
        return viewOf(this->revision, names);
    }

    void use(std::size_t number, const FleetView& view, TimePoint confirmedAt)
    {
        Instance& instance = this->instances[number];
        if (view.revision < instance.view.revision || confirmedAt <= instance.freshness.confirmed())
            return;
        if (number == leader)
            this->users.recordView(view, instance.freshness.confirmed(), this->now());
        instance.view = view;
        bool listed = view.lists(nameOf(number), nameOf(number) + ":1");
        instance.freshness.setListed(listed || this->mutation == Mutation::UsesViewsThatDoNotListIt);
        instance.freshness.confirm(confirmedAt);
    }

    void copyViews()
    {
        for (std::size_t number = 0; number < instanceCount; ++number) {
            if (!this->runs(number) || !this->chance(30))
                continue;
            if (!this->isCut(number, &Cut::store)) {
                this->use(number, this->storedView(), this->now());
                continue;
            }
            std::size_t source = std::uniform_int_distribution<std::size_t>(0, instanceCount - 1)(this->random);
            bool linked = !this->isCut(number, &Cut::peers) && !this->isCut(source, &Cut::peers);
            if (linked && this->runs(source))
                this->use(number, this->instances[source].view, this->instances[source].freshness.confirmed());
        }
    }

    // The leader writes the change, and asks the instances for their revisions until it need not wait any longer.
    void lead()
    {
        if (this->servesAt || this->elapsed < this->plan.writtenAt || !this->runs(leader))
            return;
        if (!this->changeRevision)
            this->changeRevision = ++this->revision;
        std::int64_t change = *this->changeRevision;
        for (std::size_t number = 1; number < instanceCount; ++number) {
            bool linked = !this->isCut(number, &Cut::peers) && !this->isCut(leader, &Cut::peers);
            if (linked && this->chance(50))
                this->users.recordRevision(nameOf(number) + ":1", this->instances[number].view.revision);
        }
        bool expired = this->elapsed >= std::max(this->plan.writtenAt, this->plan.leaderStartsAt) + maxViewAge;
        if (expired || this->waitedForAll(change))
            this->servesAt = this->elapsed;
    }

    bool waitedForAll(std::int64_t change)
    {
        const FleetView& own = this->instances[leader].view;
        if (this->mutation == Mutation::None || this->mutation == Mutation::UsesViewsThatDoNotListIt)
            return this->users.allHave(change, nameOf(leader), this->now());
        auto behind = this->users.behind(change, nameOf(leader), this->now());
        if (this->mutation == Mutation::ForgetsWhatItCannotKnow)
            return own.revision >= change && behind.empty();
        return std::none_of(behind.begin(), behind.end(),
            [&own](const std::string& address) { return own.lists(address.substr(0, 1), address); });
    }

    bool anyUsesOldView() const
    {
        return std::any_of(this->instances.begin() + 1, this->instances.end(), [this](const Instance& instance) {
            return instance.view.revision < *this->changeRevision && instance.freshness.isFresh(this->now());
        });
    }

    Plan plan;
    Mutation mutation;
    std::minstd_rand random;
    Milliseconds elapsed { 0 };
    std::int64_t revision = 1;
    std::array<Instance, instanceCount> instances;
    ViewUsers users { maxViewAge, leaseTime };
    std::optional<std::int64_t> changeRevision;
    std::optional<Milliseconds> servesAt;
};

rc::Gen<Milliseconds> milliseconds(int least, int greatest)
{
    return rc::gen::map(rc::gen::inRange(least, greatest + 1), [](int count) { return Milliseconds(count); });
}

rc::Gen<Plan> anyPlan()
{
    auto cut = rc::gen::mapcat(milliseconds(0, 20'000), [](Milliseconds from) {
        return rc::gen::build<Cut>(rc::gen::set(&Cut::instance, rc::gen::inRange<std::size_t>(1, instanceCount)),
            rc::gen::set(&Cut::from, rc::gen::just(from)),
            rc::gen::set(&Cut::to, milliseconds(static_cast<int>(from.count()) + 100, 30'000)),
            rc::gen::set(&Cut::store, rc::gen::arbitrary<bool>()),
            rc::gen::set(&Cut::peers, rc::gen::arbitrary<bool>()));
    });
    auto plan = rc::gen::build<Plan>(rc::gen::set(&Plan::seed, rc::gen::inRange(1U, 1'000'000U)),
        rc::gen::set(&Plan::cuts, rc::gen::container<std::vector<Cut>>(cut)),
        rc::gen::set(&Plan::leaderStartsAt,
            rc::gen::weightedOneOf<Milliseconds>(
                { { 2, rc::gen::just(Milliseconds(0)) }, { 1, milliseconds(8000, 20'000) } })),
        rc::gen::set(&Plan::writtenAt, milliseconds(8000, 24'000)));
    return rc::gen::resize(10, plan);
}

// A view from a relay is the only one that the instance gets, and its registration ends before the change.
Plan onlyARelayReachesAnInstance(Milliseconds peersCutFrom)
{
    Plan plan;
    plan.cuts = { { 1, Milliseconds(1000), length, true, false }, { 1, peersCutFrom, length, false, true } };
    return plan;
}

int countOldViews(Plan plan, Mutation mutation)
{
    int count = 0;
    for (plan.seed = 1; plan.seed <= 50; ++plan.seed)
        count += Schedule(plan, mutation).usesOldView();
    return count;
}

} // namespace

RC_GTEST_PROP(ViewUserSchedules, NoInstanceUsesAnOldViewOnceTheLeaderHasWaited, ())
{
    RC_ASSERT(!Schedule(*anyPlan(), Mutation::None).usesOldView());
}

TEST(ViewUserSchedules, AnInstanceThatOnlyARelayReachesUsesNoOldView)
{
    for (Milliseconds cutFrom : { Milliseconds(13'500), Milliseconds(17'000), Milliseconds(19'900) })
        EXPECT_EQ(countOldViews(onlyARelayReachesAnInstance(cutFrom), Mutation::None), 0);
}

TEST(ViewUserSchedules, DetectALeaderThatWaitsForRegisteredInstancesOnly)
{
    Plan plan = onlyARelayReachesAnInstance(Milliseconds(11'500));
    plan.writtenAt = Milliseconds(13'000);
    EXPECT_GT(countOldViews(plan, Mutation::WaitsForRegisteredOnly), 0);
    EXPECT_EQ(countOldViews(plan, Mutation::None), 0);
}

TEST(ViewUserSchedules, DetectAnInstanceThatUsesViewsThatDoNotListIt)
{
    Plan plan = onlyARelayReachesAnInstance(Milliseconds(19'900));
    EXPECT_GT(countOldViews(plan, Mutation::UsesViewsThatDoNotListIt), 0);
    EXPECT_EQ(countOldViews(plan, Mutation::None), 0);
}

TEST(ViewUserSchedules, DetectALeaderThatStartsAndForgetsWhatItCannotKnow)
{
    Plan plan = onlyARelayReachesAnInstance(Milliseconds(11'500));
    plan.leaderStartsAt = Milliseconds(13'000);
    plan.writtenAt = Milliseconds(13'500);
    EXPECT_GT(countOldViews(plan, Mutation::ForgetsWhatItCannotKnow), 0);
    EXPECT_EQ(countOldViews(plan, Mutation::None), 0);
}
