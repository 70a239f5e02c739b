// Tests of an instance's pool of connections, against a stand-in member.

#include "libsession/member_speed.h"
#include "libsession/target_groups.h"
#include "libsession/target_link.h"
#include "libsession/target_pool.h"
#include "platform/line_codec.h"
#include "standin/line_member.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock;

namespace asio = boost::asio;

namespace {

// A stand-in member, and the means to create the connection pools of several instances to it.
struct PoolFixture {
    PoolFixture()
        : member(std::make_shared<standin::LineMember>(this->context, this->group, 0, "m"))
        , protocol(std::make_shared<platform::LineTargetProtocol>())
    {
        this->record.id = "m";
        this->record.service = "orders";
        this->record.address = this->member->start();
    }

    std::shared_ptr<TargetPool> pool(std::size_t share)
    {
        auto made = std::make_shared<TargetPool>(this->context.get_executor(), this->protocol, this->record);
        made->setShare(share);
        return made;
    }

    template <typename Work> void run(Work work) { standin::runToEnd(this->context, work); }

    asio::io_context context;
    std::shared_ptr<standin::LineGroup> group = std::make_shared<standin::LineGroup>();
    std::shared_ptr<standin::LineMember> member;
    std::shared_ptr<const TargetProtocol> protocol;
    TargetRecord record;
};

TimePoint farDeadline() { return Clock::now() + Milliseconds(10000); }

} // namespace

TEST(TargetPool, LendsAnIdleConnectionOfTheWorkspaceAgain)
{
    PoolFixture fixture;
    auto pool = fixture.pool(3);
    fixture.run([&]() -> asio::awaitable<void> {
        auto first = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(first);
        pool->release(*first);
        auto second = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_EQ(*first, *second);
        // A connection is used for one workspace only.
        auto other = co_await pool->borrow("museum", 1, farDeadline());
        EXPECT_NE(*second, *other);
        EXPECT_EQ(pool->handshakes(), 2u);
    });
}

// Guards against a statement that waits to its deadline with a connection in hand: on a busy thread the connection may
// be returned when the first part of the wait has expired already, so that a cancellation comes too late.
TEST(TargetPool, AConnectionThatIsReturnedAsAWaitExpiresIsUsedAtOnce)
{
    PoolFixture fixture;
    auto pool = fixture.pool(1);
    fixture.run([&]() -> asio::awaitable<void> {
        auto first = co_await pool->borrow("tours", 1, farDeadline());
        asio::steady_timer busy(fixture.context, Milliseconds(20));
        busy.async_wait([](auto) { std::this_thread::sleep_for(Milliseconds(80)); });
        asio::steady_timer returned(fixture.context, Milliseconds(30));
        returned.async_wait([&](auto) { pool->release(*first); });
        bool isLate = false;
        asio::steady_timer late(fixture.context, Milliseconds(4000));
        late.async_wait([&](boost::system::error_code error) { isLate = !error; });
        auto second = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(second);
        EXPECT_FALSE(isLate);
        late.cancel();
    });
}

// A member still counts the connections of instances that lost power, and refuses new ones until they time out. A
// waiting statement must be served once the member accepts connections again.
TEST(TargetPool, RetriesAMemberAtItsConnectionLimitWhileTheStatementWaits)
{
    PoolFixture fixture;
    fixture.member->setMaxConnections(0);
    auto pool = fixture.pool(3);
    fixture.run([&]() -> asio::awaitable<void> {
        asio::steady_timer timer(fixture.context);
        timer.expires_after(Milliseconds(100));
        timer.async_wait([&](boost::system::error_code) { fixture.member->setMaxConnections(1); });
        auto link = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(link);
        EXPECT_GT(pool->handshakes(), 1u);
    });
}

// An idle connection kept at a member that is at its connection limit would prevent other instances from connecting.
TEST(TargetPool, KeepsNoIdleConnectionToAMemberAtItsConnectionLimit)
{
    PoolFixture fixture;
    fixture.member->setMaxConnections(1);
    auto first = fixture.pool(3);
    auto second = fixture.pool(3);
    fixture.run([&]() -> asio::awaitable<void> {
        auto held = co_await first->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(held);
        // The member's refusal shows the first pool that the member is at its limit.
        auto refused = co_await first->borrow("museum", 1, Clock::now() + Milliseconds(60));
        EXPECT_FALSE(refused);
        first->release(*held);
        // An opening for the refused statement may still be under way.
        asio::steady_timer timer(fixture.context);
        while (first->inUse()) {
            timer.expires_after(Milliseconds(1));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        EXPECT_EQ(first->open(), 0u);
        auto link = co_await second->borrow("museum", 1, farDeadline());
        EXPECT_TRUE(link);
    });
}

TEST(TargetPool, KeepsNoIdleConnectionIfThereAreMoreInstancesThanConnections)
{
    PoolFixture fixture;
    auto pool = fixture.pool(0);
    fixture.run([&]() -> asio::awaitable<void> {
        auto link = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(link);
        pool->release(*link);
        pool->closeIdle(Clock::now() + Milliseconds(250));
        EXPECT_EQ(pool->open(), 0u);
    });
}

// A gateway that closed its workspaces' connections early would open one for each statement that comes after a pause.
TEST(TargetPool, AGatewayKeepsTheConnectionsOfItsShare)
{
    PoolFixture fixture;
    fixture.record.maxConcurrentStatements = 4;
    auto pool = fixture.pool(0);
    pool->setGatewayShare({ 2, "a", {} }, Clock::now());
    fixture.run([&]() -> asio::awaitable<void> {
        auto first = co_await pool->borrow("tours", 1, farDeadline());
        auto second = co_await pool->borrow("museum", 1, farDeadline());
        EXPECT_TRUE(first && second);
        pool->release(*first);
        pool->release(*second);
        pool->closeIdle(Clock::now() + Milliseconds(25000));
        EXPECT_EQ(pool->open(), 2u);
        auto again = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_EQ(*again, *first);
        pool->release(*again);
        // A third workspace gets the place of the connection that has been idle for longest.
        auto third = co_await pool->borrow("garden", 1, farDeadline());
        EXPECT_TRUE(third);
        EXPECT_EQ(pool->open(), 2u);
        EXPECT_FALSE((*second)->isOpen());
        pool->release(*third);
        pool->closeIdle(Clock::now() + Milliseconds(35000));
        EXPECT_EQ(pool->open(), 0u);
    });
}

// Two gateways that each used all places of a member would make statements queue there.
TEST(TargetPool, GatewaysDivideThePlacesAtAMember)
{
    PoolFixture fixture;
    fixture.record.maxConcurrentStatements = 4;
    auto pool = fixture.pool(0);
    TimePoint knownSince = Clock::now() - std::chrono::seconds(5);
    pool->setGatewayShare({ 8, "a", { "b" } }, knownSince);
    EXPECT_EQ(pool->places(Clock::now()), 4u);
    MemberDemand others = pool->demand(Clock::now());
    others.running = 4;
    others.waiting = 8;
    pool->recordDemand("b", 1, others, Clock::now());
    fixture.run([&]() -> asio::awaitable<void> {
        auto first = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(first);
        EXPECT_EQ(pool->demand(Clock::now()).running, 1u);
        auto refused = co_await pool->borrow("museum", 1, Clock::now() + Milliseconds(30));
        EXPECT_FALSE(refused);
        // The other gateway has no statements left.
        asio::steady_timer timer(fixture.context, Milliseconds(30));
        timer.async_wait([&](boost::system::error_code) {
            others.running = 0;
            others.waiting = 0;
            pool->recordDemand("b", 2, others, Clock::now());
            pool->serveWaiting();
        });
        auto second = co_await pool->borrow("museum", 1, farDeadline());
        EXPECT_TRUE(second);
        pool->release(*first);
        pool->release(*second);
    });
}

// A refusal at the end of the wait would cost the caller the time to try elsewhere.
TEST(TargetPool, AGatewayRefusesAtOnceWhatItCannotServeInTime)
{
    PoolFixture fixture;
    fixture.record.maxConcurrentStatements = 1;
    auto pool = fixture.pool(0);
    pool->setSpeed(std::make_shared<MemberSpeed>());
    pool->setGatewayShare({ 8, "a", {} }, Clock::now());
    pool->recordSpeed({}, std::chrono::seconds(2), false, Clock::now());
    fixture.run([&]() -> asio::awaitable<void> {
        auto first = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(first);
        asio::steady_timer limit(fixture.context, std::chrono::seconds(1));
        bool limitPassed = false;
        limit.async_wait([&](boost::system::error_code error) { limitPassed = !error; });
        auto refused = co_await pool->borrow("tours", 1, Clock::now() + Milliseconds(1500));
        EXPECT_FALSE(refused);
        EXPECT_EQ(refused.error().refusal, StatementError::Busy);
        EXPECT_FALSE(limitPassed);
        EXPECT_EQ(pool->refusedEarly(), 1u);
        limit.cancel();
        pool->release(*first);
    });
}

// Guards against a place that stays free because the first statement in the queue can't use it, and against a lower
// priority that is served first because it came first.
TEST(TargetPool, AGatewayServesItsQueueByPriority)
{
    PoolFixture fixture;
    fixture.record.maxConcurrentStatements = 1;
    auto pool = fixture.pool(0);
    pool->setGatewayShare({ 8, "a", {} }, Clock::now());
    std::vector<std::string> order;
    auto use = [&](std::string workspace, std::uint32_t priority) -> asio::awaitable<void> {
        auto link = co_await pool->borrow(workspace, priority, farDeadline());
        EXPECT_TRUE(link);
        order.push_back(workspace);
        pool->release(*link);
    };
    fixture.run([&]() -> asio::awaitable<void> {
        auto first = co_await pool->borrow("first", 1, farDeadline());
        EXPECT_TRUE(first);
        asio::co_spawn(fixture.context, use("low", 2), asio::detached);
        asio::co_spawn(fixture.context, use("high", 0), asio::detached);
        asio::steady_timer timer(fixture.context, Milliseconds(5));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        EXPECT_EQ(pool->waiting(), 2u);
        pool->release(*first);
        while (order.size() < 2) {
            timer.expires_after(Milliseconds(5));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        EXPECT_EQ(order, (std::vector<std::string> { "high", "low" }));
    });
}

// Reads that replicas can serve must leave a primary the places that its writers use.
TEST(TargetPool, AGatewayReservesThePlacesThatWritersUse)
{
    PoolFixture fixture;
    fixture.record.maxConcurrentStatements = 2;
    auto pool = fixture.pool(0);
    pool->setGatewayShare({ 8, "a", {} }, Clock::now());
    fixture.run([&]() -> asio::awaitable<void> {
        EXPECT_FALSE(pool->isReserved(Clock::now()));
        auto write = co_await pool->borrow("tours", 1, farDeadline());
        EXPECT_TRUE(write);
        EXPECT_FALSE(pool->isReserved(Clock::now() + std::chrono::seconds(3)));
        auto read = co_await pool->borrow("museum", 1, farDeadline(), true);
        EXPECT_TRUE(read);
        EXPECT_TRUE(pool->isReserved(Clock::now() + std::chrono::seconds(3)));
        pool->release(*read);
        pool->release(*write);
        EXPECT_FALSE(pool->isReserved(Clock::now() + std::chrono::seconds(3)));
    });
}

// A pool that didn't learn of a new term would go on counting the failures of the last one, and one that belonged to
// another term than the view would count for nothing.
TEST(TargetGroups, StartsThePrimarysHealthAnewWhenTheViewNamesItForANewTerm)
{
    PoolFixture fixture;
    fixture.record.primary = true;
    FleetView view;
    view.targets.set(fixture.record);
    Tables tables;
    tables.pools["orders"].databases.resize(1);
    view.tables = std::make_shared<const Tables>(tables);
    auto freshness = std::make_shared<ViewFreshness>(Milliseconds(2000));
    TargetGroups groups(fixture.context.get_executor(), fixture.protocol, freshness, "i", "here");
    auto show = [&](std::optional<GroupRecord> record) {
        ++view.serial;
        view.groups.clear();
        if (record)
            view.groups["orders"] = *record;
        groups.refresh(view, Clock::now());
        return groups.observations().at(0).health;
    };
    EXPECT_EQ(show(GroupRecord { GroupRecord::State::Serving, "m", 1 }).term, 1u);
    groups.pools().at("m")->recordFailure(Clock::now(), true, Clock::now());
    EXPECT_EQ(show(GroupRecord { GroupRecord::State::Serving, "m", 1 }).lostWrites, 1u);
    EXPECT_EQ(show(GroupRecord { GroupRecord::State::Replacing, "m", 1 }).lostWrites, 1u);
    EXPECT_EQ(show(GroupRecord { GroupRecord::State::Serving, "m", 2 }).lostWrites, 0u);
    EXPECT_EQ(groups.observations().at(0).health.term, 2u);
    EXPECT_EQ(show(std::nullopt).term, 0u);
}

// A replica's position may lack commits that the primary of that time had acknowledged before the request was sent, so
// a read that needs them would be placed on a member without them.
TEST(TargetGroups, TakesNoPositionForThePrimarysFromAReplyToARequestThatWasSentToAReplica)
{
    PoolFixture fixture;
    FleetView view;
    for (const char* id : { "m", "n" }) {
        fixture.record.id = id;
        view.targets.set(fixture.record);
    }
    TimePoint now = Clock::now();
    auto freshness = std::make_shared<ViewFreshness>(Milliseconds(2000));
    freshness->confirm(now);
    TargetGroups groups(fixture.context.get_executor(), fixture.protocol, freshness, "i", "here");
    view.serial = 1;
    view.groups["orders"] = { GroupRecord::State::Serving, "n", 1 };
    groups.refresh(view, now);
    SentRequest toReplica = groups.requestTo(view, groups.pools().at("m"), now);
    view.groups["orders"] = { GroupRecord::State::Serving, "m", 2 };
    SentRequest toPrimary = groups.requestTo(view, groups.pools().at("m"), now + Milliseconds(700));
    groups.recordReplyPosition(view, toReplica, { 1, 100 }, now + Milliseconds(800));
    EXPECT_TRUE(groups.latestPositions().empty());
    groups.recordReplyPosition(view, toPrimary, { 2, 110 }, now + Milliseconds(900));
    ASSERT_EQ(groups.latestPositions().count("orders"), 1u);
    EXPECT_EQ(groups.latestPositions().at("orders").position, (Position { 2, 110 }));
}

// Guards against reports that go to instances that are no gateways, and reports that change no share.
TEST(TargetGroups, ExchangesDemandWithTheOtherGatewaysOfAService)
{
    PoolFixture fixture;
    fixture.record.maxConcurrentStatements = 4;
    FleetView view;
    view.serial = 1;
    view.targets.set(fixture.record);
    view.instances["i"] = { "10.0.0.1:7000", "here", 1 };
    view.instances["j"] = { "10.0.0.2:7000", "here", 1 };
    Tables tables;
    tables.pools["orders"].databases.resize(1);
    tables.pools["orders"].databases[0].connections = 5;
    view.tables = std::make_shared<const Tables>(tables);
    auto freshness = std::make_shared<ViewFreshness>(Milliseconds(2000));
    TargetGroups groups(fixture.context.get_executor(), fixture.protocol, freshness, "i", "here");
    TimePoint now = Clock::now();
    groups.refresh(view, now);
    ASSERT_TRUE(groups.usesGateways("orders"));
    auto demands = groups.demands(now);
    ASSERT_EQ(demands.size(), 1u);
    EXPECT_EQ(demands[0].peers, std::vector<std::string> { "10.0.0.2:7000" });
    ASSERT_EQ(demands[0].members.size(), 1u);
    EXPECT_TRUE(demands[0].members[0].isIdle());
    DemandReport report { 1, demands[0].members };
    report.members[0].running = 3;
    groups.recordDemand("10.0.0.2:7000", report, now);
    EXPECT_EQ(groups.pools().at("m")->places(now), 1u);
    // A member that is left out has no demand.
    groups.recordDemand("10.0.0.2:7000", { 2, {} }, now);
    EXPECT_EQ(groups.pools().at("m")->places(now), 4u);
    // An instance that isn't a gateway any more has no share.
    view.serial = 2;
    tables.pools["orders"].databases[0].connections = 100;
    view.tables = std::make_shared<const Tables>(tables);
    groups.refresh(view, now);
    EXPECT_TRUE(groups.demands(now).empty());
    EXPECT_FALSE(groups.pools().at("m")->isGateway());
}
