#include "libsession/fleet_view.h"
#include "libsession/target_groups.h"
#include "libsession/warm_up_limit.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };
constexpr Milliseconds maxViewAge { 4700 };
constexpr Milliseconds step { 100 };
// Longer than an instance has to be listed before it sends to members that warm up.
constexpr Milliseconds settling { 7000 };

WarmUpLimit::Terms termsFor(const std::string& instance) { return { instance, 1.5, 5, maxViewAge }; }

std::string nameOf(std::size_t i) { return "i" + std::to_string(i); }

TargetRecord coldMember(std::uint32_t warmUpMs)
{
    TargetRecord target;
    target.id = "m";
    target.service = "orders";
    target.address = "127.0.0.1:1";
    target.primary = true;
    target.warmUpMs = warmUpMs;
    return target;
}

// A view with instances i0, i1 and so on, and a member that warms up.
FleetView makeView(std::uint64_t serial, std::size_t instanceCount, std::uint32_t coldPerS, std::uint32_t warmUpMs)
{
    FleetView view;
    view.serial = serial;
    Tables tables;
    Pool pool;
    pool.name = "orders";
    pool.databases.push_back({ "orders", {}, 60 });
    pool.coldPerS = coldPerS;
    tables.pools["orders"] = pool;
    view.tables = std::make_shared<const Tables>(std::move(tables));
    view.targets.set(coldMember(warmUpMs));
    for (std::size_t i = 0; i < instanceCount; ++i)
        view.instances[nameOf(i)] = { "10.0.0.1:1", "here", 0 };
    return view;
}

// Has the limit use the view from `from` to `until`.
void useView(WarmUpLimit& limit, const FleetView& view, TimePoint from, TimePoint until)
{
    for (TimePoint now = from; now <= until; now += step)
        limit.recordView(view, true, now);
}

// Number of statements that the limit lets through at `now`.
std::size_t sendAll(WarmUpLimit& limit, TimePoint now)
{
    std::size_t sent = 0;
    while (sent < 10000 && limit.allows("m", now)) {
        limit.recordStatement("m", now);
        ++sent;
    }
    return sent;
}

// Statements that all of a number of instances may send in a second, each with the same view for long enough.
std::size_t sendAllInstances(std::size_t instanceCount, std::uint32_t coldPerS)
{
    FleetView view = makeView(1, instanceCount, coldPerS, 60000);
    std::size_t sent = 0;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        WarmUpLimit limit(termsFor(nameOf(i)));
        useView(limit, view, start, start + settling);
        sent += sendAll(limit, start + settling);
    }
    return sent;
}

// One instance of a fleet in which views spread with delays and instances come and go.
struct SimulatedInstance {
    explicit SimulatedInstance(const std::string& name)
        : limit(termsFor(name))
    {
    }

    WarmUpLimit limit;
    FleetView view;
    TimePoint confirmedAt;
    // The last confirmation of a view that lists this instance.
    TimePoint usableAsOf;
    // When it last renewed its registration; it is removed from the store 12 s later.
    TimePoint renewedAt;
    bool isRunning = false;
    bool isCutOff = false;
};

class WarmUpFleet {
public:
    static constexpr std::size_t instanceCount = 8;
    static constexpr Milliseconds lease { 12000 };

    explicit WarmUpFleet(std::uint32_t coldPerS)
        : stored(makeView(1, 0, coldPerS, 600000))
        , bound(static_cast<std::size_t>(coldPerS * 1.5 + 5))
    {
        for (std::size_t i = 0; i < instanceCount; ++i)
            this->instances.emplace_back(nameOf(i));
    }

    void startOrStop(std::size_t i)
    {
        SimulatedInstance& instance = this->instances[i];
        if (!instance.isRunning) {
            instance = SimulatedInstance(nameOf(i));
            instance.isRunning = true;
            return;
        }
        // An instance that ends its sessions removes its registration.
        instance.isRunning = false;
        this->change(i, false);
    }

    // A killed instance stays registered for the rest of its lease.
    void kill(std::size_t i) { this->instances[i].isRunning = false; }
    void cutOffOrConnect(std::size_t i) { this->instances[i].isCutOff = !this->instances[i].isCutOff; }

    // Lets 100 ms pass. Each instance that reads the store in this step has its present contents.
    void advance(const std::function<bool()>& readsStore, const std::function<std::size_t()>& demand)
    {
        this->now += step;
        for (std::size_t i = 0; i < instanceCount; ++i)
            this->registerInstance(i);
        for (std::size_t i = 0; i < instanceCount; ++i)
            this->runInstance(i, readsStore(), demand());
    }

    // True if no second, both ends included, has more statements than the bound.
    bool keepsBound() const
    {
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->sent.size(); ++last) {
            while (this->sent[last] - this->sent[first] > std::chrono::seconds(1))
                ++first;
            if (last - first + 1 > this->bound)
                return false;
        }
        return true;
    }

    std::vector<TimePoint> sent;

private:
    void change(std::size_t i, bool listed)
    {
        bool isListed = this->stored.instances.count(nameOf(i)) != 0;
        if (isListed == listed)
            return;
        ++this->stored.serial;
        if (listed)
            this->stored.instances[nameOf(i)] = { "10.0.0.1:1", "here", 0 };
        else
            this->stored.instances.erase(nameOf(i));
    }

    void registerInstance(std::size_t i)
    {
        SimulatedInstance& instance = this->instances[i];
        if (instance.isRunning && !instance.isCutOff)
            instance.renewedAt = this->now;
        this->change(i, this->stored.instances.count(nameOf(i)) || instance.renewedAt == this->now);
        if (this->now - instance.renewedAt > lease)
            this->change(i, false);
    }

    void runInstance(std::size_t i, bool readsStore, std::size_t demand)
    {
        SimulatedInstance& instance = this->instances[i];
        if (!instance.isRunning)
            return;
        if (readsStore && !instance.isCutOff) {
            instance.view = this->stored;
            instance.confirmedAt = this->now;
            if (instance.view.instances.count(nameOf(i)))
                instance.usableAsOf = this->now;
        }
        bool usable = this->now - instance.usableAsOf < maxViewAge;
        instance.limit.recordView(instance.view, usable, this->now);
        for (std::size_t k = 0; usable && k < demand && instance.limit.allows("m", this->now); ++k) {
            instance.limit.recordStatement("m", this->now);
            this->sent.push_back(this->now);
        }
    }

    TimePoint now = start;
    FleetView stored;
    std::size_t bound;
    std::vector<SimulatedInstance> instances;
};

} // namespace

TEST(WarmUpLimit, DividesTheBoundAmongTheInstancesRoundedDown)
{
    // 20 x 1.5 + 5 = 35.
    EXPECT_EQ(sendAllInstances(1, 20), 35u);
    EXPECT_EQ(sendAllInstances(5, 20), 35u);
    EXPECT_EQ(sendAllInstances(8, 20), 32u);
    // 1 x 1.5 + 5 = 6.5.
    EXPECT_EQ(sendAllInstances(1, 1), 6u);
}

// Guards against many instances that each send one, and against a bound that none may use any more.
TEST(WarmUpLimit, LetsAsManyInstancesSendAsThereAreStatements)
{
    EXPECT_EQ(sendAllInstances(126, 20), 35u);
    EXPECT_EQ(sendAllInstances(36, 20), 35u);
    EXPECT_EQ(sendAllInstances(1600, 4), 11u);
}

// Guards against a counter for each whole second, which lets twice the bound through around the change of the second.
TEST(WarmUpLimit, CountsAnySpanOfOneSecond)
{
    FleetView view = makeView(1, 1, 20, 60000);
    WarmUpLimit limit(termsFor("i0"));
    useView(limit, view, start, start + settling);
    TimePoint now = start + settling + Milliseconds(950);
    limit.recordView(view, true, now);
    EXPECT_EQ(sendAll(limit, now), 35u);
    EXPECT_EQ(sendAll(limit, now + Milliseconds(100)), 0u);
    EXPECT_EQ(sendAll(limit, now + Milliseconds(999)), 0u);
    limit.recordView(view, true, now + Milliseconds(1000));
    EXPECT_EQ(sendAll(limit, now + Milliseconds(1001)), 35u);
}

TEST(WarmUpLimit, EndsWithTheWarmUpTimeCountedFromItsFirstView)
{
    WarmUpLimit limit(termsFor("i0"));
    FleetView view = makeView(1, 1, 20, 9000);
    useView(limit, view, start, start + settling);
    EXPECT_EQ(sendAll(limit, start + settling), 35u);
    // Another view with the same entry doesn't start the time again.
    view.serial = 2;
    useView(limit, view, start + settling, start + Milliseconds(8900));
    EXPECT_EQ(sendAll(limit, start + Milliseconds(8999)), 35u);
    EXPECT_FALSE(limit.allows("m", start + Milliseconds(8999)));
    EXPECT_TRUE(limit.allows("m", start + Milliseconds(9000)));
    // A member that was started again under its id warms up again.
    TargetRecord next = coldMember(9000);
    next.startedAt = 77;
    view.targets.set(next);
    view.serial = 3;
    useView(limit, view, start + Milliseconds(9000), start + Milliseconds(9500));
    EXPECT_EQ(sendAll(limit, start + Milliseconds(10100)), 35u);
}

TEST(WarmUpLimit, BoundsNeitherWarmMembersNorServicesWithoutARate)
{
    for (const FleetView& view : { makeView(1, 3, 0, 60000), makeView(1, 3, 20, 0) }) {
        WarmUpLimit limit(termsFor("i0"));
        EXPECT_TRUE(limit.allows("m", start));
        limit.recordView(view, true, start);
        EXPECT_EQ(sendAll(limit, start), 10000u);
    }
}

// Guards against an instance that sends while others don't count it.
TEST(WarmUpLimit, SendsNothingBeforeTheOthersCountThisInstance)
{
    FleetView view = makeView(1, 2, 20, 60000);
    WarmUpLimit limit(termsFor("i0"));
    useView(limit, view, start, start + maxViewAge);
    EXPECT_EQ(sendAll(limit, start + maxViewAge), 0u);
    useView(limit, view, start + maxViewAge, start + settling);
    EXPECT_EQ(sendAll(limit, start + settling), 17u);
    // An instance that isn't listed sends nothing.
    WarmUpLimit other(termsFor("other"));
    useView(other, view, start, start + settling);
    EXPECT_EQ(sendAll(other, start + settling), 0u);
}

// Guards against an instance that stood still, or whose view could not be used, and uses its old count of instances.
TEST(WarmUpLimit, StartsAnewAfterATimeWithoutAUsableView)
{
    FleetView view = makeView(1, 2, 20, 60000);
    WarmUpLimit stalled(termsFor("i0"));
    useView(stalled, view, start, start + settling);
    TimePoint later = start + settling + Milliseconds(3000);
    EXPECT_EQ(sendAll(stalled, later), 0u);
    useView(stalled, view, later, later + Milliseconds(200));
    EXPECT_EQ(sendAll(stalled, later + Milliseconds(200)), 0u);
    WarmUpLimit cutOff(termsFor("i0"));
    useView(cutOff, view, start, start + settling);
    cutOff.recordView(view, false, start + settling + step);
    useView(cutOff, view, start + settling + step * 2, start + settling + step * 4);
    EXPECT_EQ(sendAll(cutOff, start + settling + step * 4), 0u);
}

TEST(WarmUpLimit, LeavesTheShareOfALostInstanceUnusedForAWhile)
{
    WarmUpLimit limit(termsFor("i0"));
    useView(limit, makeView(1, 2, 20, 60000), start, start + settling);
    TimePoint lost = start + settling + step;
    FleetView after = makeView(2, 1, 20, 60000);
    useView(limit, after, lost, lost + maxViewAge);
    EXPECT_EQ(sendAll(limit, lost + maxViewAge), 17u);
    useView(limit, after, lost + maxViewAge, lost + settling);
    EXPECT_EQ(sendAll(limit, lost + settling), 35u);
}

// For any delays of views, starts, losses, cuts and departures of instances, no second has more statements at the
// member than the bound.
RC_GTEST_PROP(WarmUpLimit, AllInstancesTogetherKeepTheBoundInAnySecond, ())
{
    // Bounds above and below the number of instances.
    WarmUpFleet fleet(*rc::gen::element<std::uint32_t>(1, 2, 4, 20));
    int slowness = *rc::gen::inRange(1, 45);
    unsigned seed = *rc::gen::arbitrary<unsigned>();
    std::minstd_rand random(seed % 1000003 + 1);
    auto below = [&random](unsigned limit) { return static_cast<std::size_t>(random() % limit); };
    for (std::size_t i = 0; i < WarmUpFleet::instanceCount; i += 1 + below(3))
        fleet.startOrStop(i);
    for (int k = 0; k < 600; ++k) {
        std::size_t i = below(WarmUpFleet::instanceCount);
        switch (below(60)) {
        case 0:
        case 1:
            fleet.startOrStop(i);
            break;
        case 2:
            fleet.kill(i);
            break;
        case 3:
            fleet.cutOffOrConnect(i);
            break;
        default:
            break;
        }
        fleet.advance([&] { return below(static_cast<unsigned>(slowness)) == 0; }, [&] { return below(8); });
    }
    RC_ASSERT(fleet.keepsBound());
}

// Guards against a simulation in which nothing is sent, so that it would show nothing.
TEST(WarmUpLimit, AQuietFleetUsesItsBound)
{
    WarmUpFleet fleet(20);
    for (std::size_t i = 0; i < WarmUpFleet::instanceCount; ++i)
        fleet.startOrStop(i);
    for (int k = 0; k < 200; ++k)
        fleet.advance([] { return true; }, [] { return 8; });
    EXPECT_TRUE(fleet.keepsBound());
    TimePoint last = fleet.sent.back();
    auto lately = std::count_if(
        fleet.sent.begin(), fleet.sent.end(), [last](TimePoint at) { return last - at < std::chrono::seconds(5); });
    // Four statements of each instance in each 1.1 s, since a step is 100 ms.
    EXPECT_GE(lately, 4 * 8 * 4);
}

// A primary over its share is refused, and a read goes to another member.
TEST(WarmUpLimit, IsKeptWhereStatementsArePlaced)
{
    boost::asio::io_context context;
    auto freshness = std::make_shared<ViewFreshness>(Milliseconds(60000));
    freshness->confirm(start);
    TargetGroups groups(context.get_executor(), nullptr, freshness, "i", "here");
    groups.limitWarmUp(termsFor("i0"));
    FleetView view = makeView(1, 1, 1, 60000);
    TargetRecord warm = coldMember(0);
    warm.id = "w";
    warm.primary = false;
    view.targets.set(warm);
    for (TimePoint now = start; now <= start + settling; now += step)
        groups.refresh(view, now);
    TimePoint now = start + settling;
    groups.recordPrimaryPosition("orders", { 1, 5 }, now - Milliseconds(500));
    ReadRequirements requirements;
    requirements.service = "orders";
    requirements.consistency = ReadConsistency::BoundedAge;
    requirements.maxAge = Milliseconds(1000);
    std::size_t placedOnPrimary = 0;
    // 1 x 1.5 + 5 = 6.5.
    for (; placedOnPrimary < 100 && groups.placeWrite(view, "orders", now); ++placedOnPrimary) { }
    EXPECT_EQ(placedOnPrimary, 6u);
    for (int i = 0; i < 100; ++i) {
        auto placement = groups.placeRead(view, requirements, {}, now);
        ASSERT_TRUE(placement);
        EXPECT_EQ(placement->pool->target().id, "w");
    }
    EXPECT_FALSE(groups.placeRead(view, requirements, { "w" }, now));
    requirements.consistency = ReadConsistency::Primary;
    EXPECT_FALSE(groups.placeRead(view, requirements, {}, now));
    groups.refresh(view, now + Milliseconds(1000));
    EXPECT_TRUE(groups.placeRead(view, requirements, {}, now + Milliseconds(1001)));
}
