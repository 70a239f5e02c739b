// The copy of the metadata store while the store is restored from an older copy of itself. The store is a stand-in.

#include "catkinlock/peer_link.h"
#include "libsession/store_mirror.h"
#include "libsession/system_time.h"
#include "libsession/view_freshness.h"
#include "libsession/view_relay.h"
#include "peer.pb.h"
#include "platform/kv_store.h"
#include "standin/kv_service.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace catkinlock;
using namespace catkinlock::standin;

namespace {

namespace asio = boost::asio;

constexpr const char* secret = "a-secret-of-the-test";
const ViewBudget budget = deriveViewBudget(Milliseconds(3000), Milliseconds(5000)).value();
// Longest time that a test waits for a condition.
constexpr std::chrono::seconds patience { 20 };

// An instance's copy of the store, read from the store itself or through the relay at `follows`.
struct Instance {
    Instance(asio::io_context& context, const std::string& storeAddress, std::string follows = "")
        : time(std::make_shared<SystemTime>(context))
        , link(std::make_shared<PeerLink>(context, secret))
        , store(std::make_shared<platform::KvStore>(context, storeAddress))
        , freshness(std::make_shared<ViewFreshness>(Milliseconds(4700)))
        , relay(std::make_shared<ViewRelay>(context, ViewRelay::Parts { this->link, this->time, budget }))
    {
        this->plan.pollsStore = follows.empty();
        if (!follows.empty())
            this->plan.relays.push_back(follows);
        this->address = this->link->bind("127.0.0.1:0");
        this->link->start([this](const wire::Envelope& envelope) {
            if (envelope.has_changes_request())
                this->relay->receiveRequest(envelope.sender(), envelope.changes_request());
            if (envelope.has_changes_reply())
                this->relay->receiveReply(envelope.changes_reply());
        });
        this->mirror = std::make_shared<StoreMirror>(context,
            StoreMirror::Parts { this->store, this->relay, this->freshness, this->time, budget },
            StoreMirror::Hooks { [] {}, [] {}, [this] { return this->plan; } });
        this->mirror->start();
    }

    std::map<std::string, std::string> contents() const
    {
        std::map<std::string, std::string> values;
        for (const auto& [key, value] : this->mirror->values())
            values[key] = value.value;
        return values;
    }

    std::shared_ptr<TimeSource> time;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<platform::KvStore> store;
    std::shared_ptr<ViewFreshness> freshness;
    std::shared_ptr<ViewRelay> relay;
    std::shared_ptr<StoreMirror> mirror;
    RelayPlan plan;
    std::string address;
};

class StoreRestore : public testing::Test {
protected:
    StoreRestore()
        : service(std::make_shared<KvService>(this->context, [](const std::string&) {}))
        , storeAddress(this->service->start())
    {
        this->service->put("op/config", "1");
        this->service->put("servers/a", "old");
    }

    // Runs all instances until the condition holds. Returns false if it does not within `patience`.
    bool runUntil(std::function<bool()> condition)
    {
        TimePoint end = Clock::now() + patience;
        this->context.restart();
        while (!condition() && Clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(5));
        return condition();
    }
    bool awaitSameContents(const Instance& instance)
    {
        return this->runUntil([&] { return instance.contents() == this->service->contents(); });
    }

    asio::io_context context;
    std::shared_ptr<KvService> service;
    std::string storeAddress;
};

} // namespace

TEST_F(StoreRestore, ACopyThatIsAheadOfTheRestoredStoreIsReplaced)
{
    Instance instance(this->context, this->storeAddress);
    this->service->takeCopy();
    this->service->put("servers/a", "lost");
    this->service->put("servers/b", "lost");
    ASSERT_TRUE(this->awaitSameContents(instance));
    this->service->restoreCopy();
    EXPECT_TRUE(this->awaitSameContents(instance));
}

TEST_F(StoreRestore, ARestoreIsNoticedWhenTheRevisionsHaveGrownPastTheCopy)
{
    Instance instance(this->context, this->storeAddress);
    this->service->takeCopy();
    this->service->put("servers/a", "lost");
    this->service->put("servers/b", "lost");
    ASSERT_TRUE(this->awaitSameContents(instance));
    this->service->restoreCopy();
    for (int i = 0; i < 5; ++i)
        this->service->put("servers/c", std::to_string(i));
    EXPECT_TRUE(this->awaitSameContents(instance));
}

TEST_F(StoreRestore, AChangeAtARevisionThatWasGivenOutBeforeIsTaken)
{
    Instance instance(this->context, this->storeAddress);
    this->service->takeCopy();
    this->service->put("servers/a", "lost");
    ASSERT_TRUE(this->awaitSameContents(instance));
    this->service->restoreCopy();
    this->service->put("servers/a", "again");
    EXPECT_TRUE(this->awaitSameContents(instance));
    this->service->put("servers/a", "later");
    EXPECT_TRUE(this->awaitSameContents(instance));
}

TEST_F(StoreRestore, ASecondRestoreIsNoticedToo)
{
    Instance instance(this->context, this->storeAddress);
    this->service->takeCopy();
    for (int i = 0; i < 2; ++i) {
        this->service->put("servers/b", "lost " + std::to_string(i));
        this->service->erase("servers/a");
        ASSERT_TRUE(this->awaitSameContents(instance));
        this->service->restoreCopy();
        this->service->put("servers/c", "kept");
    }
    EXPECT_TRUE(this->awaitSameContents(instance));
}

TEST_F(StoreRestore, RevisionsAndLeaseIdsNeverComeBack)
{
    platform::KvStore store(this->context, this->storeAddress);
    std::set<std::int64_t> leases;
    std::int64_t last = 0;
    this->service->takeCopy();
    for (int i = 0; i < 3; ++i) {
        this->service->put("servers/b", "x");
        runToEnd(this->context, [&]() -> asio::awaitable<void> {
            auto range = co_await store.readPrefix("");
            EXPECT_GT(range->revision, last);
            last = range->revision;
            auto found = co_await store.read("servers/b");
            EXPECT_EQ((*found)->revision, last);
            leases.insert(*co_await store.grantLease(60));
        });
        this->service->restoreCopy();
    }
    EXPECT_EQ(leases.size(), 3u);
}

TEST_F(StoreRestore, ALeaseOfAnEarlierEraIsNeitherRenewedNorEnded)
{
    platform::KvStore first(this->context, this->storeAddress);
    platform::KvStore second(this->context, this->storeAddress);
    this->service->takeCopy();
    runToEnd(this->context, [&]() -> asio::awaitable<void> {
        auto old = co_await first.grantLease(60);
        this->service->restoreCopy();
        auto next = co_await second.grantLease(60);
        co_await second.swap("servers/c", 0, "held", *next);
        // The ids in the store are the same.
        EXPECT_EQ(this->service->leaseIds().size(), 1u);
        EXPECT_FALSE(*co_await first.revokeLease(*old));
        EXPECT_FALSE(*co_await first.keepLeaseAlive(*old));
        EXPECT_TRUE(this->service->contents().count("servers/c"));
        EXPECT_TRUE(*co_await second.keepLeaseAlive(*next));
    });
}

TEST_F(StoreRestore, ASwapOnARevisionOfAnEarlierEraDoesNotCountAsDone)
{
    platform::KvStore store(this->context, this->storeAddress);
    this->service->takeCopy();
    this->service->put("servers/b", "lost");
    runToEnd(this->context, [&]() -> asio::awaitable<void> {
        std::int64_t revision = (*co_await store.read("servers/b"))->revision;
        this->service->restoreCopy();
        this->service->put("servers/b", "another");
        // The key has the same revision in the store, but another value.
        auto swapped = co_await store.swap("servers/b", revision, "mine", 0);
        EXPECT_FALSE(swapped && swapped->swapped);
        // By now the client knows the era, so nothing is written.
        this->service->put("servers/b", "another");
        auto again = co_await store.swap("servers/b", revision, "mine", 0);
        EXPECT_FALSE(again && again->swapped);
        EXPECT_EQ(this->service->contents().at("servers/b"), "another");
    });
}

TEST_F(StoreRestore, AFollowerAndItsRelayConverge)
{
    Instance relay(this->context, this->storeAddress);
    Instance follower(this->context, this->storeAddress, relay.address);
    this->service->takeCopy();
    this->service->put("servers/a", "lost");
    this->service->erase("op/config");
    ASSERT_TRUE(this->awaitSameContents(relay));
    ASSERT_TRUE(this->awaitSameContents(follower));
    this->service->restoreCopy();
    for (int i = 0; i < 4; ++i)
        this->service->put("servers/c", std::to_string(i));
    EXPECT_TRUE(this->awaitSameContents(relay));
    EXPECT_TRUE(this->awaitSameContents(follower));
}

TEST_F(StoreRestore, AFollowerDoesNotTakeChangesOfAnEarlierEra)
{
    Instance follower(this->context, this->storeAddress);
    this->service->takeCopy();
    ASSERT_TRUE(this->awaitSameContents(follower));
    this->service->restoreCopy();
    this->service->put("servers/b", "of the second era");
    ASSERT_TRUE(this->awaitSameContents(follower));
    // A relay that still has the first era, with higher revisions.
    auto link = std::make_shared<PeerLink>(this->context, secret);
    auto behind = std::make_shared<ViewRelay>(
        this->context, ViewRelay::Parts { link, std::make_shared<SystemTime>(this->context), budget });
    std::string address = link->bind("127.0.0.1:0");
    unsigned requests = 0;
    link->start([&](const wire::Envelope& envelope) {
        requests += envelope.has_changes_request();
        if (envelope.has_changes_request())
            behind->receiveRequest(envelope.sender(), envelope.changes_request());
    });
    behind->restart(2, Clock::now());
    behind->append({ 1000, { { "servers/a", "of the first era", 1000, false } }, false }, Clock::now());
    follower.plan = { false, { address }, {} };
    ASSERT_TRUE(this->runUntil([&] { return requests > 0; }));
    this->service->put("servers/b", "newest");
    bool mixed = false;
    EXPECT_TRUE(this->runUntil([&] {
        mixed = mixed || follower.contents().at("servers/a") == "of the first era";
        return follower.contents() == this->service->contents();
    }));
    EXPECT_FALSE(mixed);
}
