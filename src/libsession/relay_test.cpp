// Tests of the distribution of metadata store changes to instances that do not poll the store themselves.

#include "catkinlock/peer_link.h"
#include "libsession/change_log.h"
#include "libsession/position_exchange.h"
#include "libsession/relay_choice.h"
#include "libsession/slot_directory.h"
#include "libsession/system_time.h"
#include "libsession/view_freshness.h"
#include "libsession/view_relay.h"
#include "peer.pb.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace catkinlock;

namespace {

constexpr const char* secret = "a-secret-of-the-test";

FleetView fleetOf(std::size_t instances, std::size_t dataCentres)
{
    FleetView view;
    for (std::size_t i = 0; i < instances; ++i) {
        std::string name = "entry-" + std::to_string(i);
        view.instances[name] = { name + ":1", "dc-" + std::to_string(i % dataCentres) };
    }
    return view;
}

std::size_t countPollingInstances(const FleetView& view)
{
    std::size_t polling = 0;
    for (const auto& [name, instance] : view.instances)
        polling += planRelays(view, name).pollsStore;
    return polling;
}

KeyValue change(std::int64_t revision) { return { "key-" + std::to_string(revision % 5), "value", revision, false }; }

// An instance with its own peer link and relay.
struct Peer {
    explicit Peer(boost::asio::io_context& context)
        : link(std::make_shared<PeerLink>(context, secret))
        , relay(std::make_shared<ViewRelay>(context,
              ViewRelay::Parts { this->link, std::make_shared<SystemTime>(context),
                  deriveViewBudget(Milliseconds(3000), Milliseconds(5000)).value() }))
    {
        this->address = this->link->bind("127.0.0.1:0");
        this->link->start([this](const wire::Envelope& envelope) {
            if (envelope.has_changes_request())
                this->relay->receiveRequest(envelope.sender(), envelope.changes_request());
            if (envelope.has_changes_reply())
                this->relay->receiveReply(envelope.changes_reply());
        });
    }
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<ViewRelay> relay;
    std::string address;
};

std::optional<RelayedChanges> requestOnce(
    boost::asio::io_context& context, Peer& follower, const std::string& address, std::int64_t after, Milliseconds wait)
{
    std::optional<RelayedChanges> reply;
    standin::runToEnd(context, [&]() -> boost::asio::awaitable<void> {
        reply = co_await follower.relay->requestChanges(address, after, wait);
    });
    return reply;
}

} // namespace

// After applying the reported changes a follower has the contents of the store, unless the log reports that it does not
// reach back far enough and the store has to be read.
RC_GTEST_PROP(ChangeLog, ReturnsEveryChangeAfterARevisionOrNothing, ())
{
    auto start = *rc::gen::inRange<std::int64_t>(1, 50);
    auto sizes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    ChangeLog log;
    log.restart(start);
    std::int64_t revision = start;
    for (int size : sizes) {
        std::vector<KeyValue> batch;
        batch.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i)
            batch.push_back(change(++revision));
        log.append(batch, revision);
    }
    auto after = *rc::gen::inRange<std::int64_t>(0, revision + 2);
    auto changes = log.since(after);
    if (!changes)
        RC_ASSERT(after < start || revision - after > 2000);
    else {
        std::map<std::string, std::int64_t> expected;
        for (std::int64_t later = after + 1; later <= revision; ++later)
            expected[change(later).key] = later;
        std::map<std::string, std::int64_t> found;
        std::int64_t last = 0;
        for (const KeyValue& item : *changes) {
            RC_ASSERT(item.revision > last);
            last = item.revision;
            found[item.key] = item.revision;
        }
        RC_ASSERT(found == expected);
        RC_ASSERT(found.size() == changes->size());
    }
}

TEST(ChangeLog, ReturnsNothingForRevisionsBeforeItsStart)
{
    ChangeLog log;
    log.restart(10);
    log.append({ change(11) }, 12);
    EXPECT_FALSE(log.since(9));
    EXPECT_EQ(log.since(10)->size(), 1u);
    EXPECT_EQ(log.since(12)->size(), 0u);
    EXPECT_EQ(log.revision(), 12);
}

TEST(RelayChoice, AFewOfEachDataCentrePollTheStore)
{
    EXPECT_EQ(countPollingInstances(fleetOf(13, 3)), 3u);
    EXPECT_EQ(countPollingInstances(fleetOf(144, 4)), 8u);
    EXPECT_EQ(countPollingInstances(fleetOf(1, 1)), 1u);
}

TEST(RelayChoice, FollowersPreferTheirDataCentreAndSpread)
{
    FleetView view = fleetOf(144, 4);
    std::map<std::string, int> followers;
    for (const auto& [name, instance] : view.instances) {
        RelayPlan plan = planRelays(view, name);
        if (plan.pollsStore)
            continue;
        const auto& relays = plan.relays;
        EXPECT_EQ(view.instances.at(relays.front()).dataCentre, instance.dataCentre);
        EXPECT_EQ(relays.size(), 8u);
        ++followers[relays.front()];
    }
    EXPECT_EQ(followers.size(), 8u);
    for (const auto& [relay, count] : followers)
        EXPECT_LT(count, 30);
}

TEST(SlotDirectory, SlotsOfAnExpiredInstanceAreFree)
{
    FleetView view = fleetOf(2, 1);
    view.serial = 1;
    std::map<std::string, KeyValue> values;
    values["/catkinlock/slot/00003"]
        = { "/catkinlock/slot/00003", R"({"instance": "entry-1", "peer": "entry-1:1"})", 1, false };
    Membership membership({ "entry-0", "entry-0:1", "dc-0", 1, 1, InstanceState::Live, {} });
    TimePoint now = Clock::now();
    for (const InstanceRecord& record : instancesInStore(values, view))
        membership.apply(record, now);
    ASSERT_NE(membership.holderOf(3), nullptr);
    EXPECT_EQ(slotsListedFor(values, "entry-1"), std::vector<std::uint32_t> { 3 });
    view.instances.erase("entry-1");
    view.serial = 2;
    values.clear();
    auto current = instancesInStore(values, view);
    for (const InstanceRecord& expired : recordsOfExpired(membership.peers(), current, view.serial))
        membership.apply(expired, now);
    EXPECT_EQ(membership.holderOf(3), nullptr);
}

// The key of another writer must not make a slot look taken that it doesn't name.
TEST(SlotDirectory, AKeyThatNamesNoSlotIsIgnored)
{
    std::map<std::string, KeyValue> values;
    for (const char* slot : { "", "x", "-1", "3x", "00003/x", "4294967296", "4294967299", "99999999999999999999" }) {
        std::string key = std::string("/catkinlock/slot/") + slot;
        values[key] = { key, R"({"instance": "entry-1", "peer": "entry-1:1"})", 1, false };
    }
    EXPECT_TRUE(slotsListedFor(values, "entry-1").empty());
    for (const char* text : { "", "?", "5", R"({"instance": 5, "peer": "entry-1:1"})", R"({"instance": "entry-1"})" })
        values["/catkinlock/slot/00003"] = { "/catkinlock/slot/00003", text, 1, false };
    EXPECT_TRUE(slotsListedFor(values, "entry-1").empty());
}

// Guards against a position that appears newer than it is: a replica would then serve a read that misses an
// acknowledged commit. It could come about when a reply is delayed on its way.
TEST(PositionExchange, APositionNeverLooksNewerThanItIs)
{
    boost::asio::io_context context;
    auto requester = std::make_shared<PeerLink>(context, secret);
    auto responder = std::make_shared<PeerLink>(context, secret);
    requester->bind("127.0.0.1:0");
    std::string address = responder->bind("127.0.0.1:0");
    std::optional<PositionWindow::Sample> received;
    std::optional<LagObservation> lag;
    PositionExchange requesting(requester,
        { [&](const std::string& service, const PositionWindow::Sample& sample) {
             EXPECT_EQ(service, "orders");
             received = sample;
         },
            [&](const std::string& member, const LagObservation& observation) {
                EXPECT_EQ(member, "m");
                lag = observation;
                context.stop();
            } });
    PositionExchange responding(responder, {});
    requester->start([&](const wire::Envelope& envelope) { requesting.receiveReply(envelope.positions_reply()); });
    // Delays the reply by 50 ms.
    boost::asio::steady_timer delay(context);
    responder->start([&](const wire::Envelope& envelope) {
        delay.expires_after(Milliseconds(50));
        delay.async_wait([&, envelope](boost::system::error_code) {
            responding.receiveQuery(envelope.sender(), envelope.positions_query());
        });
    });
    TimePoint measuredAt = Clock::now() - Milliseconds(300);
    responding.update({ { "orders", { { 3, 17 }, measuredAt } } }, { { "m", { Milliseconds(900), measuredAt } } });
    requesting.queryIfStale({ "orders" }, { address }, Clock::now());
    context.run_for(std::chrono::seconds(5));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->position, (Position { 3, 17 }));
    EXPECT_LE(received->requestedAt, measuredAt);
    EXPECT_GT(received->requestedAt, measuredAt - Milliseconds(1000));
    ASSERT_TRUE(lag);
    EXPECT_EQ(lag->lag, Milliseconds(900));
    EXPECT_LE(lag->observedAt, measuredAt);
}

TEST(ViewRelay, AConfirmationCarriesItsAge)
{
    boost::asio::io_context context;
    Peer relay(context);
    Peer follower(context);
    TimePoint now = Clock::now();
    relay.relay->restart(10, now - Milliseconds(1000));
    relay.relay->append({ 11, { change(11) }, false }, now - Milliseconds(900));
    auto reply = requestOnce(context, follower, relay.address, 10, Milliseconds(0));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->changes.revision, 11);
    EXPECT_EQ(reply->changes.changes, std::vector<KeyValue> { change(11) });
    // The follower's confirmation must not be later than the relay's own.
    EXPECT_LE(reply->confirmedAt, now - Milliseconds(900));
}

TEST(ViewRelay, RefusesRequestsWhileItsViewIsTooOldOrItsLogTooShort)
{
    boost::asio::io_context context;
    Peer relay(context);
    Peer follower(context);
    relay.relay->restart(10, Clock::now() - Milliseconds(3300));
    EXPECT_FALSE(requestOnce(context, follower, relay.address, 10, Milliseconds(1000)));
    relay.relay->restart(10, Clock::now());
    // The relay's log starts at revision 10, so it can't report the changes after revision 9.
    EXPECT_FALSE(requestOnce(context, follower, relay.address, 9, Milliseconds(0)));
    EXPECT_TRUE(requestOnce(context, follower, relay.address, 10, Milliseconds(0)));
}

// An entry of another writer may contain any bytes.
TEST(ViewRelay, AnEntryOfAnyBytesReachesTheFollowersWithTheOthers)
{
    boost::asio::io_context context;
    Peer relay(context);
    Peer follower(context);
    relay.relay->restart(10, Clock::now());
    KeyValue odd { "odd", std::string("\xff\xfe\0", 3), 11, false };
    relay.relay->append({ 12, { odd, change(12) }, false }, Clock::now());
    auto reply = requestOnce(context, follower, relay.address, 10, Milliseconds(0));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->changes.changes, (std::vector<KeyValue> { odd, change(12) }));
}

TEST(ViewRelay, AnEntryLargerThanTheLogSendsTheFollowersToTheStore)
{
    boost::asio::io_context context;
    Peer relay(context);
    Peer follower(context);
    relay.relay->restart(10, Clock::now());
    KeyValue large { "odd", std::string(5 << 20, 'a'), 11, false };
    relay.relay->append({ 12, { large, change(12) }, false }, Clock::now());
    EXPECT_FALSE(requestOnce(context, follower, relay.address, 10, Milliseconds(0)));
    auto reply = requestOnce(context, follower, relay.address, 11, Milliseconds(0));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->changes.changes, std::vector<KeyValue> { change(12) });
}

TEST(ViewFreshness, AnInstanceThatReachesTheStoreUsesAViewNoLongerThanAConfigurationMayTake)
{
    ViewFreshness freshness(Milliseconds(4700), Milliseconds(3000));
    TimePoint now = Clock::now();
    freshness.confirm(now);
    EXPECT_TRUE(freshness.isFresh(now + Milliseconds(2999)));
    EXPECT_FALSE(freshness.isFresh(now + Milliseconds(3000)));
    // It is not in touch with the store.
    freshness.recordStoreFailure(now + Milliseconds(1));
    EXPECT_TRUE(freshness.isFresh(now + Milliseconds(4699)));
    EXPECT_FALSE(freshness.isFresh(now + Milliseconds(4700)));
    freshness.recordStoreReply();
    EXPECT_FALSE(freshness.isFresh(now + Milliseconds(3000)));
}

TEST(ViewFreshness, AFailedCallBeforeTheLastConfirmationDoesNotExtendTheUseOfAView)
{
    ViewFreshness freshness(Milliseconds(4700), Milliseconds(3000));
    TimePoint now = Clock::now();
    freshness.recordStoreFailure(now);
    // Through another instance; the store itself isn't called again.
    freshness.confirm(now + Milliseconds(100));
    EXPECT_TRUE(freshness.isFresh(now + Milliseconds(3000)));
    EXPECT_FALSE(freshness.isFresh(now + Milliseconds(3100)));
}

TEST(ViewFreshness, AnInstanceIsNotReadyOnceItIsAboutToRefuse)
{
    ViewFreshness freshness(Milliseconds(4700), Milliseconds(3000));
    TimePoint now = Clock::now();
    freshness.confirm(now);
    EXPECT_TRUE(freshness.hasRemaining(now + Milliseconds(2500), 0.15));
    EXPECT_FALSE(freshness.hasRemaining(now + Milliseconds(2600), 0.15));
}
