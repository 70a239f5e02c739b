// Tests of the decisions about a member's capacity: how many statements the fleet has under way there, how its gateways
// divide them, and who gets the next place. Virtual time, no network.

#include "libsession/concurrency_limit.h"
#include "libsession/demand_exchange.h"
#include "libsession/demand_share.h"
#include "libsession/member_queue.h"
#include "libsession/primary_reserve.h"
#include "libsession/slowness_watch.h"
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };

Duration ms(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

MemberDemand demand(std::uint32_t running, std::uint32_t waiting, std::uint32_t stretchPercent = 100)
{
    return { 7, running, waiting, stretchPercent };
}

// Gateways with more statements than one member can run, whose reports arrive with the delay of the link.
struct LoadedMember {
    static constexpr std::size_t gatewayCount = 3;
    static constexpr std::size_t slots = 4;
    static constexpr double workMs = 16;
    static constexpr std::uint32_t waiting = 6;

    LoadedMember(double oneWayMs, unsigned seed)
        : oneWayMs(oneWayMs)
        , random(seed)
    {
        std::vector<std::string> names { "a", "b", "c" };
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            std::vector<std::string> others = names;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            this->gateways[i].name = names[i];
            this->gateways[i].share.setGateways(names[i], others, start);
        }
    }

    struct Gateway {
        std::string name;
        DemandShare share;
        ConcurrencyLimit limit;
        std::uint32_t inFlight = 0;

        MemberDemand demandAt(TimePoint now) const
        {
            return { 7, this->inFlight, waiting, static_cast<std::uint32_t>(this->limit.stretch(now) * 100) };
        }
    };
    struct Statement {
        std::size_t gateway;
        TimePoint sentAt;
        TimePoint reachedAt;
    };
    using Event = std::function<void()>;

    void after(Duration delay, Event event) { this->events.emplace(this->now + delay, std::move(event)); }

    void run(Duration length)
    {
        TimePoint end = this->now + length;
        this->report();
        this->sendAll();
        while (!this->events.empty() && this->events.begin()->first < end) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
        this->now = end;
    }

    void report()
    {
        for (const Gateway& from : this->gateways) {
            for (Gateway& to : this->gateways) {
                std::int64_t sentAt = std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch()).count();
                this->after(ms(this->oneWayMs), [this, &to, name = from.name, sentAt, sent = from.demandAt(this->now)] {
                    to.share.recordReport(name, sentAt, sent, this->now);
                });
            }
        }
        this->after(DemandExchange::interval, [this] { this->report(); });
    }

    void sendAll()
    {
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            Gateway& gateway = this->gateways[i];
            while (gateway.inFlight < gateway.share.places(slots, gateway.demandAt(this->now), this->now)) {
                ++gateway.inFlight;
                this->greatestInFlight = std::max(this->greatestInFlight, this->inFlight());
                Statement statement { i, this->now, {} };
                this->after(ms(this->oneWayMs), [this, statement] { this->reach(statement); });
            }
        }
    }

    std::size_t inFlight() const
    {
        std::size_t sum = 0;
        for (const Gateway& gateway : this->gateways)
            sum += gateway.inFlight;
        return sum;
    }

    void reach(Statement statement)
    {
        statement.reachedAt = this->now;
        this->queue.push_back(statement);
        this->startNext();
    }

    void startNext()
    {
        while (this->running < slots && !this->queue.empty()) {
            Statement statement = this->queue.front();
            this->queue.pop_front();
            ++this->running;
            this->waitedMs += std::chrono::duration<double, std::milli>(this->now - statement.reachedAt).count();
            std::lognormal_distribution<double> work(std::log(workMs) - 0.125, 0.5);
            double took = work(this->random);
            this->after(ms(took), [this, statement, took] {
                --this->running;
                ++this->done;
                this->busyMs += took;
                this->startNext();
                this->after(ms(this->oneWayMs), [this, statement] { this->finish(statement); });
            });
        }
    }

    void finish(const Statement& statement)
    {
        Gateway& gateway = this->gateways[statement.gateway];
        --gateway.inFlight;
        gateway.limit.recordReply(this->now - statement.sentAt, this->now);
        this->sendAll();
    }

    double oneWayMs;
    std::mt19937 random;
    std::array<Gateway, gatewayCount> gateways;
    std::multimap<TimePoint, Event> events;
    std::deque<Statement> queue;
    TimePoint now = start;
    std::size_t running = 0;
    std::size_t greatestInFlight = 0;
    double done = 0;
    double busyMs = 0;
    double waitedMs = 0;
};

} // namespace

// A member in another data centre stands idle while a statement or its reply is on the way, if no more statements than
// it runs are under way.
TEST(ConcurrencyLimit, KeepsAMemberInAnotherDataCentreBusy)
{
    for (unsigned seed : { 1, 2, 3 }) {
        LoadedMember member(3.5, seed);
        member.run(std::chrono::seconds(5));
        member.busyMs = member.done = member.waitedMs = 0;
        member.run(std::chrono::seconds(10));
        EXPECT_GE(member.busyMs / (10000 * LoadedMember::slots), 0.9);
        EXPECT_LE(member.waitedMs / member.done, LoadedMember::workMs / 2);
        EXPECT_LE(member.greatestInFlight, 2 * LoadedMember::slots + LoadedMember::gatewayCount);
    }
}

// Statements that queue at the member can no longer be refused in time.
TEST(ConcurrencyLimit, DoesNotQueueStatementsAtANearMember)
{
    for (unsigned seed : { 1, 2, 3 }) {
        LoadedMember member(0.5, seed);
        member.run(std::chrono::seconds(5));
        member.busyMs = member.done = member.waitedMs = 0;
        member.run(std::chrono::seconds(10));
        EXPECT_GE(member.busyMs / (10000 * LoadedMember::slots), 0.9);
        EXPECT_LE(member.waitedMs / member.done, LoadedMember::workMs / 2);
    }
}

TEST(ConcurrencyLimit, IsNotRaisedForAMemberThatIsSlow)
{
    ConcurrencyLimit limit;
    TimePoint now = start;
    for (int i = 0; i < 200; ++i) {
        now += Milliseconds(10);
        limit.recordReply(Milliseconds(i % 2 ? 10 : 20), now);
    }
    double before = limit.stretch(now);
    for (int i = 0; i < 200; ++i) {
        now += Milliseconds(10);
        limit.recordReply(Milliseconds(i % 2 ? 30 : 60), now);
    }
    EXPECT_LT(limit.stretch(now), before);
}

TEST(ConcurrencyLimit, ReturnsToThePlacesOfTheMemberAfterARefusal)
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 40; ++i)
        limit.recordReply(Milliseconds(10), start + Milliseconds(i));
    EXPECT_GT(limit.stretch(start + Milliseconds(100)), 1);
    limit.recordBusy(start + Milliseconds(100));
    EXPECT_EQ(limit.stretch(start + Milliseconds(200)), 1);
}

// Guards against gateways that together send a member more than its limit, or that leave places unused.
RC_GTEST_PROP(DemandShare, TheSharesOfGatewaysThatKnowEachOtherAddUpToTheLimit, ())
{
    std::size_t slots = *rc::gen::inRange<std::size_t>(1, 13);
    auto count = *rc::gen::inRange<std::size_t>(1, 5);
    std::vector<std::string> names { "a", "b", "c", "d" };
    names.resize(count);
    std::vector<MemberDemand> demands;
    for (std::size_t i = 0; i < count; ++i)
        demands.push_back(demand(*rc::gen::inRange(0u, 6u), *rc::gen::inRange(1u, 20u), *rc::gen::inRange(100u, 201u)));
    std::size_t sum = 0;
    std::size_t atLeastOne = 0;
    double limit = 0;
    for (std::size_t i = 0; i < count; ++i) {
        DemandShare share;
        std::vector<std::string> others = names;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        share.setGateways(names[i], others, start);
        for (std::size_t j = 0; j < count; ++j)
            share.recordReport(names[j], 1, demands[j], start);
        std::size_t places = share.places(slots, demands[i], start);
        limit = share.limit(slots, demands[i], start);
        sum += places;
        atLeastOne += places == 1;
    }
    RC_ASSERT(limit >= static_cast<double>(slots) - 1e-9);
    RC_ASSERT(limit <= 2 * static_cast<double>(slots) + 1e-9);
    auto whole = static_cast<std::size_t>(std::round(limit));
    RC_ASSERT(sum >= whole);
    RC_ASSERT(sum <= whole + atLeastOne);
}

TEST(DemandShare, AGatewayWithoutOthersTakesAll)
{
    DemandShare share;
    share.setGateways("a", { "b", "c" }, start);
    // The others may have statements already.
    EXPECT_EQ(share.places(6, demand(0, 0), start), 2u);
    TimePoint now = start + std::chrono::seconds(1);
    EXPECT_EQ(share.places(6, demand(0, 0), now), 6u);
    share.recordReport("b", 1, demand(6, 6), now);
    EXPECT_EQ(share.places(6, demand(2, 10), now), 3u);
    share.recordReport("b", 2, demand(0, 0), now);
    EXPECT_EQ(share.places(6, demand(2, 10), now + std::chrono::seconds(9)), 6u);
}

// A gateway that was cut off goes on sending statements to the member. Places have to remain for it.
TEST(DemandShare, ASilentGatewayKeepsAnEqualShareUntilItLeaves)
{
    DemandShare share;
    share.setGateways("a", { "b", "c" }, start);
    TimePoint now = start + std::chrono::seconds(1);
    share.recordReport("b", 1, demand(5, 15), now);
    EXPECT_EQ(share.places(6, demand(2, 3), now + Milliseconds(400)), 1u);
    EXPECT_EQ(share.places(6, demand(2, 3), now + Milliseconds(600)), 4u);
    share.setGateways("a", { "c" }, now + Milliseconds(700));
    EXPECT_EQ(share.places(6, demand(2, 3), now + Milliseconds(700)), 6u);
}

TEST(DemandShare, IgnoresReportsOfOthersAndThoseThatArriveLate)
{
    DemandShare share;
    share.setGateways("a", { "b" }, start);
    TimePoint now = start + std::chrono::seconds(1);
    share.recordReport("x", 5, demand(6, 6), now);
    EXPECT_EQ(share.places(6, demand(1, 1), now), 6u);
    share.recordReport("b", 5, demand(0, 0), now);
    share.recordReport("b", 4, demand(6, 6), now);
    EXPECT_EQ(share.places(6, demand(1, 1), now), 6u);
    // The other machine was started again, and its clock with it.
    share.recordReport("b", 1, demand(1, 1), now + Milliseconds(900));
    EXPECT_EQ(share.places(6, demand(1, 1), now + Milliseconds(900)), 3u);
}

TEST(DemandExchange, ReportsDemandAndItsEndAndNothingWhileIdle)
{
    DemandExchange exchange;
    ServiceDemand service { { "b", "c" }, { demand(0, 0) } };
    EXPECT_TRUE(exchange.due({ service }, 0).empty());
    service.members = { demand(1, 0), { 8, 0, 0, 100 } };
    auto reports = exchange.due({ service }, 100);
    ASSERT_EQ(reports.size(), 2u);
    EXPECT_EQ(reports["b"].members, std::vector<MemberDemand> { demand(1, 0) });
    service.members = { demand(0, 0) };
    int empty = 0;
    for (int i = 0; i < 20; ++i)
        empty += exchange.due({ service }, 200 + i).count("c");
    EXPECT_GE(empty, 2);
    EXPECT_LE(empty, 5);
    EXPECT_TRUE(exchange.due({ service }, 300).empty());
}

TEST(DemandExchange, AReportOfTwoServicesGoesToAGatewayOfBothOnce)
{
    DemandExchange exchange;
    ServiceDemand first { { "b" }, { { 1, 1, 0, 100 } } };
    ServiceDemand second { { "b", "c" }, { { 2, 0, 3, 100 } } };
    auto reports = exchange.due({ first, second }, 100);
    EXPECT_EQ(reports["b"].members.size(), 2u);
    EXPECT_EQ(reports["c"].members.size(), 1u);
}

namespace {

MemberQueue::Item queued(const std::string& workspace, std::uint32_t priority, int since, int until)
{
    auto item = std::make_shared<QueuedStatement>();
    *item = { workspace, priority, start + Milliseconds(since), start + Milliseconds(until), {} };
    return item;
}

bool always(const QueuedStatement&) { return true; }

} // namespace

TEST(MemberQueue, ServesByPriorityThenByTheEndOfTheWait)
{
    MemberQueue queue;
    auto late = queued("a", 1, 0, 300);
    auto soon = queued("b", 1, 2, 200);
    auto urgent = queued("c", 0, 5, 400);
    for (const auto& item : { late, soon, urgent })
        queue.add(item);
    for (const auto& expected : { urgent, soon, late }) {
        auto next = queue.next(4, {}, always);
        EXPECT_EQ(next, expected);
        queue.take(next, start);
    }
    EXPECT_TRUE(queue.empty());
}

// A low priority would never be served while higher ones use all places.
TEST(MemberQueue, GivesOneOfEightPlacesToTheLongestWaitingOfTheLowerPriorities)
{
    MemberQueue queue;
    auto first = queued("low", 2, 0, 900);
    auto second = queued("low", 3, 1, 800);
    queue.add(second);
    queue.add(first);
    std::vector<int> lowAt;
    for (int i = 1; i <= 16; ++i) {
        while (queue.size() < 6)
            queue.add(queued("high" + std::to_string(i), 0, 10 + i, 100 + i));
        auto next = queue.next(4, {}, always);
        if (next->priority)
            lowAt.push_back(i);
        if (lowAt.size() == 1 && next->priority) {
            EXPECT_EQ(next, first);
        }
        queue.take(next, start);
    }
    EXPECT_EQ(lowAt, (std::vector<int> { 8, 16 }));
}

TEST(MemberQueue, BoundsAWorkspaceWhileOthersWait)
{
    MemberQueue queue;
    auto greedy = queued("greedy", 0, 0, 100);
    auto other = queued("other", 2, 5, 900);
    queue.add(greedy);
    EXPECT_EQ(queue.next(4, { { "greedy", 3 } }, always), greedy);
    queue.add(other);
    EXPECT_EQ(queue.next(4, { { "greedy", 1 } }, always), greedy);
    EXPECT_EQ(queue.next(4, { { "greedy", 2 } }, always), other);
    EXPECT_EQ(queue.next(1, {}, always), greedy);
    EXPECT_EQ(queue.next(1, { { "greedy", 1 } }, always), other);
}

// A statement whose workspace has no connection must not hold up the others.
TEST(MemberQueue, PassesOverWhatCannotBeServed)
{
    MemberQueue queue;
    auto blocked = queued("a", 0, 0, 100);
    auto other = queued("b", 1, 5, 900);
    queue.add(blocked);
    queue.add(other);
    EXPECT_EQ(queue.next(4, {}, [](const QueuedStatement& item) { return item.workspace == "b"; }), other);
    EXPECT_EQ(queue.next(4, {}, [](const QueuedStatement&) { return false; }), nullptr);
}

TEST(MemberQueue, KnowsWhatItCannotServeInTime)
{
    MemberQueue queue;
    queue.add(queued("a", 0, 0, 100));
    queue.add(queued("a", 1, 0, 300));
    queue.add(queued("a", 1, 0, 100));
    EXPECT_EQ(queue.countBefore(1, start + Milliseconds(200)), 2u);
    EXPECT_EQ(queue.countBefore(0, start + Milliseconds(50)), 0u);
    // Two places and 30 ms for each statement: one place every 15 ms.
    EXPECT_EQ(MemberQueue::expectedWait(2, 2, Milliseconds(30)), Milliseconds(45));
    QueuedStatement statement;
    statement.expectedWait = Milliseconds(45);
    EXPECT_TRUE(queue.isServedInTime(statement, Milliseconds(80), start + Milliseconds(60)));
    EXPECT_FALSE(queue.isServedInTime(statement, Milliseconds(40), start + Milliseconds(60)));
    // Statements of this priority wait twice as long as expected.
    for (int i = 0; i < 60; ++i) {
        auto item = queued("a", 0, 0, 100);
        item->expectedWait = Milliseconds(30);
        queue.add(item);
        queue.take(item, start + Milliseconds(60));
    }
    EXPECT_FALSE(queue.isServedInTime(statement, Milliseconds(80), start + Milliseconds(60)));
    EXPECT_TRUE(queue.isServedInTime(statement, Milliseconds(130), start + Milliseconds(60)));
    // Nothing was queued for some time, so that nothing is known of present waits.
    EXPECT_TRUE(queue.isServedInTime(statement, Milliseconds(80), start + std::chrono::seconds(2)));
}

// Guards against reads that fill a primary whose writers need it, and against a primary that stays empty.
TEST(PrimaryReserve, LeavesReadsThePlacesThatWritersDoNotNeed)
{
    PrimaryReserve reserve;
    EXPECT_TRUE(reserve.admitsRead(3, 4, start));
    EXPECT_FALSE(reserve.admitsRead(4, 4, start));
    // Writers use two of four places for two thirds of the time, and three otherwise.
    TimePoint now = start;
    for (int i = 0; i < 100; ++i) {
        reserve.record(i % 3 ? 2 : 3, now);
        now += Milliseconds(50);
    }
    EXPECT_TRUE(reserve.admitsRead(1, 4, now));
    EXPECT_FALSE(reserve.admitsRead(2, 4, now));
    reserve.record(0, now);
    EXPECT_TRUE(reserve.admitsRead(2, 4, now + std::chrono::seconds(3)));
}

namespace {

// One gateway's queue for one member, with twice as many statements as the member can run.
struct Overload {
    struct Class {
        std::uint32_t priority;
        double share;
        double workMs;
        int waitMs;
        double arrived = 0;
        double served = 0;
    };
    static constexpr std::size_t places = 4;

    explicit Overload(unsigned seed)
        : random(seed)
    {
    }

    void run(double load, Duration length)
    {
        double meanMs = 0;
        for (const Class& each : this->classes)
            meanMs += each.share * each.workMs;
        std::exponential_distribution<double> gapMs(load * places / meanMs);
        TimePoint arrival = start;
        while (arrival < start + length) {
            arrival += ms(gapMs(this->random));
            this->advance(arrival);
            this->arrive();
        }
        this->length = length;
    }

    void arrive()
    {
        std::discrete_distribution<std::size_t> which { this->classes[0].share, this->classes[1].share,
            this->classes[2].share };
        Class& drawn = this->classes[which(this->random)];
        ++drawn.arrived;
        TimePoint until = this->now + Milliseconds(drawn.waitMs);
        auto item = std::make_shared<QueuedStatement>();
        *item = { "w" + std::to_string(this->random() % 80), drawn.priority, this->now, until, {} };
        std::size_t before = this->queue.countBefore(drawn.priority, until);
        if (this->ends.size() >= places) {
            item->expectedWait = MemberQueue::expectedWait(before, places, this->meanHeld.meanResponse());
            if (!this->queue.isServedInTime(*item, until - this->now, this->now)) {
                this->refusedAfterMs.push_back(0);
                return;
            }
        }
        this->queue.add(item);
        this->queued.insert(item);
        this->serve();
    }

    void advance(TimePoint until)
    {
        for (;;) {
            TimePoint waitEnds = TimePoint::max();
            MemberQueue::Item first;
            for (const auto& item : this->queued) {
                if (item->rank < waitEnds) {
                    waitEnds = item->rank;
                    first = item;
                }
            }
            TimePoint workEnds = this->ends.empty() ? TimePoint::max() : this->ends.begin()->first;
            this->now = std::min({ until, waitEnds, workEnds });
            if (this->now == until)
                return;
            if (this->now == waitEnds) {
                double waited = std::chrono::duration<double, std::milli>(this->now - first->since).count();
                this->refusedAfterMs.push_back(waited);
                this->queue.expire(first, this->now);
                this->queued.erase(first);
                continue;
            }
            this->end();
        }
    }

    void end()
    {
        auto [startedAt, workspace] = this->ends.begin()->second;
        this->ends.erase(this->ends.begin());
        if (!--this->held[workspace])
            this->held.erase(workspace);
        this->meanHeld.recordReply(this->now - startedAt, this->now);
        this->serve();
    }

    void serve()
    {
        while (this->ends.size() < places) {
            auto item = this->queue.next(places, this->held, always);
            if (!item)
                break;
            this->queue.take(item, this->now);
            this->queued.erase(item);
            ++this->held[item->workspace];
            Class& served = this->classes[item->priority];
            ++served.served;
            std::lognormal_distribution<double> work(std::log(served.workMs) - 0.125, 0.5);
            double took = work(this->random);
            this->busyMs += took;
            this->ends.emplace(this->now + ms(took), std::pair(this->now, item->workspace));
        }
    }

    double servedShare(std::size_t priority) const
    {
        return this->classes[priority].served / this->classes[priority].arrived;
    }

    std::array<Class, 3> classes { { { 0, 0.13, 11, 50 }, { 1, 0.63, 33, 100 }, { 2, 0.24, 55, 375 } } };
    std::mt19937 random;
    MemberQueue queue;
    std::set<MemberQueue::Item> queued;
    MemberQueue::Held held;
    ConcurrencyLimit meanHeld;
    std::multimap<TimePoint, std::pair<TimePoint, std::string>> ends;
    std::vector<double> refusedAfterMs;
    TimePoint now = start;
    Duration length { 0 };
    double busyMs = 0;
};

} // namespace

// Guards against a queue that refuses late, that leaves the member idle, or that serves the urgent statements worst.
TEST(MemberQueue, UnderOverloadKeepsTheMemberBusyAndRefusesAtOnce)
{
    for (unsigned seed : { 1, 2, 3 }) {
        Overload overload(seed);
        overload.run(2, std::chrono::seconds(60));
        EXPECT_GE(overload.busyMs / (60000 * Overload::places), 0.9);
        EXPECT_GE(overload.servedShare(0), 0.9);
        EXPECT_GE(overload.servedShare(0), overload.servedShare(1));
        EXPECT_GE(overload.servedShare(2), 0.05);
        auto& refused = overload.refusedAfterMs;
        std::nth_element(
            refused.begin(), refused.begin() + static_cast<std::ptrdiff_t>(refused.size() / 2), refused.end());
        EXPECT_LT(refused[refused.size() / 2], 20);
    }
}

// A log line for each short deviation would hide the members that are slow.
TEST(SlownessWatch, ReportsLastingChangesOnce)
{
    SlownessWatch watch;
    TimePoint now = start;
    auto play = [&](double slowness, int times) {
        std::vector<bool> changes;
        for (int i = 0; i < times; ++i) {
            now += Milliseconds(200);
            if (auto change = watch.record("m", slowness, now))
                changes.push_back(*change);
        }
        return changes;
    };
    EXPECT_TRUE(play(1.2, 20).empty());
    EXPECT_TRUE(play(3, 4).empty());
    EXPECT_TRUE(play(1.2, 1).empty());
    EXPECT_EQ(play(3, 30), (std::vector<bool> { true }));
    EXPECT_TRUE(play(1.6, 30).empty());
    EXPECT_EQ(play(1.2, 30), (std::vector<bool> { false }));
}
