// Tests of the decisions about a member's capacity: how many statements the fleet has under way there, and how its
// gateways divide them. Virtual time, no network.

#include "libsession/concurrency_limit.h"
#include "libsession/demand_exchange.h"
#include "libsession/demand_share.h"
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>

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
