// Reads that are forwarded to gateways: the choice of a gateway, the messages, and generated schedules of lost, late
// and repeated ones.

#include "catkinlock/peer_sender.h"
#include "libsession/gateway_choice.h"
#include "libsession/gateway_clocks.h"
#include "libsession/read_forwarder.h"
#include "libsession/spawn.h"
#include "peer.pb.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace asio = boost::asio;

namespace {

const TimePoint start { std::chrono::hours(1) };

FleetView fleetOf(int count)
{
    FleetView view;
    for (int number = 0; number < count; ++number) {
        std::string name = "instance-" + std::to_string(number);
        view.instances[name] = { name + ":1", "dc" };
    }
    return view;
}

std::string chooseFor(GatewayChoice& gateways, const FleetView& view, const std::string& workspace,
    const std::string& service, TimePoint now)
{
    return gateways.choose(view, workspace, service, GatewayUse::Repeatable, now);
}

ForwardedCall preparedRead()
{
    ForwardedCall read;
    read.route.pool = "orders";
    read.route.consistency = ReadConsistency::ReadYourWrites;
    read.route.maxAgeMs = 2500;
    read.route.priority = 1;
    read.route.latencyObjectiveMs = 400;
    read.workspace = "tours";
    read.keyDigest = "7d1a";
    read.lastCommit = { 3, 1207 };
    read.values = { { "zone", "asia" } };
    read.statement.id = "5c0e";
    read.statement.text = "EXECUTE s1 1a4";
    read.statement.kind = StatementKind::Execute;
    read.statement.name = "s1";
    read.statement.argument = "1a4";
    read.preparedText = "READ q2c";
    return read;
}

// Hands each message to a function of the test.
class RecordingSender : public PeerSender {
public:
    bool send(const std::string& address, wire::Envelope& envelope) override
    {
        this->sent(address, envelope);
        return true;
    }
    std::function<void(const std::string&, const wire::Envelope&)> sent
        = [](const std::string&, const wire::Envelope&) {};
};

struct ForwarderFixture {
    ForwarderFixture()
    {
        this->view->replace(fleetOf(30));
        this->forwarder = std::make_shared<ReadForwarder>(ReadForwarder::Parts { this->context.get_executor(),
            this->context.get_executor(), this->link, this->view, this->gateways, this->clocks, "none of them" });
    }

    void forward(ForwardedCall read, std::function<void(tl::expected<ForwardedReply, ForwardFailure>)> ended)
    {
        spawn(this->context, [this, read, ended]() -> asio::awaitable<void> {
            auto reply = co_await this->forwarder->forward(read, Clock::now() + Milliseconds(5000), this->late);
            ended(std::move(reply));
        });
    }
    // Delivers the reply of a gateway at this address.
    void replyTo(const std::string& gateway, const wire::ReadRequest& request)
    {
        wire::ReadReply reply;
        reply.set_id(request.id());
        reply.set_request(request.request());
        reply.set_signature("signed " + request.request());
        this->forwarder->receiveReply(gateway, reply);
    }

    asio::io_context context;
    std::shared_ptr<RecordingSender> link = std::make_shared<RecordingSender>();
    std::shared_ptr<RcuSnapshot<FleetView>> view = std::make_shared<RcuSnapshot<FleetView>>();
    std::shared_ptr<GatewayChoice> gateways = std::make_shared<GatewayChoice>();
    std::shared_ptr<GatewayClocks> clocks = std::make_shared<GatewayClocks>();
    std::shared_ptr<ReadForwarder> forwarder;
    std::shared_ptr<LateReply> late = std::make_shared<LateReply>();
};

} // namespace

TEST(GatewayChoice, GatewaysAreUsedIfInstancesHaveFewConnections)
{
    EXPECT_TRUE(needsGateways(216, 295));
    EXPECT_TRUE(needsGateways(36, 18));
    EXPECT_FALSE(needsGateways(216, 22));
    EXPECT_FALSE(needsGateways(46, 13));
}

TEST(GatewayChoice, AllInstancesChooseTheSameGatewayAndAllGatewaysServeAPart)
{
    FleetView view = fleetOf(300);
    GatewayChoice first;
    GatewayChoice second;
    for (int service = 0; service < 30; ++service) {
        std::string name = std::to_string(service);
        std::map<std::string, int> workspaces;
        for (int workspace = 0; workspace < 100; ++workspace) {
            std::string gateway = chooseFor(first, view, std::to_string(workspace), name, start);
            EXPECT_EQ(gateway, chooseFor(second, view, std::to_string(workspace), name, start));
            ++workspaces[gateway];
        }
        // Without a known limit of connections a service has two gateways.
        ASSERT_EQ(workspaces.size(), 2u);
        for (const auto& [gateway, count] : workspaces)
            EXPECT_LE(count, 75) << gateway;
    }
}

TEST(GatewayChoice, ServicesAreSpreadOverTheInstances)
{
    FleetView view = fleetOf(300);
    std::map<std::string, int> services;
    for (int service = 0; service < 300; ++service) {
        for (const std::string& gateway : gatewaysOf(view, std::to_string(service)))
            ++services[gateway];
    }
    EXPECT_GE(services.size(), 200u);
    for (const auto& [name, count] : services)
        EXPECT_LE(count, 12) << name;
}

TEST(GatewayChoice, AServiceWithMoreConnectionsHasMoreGateways)
{
    FleetView view = fleetOf(300);
    Tables tables;
    tables.pools["few"].databases.push_back({ "few", {}, 30 });
    tables.pools["some"].databases.push_back({ "some", {}, 70 });
    tables.pools["many"].databases.push_back({ "many", {}, 500 });
    view.tables = std::make_shared<const Tables>(tables);
    EXPECT_EQ(gatewaysOf(view, "few").size(), 2u);
    EXPECT_EQ(gatewaysOf(view, "some").size(), 3u);
    EXPECT_EQ(gatewaysOf(view, "many").size(), 4u);
    EXPECT_EQ(gatewaysOf(fleetOf(1), "many").size(), 1u);
    EXPECT_TRUE(gatewaysOf(FleetView(), "many").empty());
}

TEST(GatewayChoice, AnInstanceWithMoreCoresIsAGatewayMoreOften)
{
    FleetView view = fleetOf(10);
    for (auto& [name, instance] : view.instances)
        instance.cores = 0.1;
    view.instances["instance-3"].cores = 0.4;
    std::map<std::string, int> services;
    for (int service = 0; service < 1000; ++service) {
        for (const std::string& gateway : gatewaysOf(view, std::to_string(service)))
            ++services[gateway];
    }
    int others = 0;
    for (const auto& [name, count] : services)
        others += name == "instance-3" ? 0 : count;
    EXPECT_GT(services["instance-3"], 2 * others / 9);
}

TEST(GatewayChoice, AnotherGatewayTakesOverFromOneThatDidNotReply)
{
    FleetView view = fleetOf(30);
    GatewayChoice gateways;
    std::string gateway = chooseFor(gateways, view, "tours", "orders", start);
    gateways.recordLost(gateway, start);
    std::string other = chooseFor(gateways, view, "tours", "orders", start + Milliseconds(2999));
    EXPECT_NE(other, "");
    EXPECT_NE(other, gateway);
    EXPECT_EQ(chooseFor(gateways, view, "tours", "orders", start + Milliseconds(3000)), gateway);
    gateways.recordLost(other, start + Milliseconds(2999));
    EXPECT_EQ(chooseFor(gateways, view, "tours", "orders", start + Milliseconds(2999)), "");
}

// A write whose reply is missing has an unknown outcome, so a gateway that may be gone gets none.
TEST(GatewayChoice, AGatewayThatDidNotReplyGetsWritesOnlyOnceItHasReplied)
{
    FleetView view = fleetOf(30);
    GatewayChoice gateways;
    std::string gateway = chooseFor(gateways, view, "tours", "orders", start);
    gateways.recordLost(gateway, start);
    TimePoint later = start + std::chrono::hours(1);
    EXPECT_NE(gateways.choose(view, "tours", "orders", GatewayUse::Once, later), gateway);
    EXPECT_EQ(chooseFor(gateways, view, "tours", "orders", later), gateway);
    gateways.recordReply(gateway);
    EXPECT_EQ(gateways.choose(view, "tours", "orders", GatewayUse::Once, later), gateway);
}

TEST(GatewayChoice, PausesAfterSeveralLosses)
{
    FleetView view = fleetOf(30);
    GatewayChoice gateways;
    std::string gateway = chooseFor(gateways, view, "schools", "orders", start);
    ASSERT_NE(gateway, "");
    for (const char* lost : { "instance-x", "instance-y", "instance-z" })
        gateways.recordLost(lost, start);
    EXPECT_EQ(chooseFor(gateways, view, "schools", "orders", start + Milliseconds(999)), "");
    EXPECT_EQ(chooseFor(gateways, view, "schools", "orders", start + Milliseconds(1000)), gateway);
}

TEST(GatewayChoice, ANewViewReplacesAGatewayThatIsGone)
{
    FleetView view = fleetOf(30);
    GatewayChoice gateways;
    std::string gateway = chooseFor(gateways, view, "tours", "orders", start);
    ASSERT_EQ(chooseFor(gateways, view, "tours", "orders", start), gateway);
    view.instances.erase(gateway);
    ++view.serial;
    std::string next = chooseFor(gateways, view, "tours", "orders", start);
    EXPECT_TRUE(view.instances.count(next)) << next;
    GatewayChoice fresh;
    EXPECT_EQ(next, chooseFor(fresh, view, "tours", "orders", start));
}

TEST(GatewayChoice, AvoidsAGatewayThatRefusedForAShortTime)
{
    FleetView view = fleetOf(30);
    GatewayChoice gateways;
    std::string gateway = chooseFor(gateways, view, "tours", "orders", start);
    gateways.recordUnavailable(gateway, start);
    EXPECT_NE(chooseFor(gateways, view, "tours", "orders", start + Milliseconds(299)), gateway);
    EXPECT_EQ(chooseFor(gateways, view, "tours", "orders", start + Milliseconds(300)), gateway);
    gateways.recordUnavailable(gateway, start);
    EXPECT_EQ(gateways.choose(view, "tours", "orders", GatewayUse::Once, start + Milliseconds(300)), gateway);
}

// Guards against memory that grows with each instance that was ever a gateway, and against one that is avoided for the
// silence of an earlier instance of its name.
TEST(GatewayChoice, AGatewayThatTheViewDroppedIsForgotten)
{
    FleetView view = fleetOf(30);
    GatewayChoice gateways;
    std::string gateway = chooseFor(gateways, view, "tours", "orders", start);
    gateways.recordLost(gateway, start);
    FleetView without = view;
    without.instances.erase(gateway);
    without.serial = 1;
    EXPECT_NE(gateways.choose(without, "tours", "orders", GatewayUse::Once, start), gateway);
    view.serial = 2;
    EXPECT_EQ(gateways.choose(view, "tours", "orders", GatewayUse::Once, start), gateway);
}

// Guards against memory that grows with each address that instances ever had.
TEST(GatewayClocks, AddressesOfThePastAreDropped)
{
    GatewayClocks clocks;
    for (int i = 0; i < 10000; ++i)
        clocks.record("g:" + std::to_string(i), { 7, Milliseconds(toClockMs(start)) }, start, start);
    int known = 0;
    for (int i = 0; i < 10000; ++i)
        known += clocks.at("g:" + std::to_string(i), start).run != 0;
    EXPECT_LE(known, 4096);
    EXPECT_EQ(clocks.at("g:9999", start).run, 7u);
}

TEST(GatewayClocks, TheEstimateIsNeverBelowTheGatewaysClock)
{
    GatewayClocks clocks;
    EXPECT_EQ(clocks.at("g:1", start).run, 0u);
    // The gateway's clock is 5 s ahead; its reply was 3 ms under way in each direction.
    clocks.record("g:1", { 7, Milliseconds(toClockMs(start) + 5003) }, start, start + Milliseconds(6));
    GatewayTime estimate = clocks.at("g:1", start + Milliseconds(100));
    EXPECT_EQ(estimate, (GatewayTime { 7, Milliseconds(toClockMs(start) + 5103) }));
    // A faster round trip gives a better estimate, a slower one does not replace it.
    clocks.record(
        "g:1", { 7, Milliseconds(toClockMs(start) + 5201) }, start + Milliseconds(200), start + Milliseconds(202));
    clocks.record(
        "g:1", { 7, Milliseconds(toClockMs(start) + 5390) }, start + Milliseconds(300), start + Milliseconds(480));
    EXPECT_EQ(clocks.at("g:1", start).clock.count(), toClockMs(start) + 5001);
}

// Guards against a late request that is run, twice even if it is repeated after the gateway has forgotten it: the link
// may be slow just when the clock is read.
TEST(GatewayClocks, ASlowExchangeGivesNoSample)
{
    GatewayClocks clocks;
    TimePoint repliedAt = start + GatewayClocks::maxExchange + Milliseconds(1);
    clocks.record("g:1", { 7, Milliseconds(toClockMs(repliedAt)) }, start, repliedAt);
    EXPECT_EQ(clocks.at("g:1", repliedAt).run, 0u);
}

TEST(GatewayClocks, ALateRequestAndOneForAnEarlierRunAreRefused)
{
    GatewayTime now { 7, Milliseconds(10000) };
    EXPECT_TRUE(isCurrent({ 7, Milliseconds(10010) }, now));
    EXPECT_TRUE(isCurrent({ 7, Milliseconds(9500) }, now));
    EXPECT_FALSE(isCurrent({ 7, Milliseconds(9499) }, now));
    EXPECT_FALSE(isCurrent({ 6, Milliseconds(10000) }, now));
    EXPECT_FALSE(isCurrent({}, now));
    GatewayClocks clocks;
    clocks.record("g:1", { 7, Milliseconds(toClockMs(start)) }, start, start);
    clocks.record("g:1", { 8, Milliseconds(3) }, start + Milliseconds(5), start + Milliseconds(6));
    EXPECT_EQ(clocks.at("g:1", start + Milliseconds(5)), (GatewayTime { 8, Milliseconds(3) }));
}

TEST(ForwardedCall, ReachesTheGatewayAsItWas)
{
    wire::ReadRequest request;
    writeCall(preparedRead(), Milliseconds(700), request);
    EXPECT_EQ(request.time_left_ms(), 700u);
    auto received = readCall(request);
    ASSERT_TRUE(received);
    EXPECT_EQ(*received, preparedRead());
}

TEST(ForwardedCall, ARequestThatNoInstanceSendsIsRejected)
{
    wire::ReadRequest request;
    EXPECT_FALSE(readCall(request));
    writeCall(preparedRead(), Milliseconds(-5), request);
    EXPECT_EQ(request.time_left_ms(), 0u);
    request.set_consistency(7);
    EXPECT_FALSE(readCall(request));
    writeCall(preparedRead(), Milliseconds(700), request);
    request.clear_prepared_text();
    EXPECT_FALSE(readCall(request));
}

TEST(ForwardedCall, AReplyThatNoGatewaySendsCountsAsNone)
{
    wire::ReadReply reply;
    // A success has a signature.
    EXPECT_FALSE(readReply(reply));
    reply.set_error(1 + static_cast<std::uint32_t>(StatementError::Busy));
    ASSERT_TRUE(readReply(reply));
    EXPECT_EQ(readReply(reply)->reply.error, StatementError::Busy);
    reply.set_error(99);
    EXPECT_FALSE(readReply(reply));
    reply.set_error(0);
    reply.set_signature("signed");
    EXPECT_TRUE(readReply(reply));
    reply.set_unavailable(true);
    EXPECT_FALSE(readReply(reply));
}

// Guards against reads that wait again and again for a gateway that is gone.
TEST(ReadForwarder, AReadWithoutAReplyIsRunHereAndTheNextOneGoesToAnotherGateway)
{
    ForwarderFixture fixture;
    std::vector<std::string> asked;
    fixture.link->sent = [&](const std::string& address, const wire::Envelope&) { asked.push_back(address); };
    std::vector<ForwardFailure> failures;
    auto record = [&](tl::expected<ForwardedReply, ForwardFailure> reply) { failures.push_back(reply.error()); };
    // The service has two gateways.
    for (int i = 0; i < 3; ++i) {
        fixture.forward(preparedRead(), record);
        fixture.context.run();
        fixture.context.restart();
    }
    EXPECT_EQ(failures,
        (std::vector<ForwardFailure> { ForwardFailure::ReplyLost, ForwardFailure::ReplyLost, ForwardFailure::NotRun }));
    ASSERT_EQ(asked.size(), 2u);
    EXPECT_NE(asked[0], asked[1]);
}

// Guards against a reply that is ready and is not delivered, while the read fails here.
TEST(ReadForwarder, AReplyAfterItsTimeIsKeptForTheRead)
{
    ForwarderFixture fixture;
    wire::ReadRequest sent;
    std::string gateway;
    fixture.link->sent = [&](const std::string& address, const wire::Envelope& envelope) {
        gateway = address;
        sent = envelope.read_request();
    };
    bool lost = false;
    fixture.forward(
        preparedRead(), [&](const auto& reply) { lost = !reply && reply.error() == ForwardFailure::ReplyLost; });
    fixture.context.run();
    ASSERT_TRUE(lost);
    fixture.replyTo(gateway, sent);
    fixture.context.restart();
    fixture.context.run();
    ASSERT_TRUE(fixture.late->reply);
    EXPECT_EQ(fixture.late->reply->reply.signature, "signed 5c0e");
}

// Guards against MIXED: an instance that was restarted at its address gets the reply to a read of its earlier process,
// which a gateway that stood still sends late.
TEST(ReadForwarder, AReplyToAnEarlierProcessIsNotTheReplyToAnotherRead)
{
    ForwarderFixture earlier;
    wire::ReadRequest firstRequest;
    std::string gateway;
    earlier.link->sent = [&](const std::string& address, const wire::Envelope& envelope) {
        gateway = address;
        firstRequest = envelope.read_request();
    };
    earlier.forward(preparedRead(), [](const auto&) {});
    earlier.context.run();
    ForwarderFixture restarted;
    ForwardedCall second = preparedRead();
    second.statement.id = "77a1";
    restarted.link->sent = [&](const std::string&, const wire::Envelope& envelope) {
        restarted.replyTo(gateway, firstRequest);
        // Also with the number that the present process has given its own read.
        firstRequest.set_id(envelope.read_request().id());
        restarted.replyTo(gateway, firstRequest);
    };
    std::string signature;
    restarted.forward(second, [&](const auto& reply) { signature = reply ? reply->reply.signature : ""; });
    restarted.context.run();
    EXPECT_EQ(signature, "");
}

TEST(ReadForwarder, AReplyOfAnInstanceThatWasNotAskedIsIgnored)
{
    ForwarderFixture fixture;
    fixture.link->sent = [&](const std::string& gateway, const wire::Envelope& envelope) {
        fixture.replyTo("not " + gateway, envelope.read_request());
    };
    bool replied = false;
    fixture.forward(preparedRead(), [&](const auto& reply) { replied = reply.has_value(); });
    fixture.context.run();
    EXPECT_FALSE(replied);
}

// Guards against a reply that completes the read of another caller.
RC_GTEST_PROP(ReadForwarderSchedules, AReadGetsItsOwnReplyOrNone, ())
{
    ForwarderFixture fixture;
    std::mt19937 random(*rc::gen::inRange(1U, 1'000'000U));
    int lossPercent = *rc::gen::inRange(0, 60);
    auto chance = [&random](int percent) { return std::uniform_int_distribution<int>(1, 100)(random) <= percent; };
    std::vector<std::pair<std::string, wire::ReadRequest>> underWay;
    fixture.link->sent = [&](const std::string& gateway, const wire::Envelope& envelope) {
        const wire::ReadRequest& request = envelope.read_request();
        for (int copies = chance(20) ? 2 : 1; copies > 0; --copies) {
            if (!chance(lossPercent))
                underWay.emplace_back(gateway, request);
        }
        std::shuffle(underWay.begin(), underWay.end(), random);
        while (!underWay.empty() && chance(70)) {
            fixture.replyTo(underWay.back().first, underWay.back().second);
            underWay.pop_back();
        }
    };
    constexpr int reads = 20;
    int ended = 0;
    bool mixed = false;
    for (int number = 0; number < reads; ++number) {
        ForwardedCall read = preparedRead();
        read.workspace = std::to_string(number);
        read.statement.id = std::to_string(number);
        read.route.latencyObjectiveMs = 0;
        fixture.forward(read, [&, id = read.statement.id](tl::expected<ForwardedReply, ForwardFailure> reply) {
            ++ended;
            mixed = mixed || (reply && reply->reply.signature != "signed " + id);
        });
    }
    fixture.context.run();
    RC_ASSERT(ended == reads);
    RC_ASSERT(!mixed);
}
