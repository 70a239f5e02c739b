// Data centres are evacuated, and members warm up, while real instances serve callers and replace primaries.

#include "promotions/promotion_fleet.h"
#include <cstdio>
#include <optional>

using namespace catkinlock;
using namespace catkinlock::standin;

namespace {

using std::chrono::minutes;

// Repeats one statement through one instance until `ended`.
void repeatStatement(PromotionFleet& fleet, std::size_t instance, const std::string& database, const std::string& text,
    const std::atomic<bool>& ended)
{
    while (!ended) {
        LineCaller caller(fleet.fronts->callerAddress(instance), database, "key-1");
        bool open = caller.openResponse.starts_with("READY");
        while (open && !ended) {
            open = !caller.run(text).empty();
            std::this_thread::sleep_for(milliseconds(20));
        }
        std::this_thread::sleep_for(waitInterval);
    }
}

// Sends reads that replicas may serve through one instance until `ended`.
void runReader(PromotionFleet& fleet, std::size_t instance, const std::atomic<bool>& ended)
{
    repeatStatement(fleet, instance, "bounded_staleness-db", "READ item", ended);
}

// The first instance whose output contains the text; std::nullopt if none has it in time.
std::optional<std::size_t> awaitInstanceThatLogs(PromotionFleet& fleet, const std::string& text)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t i = 0; i < fleet.fronts->size(); ++i) {
            if (fleet.fronts->process(i).output().find(text) != std::string::npos)
                return i;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return std::nullopt;
}

// When the members before the last one have received work for the last time.
std::chrono::steady_clock::time_point lastWorkInFirstDataCentre(PromotionFleet& fleet)
{
    std::chrono::steady_clock::time_point last;
    fleet.runOnStandInThread([&] {
        const auto& members = fleet.group.members();
        for (std::size_t i = 0; i + 1 < members.size(); ++i)
            last = std::max(last, members[i]->workReceivedAt());
    });
    return last;
}

} // namespace

// Guards against work that still reaches an evacuated data centre, and against a commit that is lost when its primary
// is handed over to a member elsewhere while the instance that does so is killed.
TEST(Evacuation, AnEvacuatedPrimaryIsHandedOverAlthoughTheLeaderIsKilled)
{
    constexpr std::chrono::seconds evacuationTime(5);
    PromotionFleet fleet(3, [](ReplicatedGroup& group) { group.members()[2]->setDataCentre("b"); });
    std::atomic<bool> ended = false;
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < 3; ++i) {
        clients.emplace_back([&fleet, &ended, i] { runClient(fleet, i, ended, i); });
        clients.emplace_back([&fleet, &ended, i] { runReader(fleet, i, ended); });
    }
    std::this_thread::sleep_for(milliseconds(1500));
    fleet.runOnStandInThread([&] { fleet.store->put("op/evacuate/a", "{}"); });
    auto requestedAt = std::chrono::steady_clock::now();
    auto leader = awaitInstanceThatLogs(fleet, "members_fenced");
    EXPECT_TRUE(leader) << fleet.history();
    std::size_t survivor = leader == 0u ? 1 : 0;
    fleet.fronts->process(leader.value_or(2)).kill();
    EXPECT_TRUE(writeUntilDone(fleet, survivor, "WRITE seat late")) << fleet.history();
    std::this_thread::sleep_until(requestedAt + evacuationTime + std::chrono::seconds(3));
    EXPECT_LT(lastWorkInFirstDataCentre(fleet), requestedAt + evacuationTime) << fleet.history();
    fleet.runOnStandInThread([&] { EXPECT_EQ(fleet.group.primary(), fleet.group.members()[2].get()); });
    fleet.runOnStandInThread([&] { fleet.store->erase("op/evacuate/a"); });
    auto withdrawnAt = std::chrono::steady_clock::now();
    EXPECT_TRUE(awaitInstanceThatLogs(fleet, "evacuation_ended")) << fleet.history();
    for (int i = 0; i < maxWriteAttempts && lastWorkInFirstDataCentre(fleet) < withdrawnAt; ++i)
        std::this_thread::sleep_for(waitInterval);
    EXPECT_GE(lastWorkInFirstDataCentre(fleet), withdrawnAt) << fleet.history();
    ended = true;
    for (std::thread& client : clients)
        client.join();
    EXPECT_EQ(fleet.lostCommits(), 0u) << fleet.history();
}

// Guards against an evacuation of everything that moves primaries about, or that lets anything through.
TEST(Evacuation, WithAllDataCentresEvacuatedEverythingIsRefused)
{
    PromotionFleet fleet(1);
    ASSERT_TRUE(writeUntilDone(fleet, 0, "WRITE seat early"));
    fleet.runOnStandInThread([&] { fleet.store->put("op/evacuate/a", "{}"); });
    ASSERT_TRUE(awaitInstanceThatLogs(fleet, "evacuation_begun"));
    for (const char* database : { "primary-db", "bounded_staleness-db", "read_your_writes-db" }) {
        LineCaller caller(fleet.fronts->callerAddress(0), database, "key-1");
        EXPECT_NE(caller.run("READ seat").find("ERR BUSY"), std::string::npos) << database;
    }
    LineCaller caller(fleet.fronts->callerAddress(0), "primary-db", "key-1");
    EXPECT_NE(caller.run("WRITE seat late").find("ERR BUSY"), std::string::npos);
    // Longer than a primary may be unknown or unusable before it is replaced.
    std::this_thread::sleep_for(milliseconds(3500));
    fleet.runOnStandInThread([&] { EXPECT_EQ(fleet.group.promotions(), 0u) << fleet.group.history(); });
    fleet.runOnStandInThread([&] { fleet.store->erase("op/evacuate/a"); });
    EXPECT_TRUE(writeUntilDone(fleet, 0, "WRITE seat last"));
}

// Guards against statements of a transaction that still reach a member after its data centre was evacuated.
TEST(Evacuation, ATransactionOnAnEvacuatedMemberIsRolledBack)
{
    PromotionFleet fleet(1);
    ASSERT_TRUE(writeUntilDone(fleet, 0, "WRITE seat early"));
    LineCaller writer(fleet.fronts->callerAddress(0), "primary-db", "key-1");
    writer.run("BEGIN");
    ASSERT_NE(writer.run("WRITE seat late").find("DONE s"), std::string::npos);
    LineCaller reader(fleet.fronts->callerAddress(0), "bounded_staleness-db", "key-1");
    reader.run("BEGIN READ");
    ASSERT_NE(reader.run("READ seat").find("DONE s"), std::string::npos);
    fleet.runOnStandInThread([&] { fleet.store->put("op/evacuate/a", "{}"); });
    ASSERT_TRUE(awaitInstanceThatLogs(fleet, "evacuation_begun"));
    EXPECT_NE(reader.run("READ seat").find("ERR ABORTED"), std::string::npos);
    std::string response = writer.run("COMMIT");
    EXPECT_NE(response.find("ERR ABORTED"), std::string::npos) << response;
}

// Guards against a commit that is lost, or a group that stays without a primary, when the only member elsewhere lacks
// commits as the evacuation begins.
TEST(Evacuation, AnEvacuatedGroupWaitsForALaggingReplicaElsewhere)
{
    PromotionFleet fleet(2, [](ReplicatedGroup& group) { group.members()[2]->setDataCentre("b"); });
    const auto& members = fleet.group.members();
    ASSERT_TRUE(writeUntilDone(fleet, 0, "WRITE seat early"));
    fleet.runOnStandInThread([&] { members[2]->setDeaf(true); });
    for (int i = 0; i < 5; ++i)
        ASSERT_TRUE(writeUntilDone(fleet, 0, "WRITE seat late"));
    fleet.runOnStandInThread([&] { fleet.store->put("op/evacuate/a", "{}"); });
    ASSERT_TRUE(awaitInstanceThatLogs(fleet, "members_fenced"));
    std::this_thread::sleep_for(milliseconds(4000));
    fleet.runOnStandInThread([&] { members[2]->setDeaf(false); });
    EXPECT_TRUE(writeUntilDone(fleet, 1, "WRITE seat last")) << fleet.history();
    fleet.runOnStandInThread([&] {
        EXPECT_EQ(fleet.group.primary(), members[2].get());
        std::printf("%u promotions\n", fleet.group.promotions());
    });
    EXPECT_EQ(fleet.lostCommits(), 0u) << fleet.history();
}

// Guards against instances that together send a member more than it takes while it warms up, or nothing at all.
TEST(WarmUp, AMemberGetsAtMostItsBound)
{
    constexpr std::size_t measuredSeconds = 5;
    // 2 x 1.5 + 5.
    constexpr std::size_t bound = 8;
    PromotionFleet fleet(2, [](ReplicatedGroup& group) { group.members()[0]->setWarmUp(minutes(1)); });
    std::string configuration
        = lineConfiguration(2, R"("key-1")", { "primary", "read_your_writes", "bounded_staleness" }, maxConnections);
    std::string before = R"("syncReplicas":1)";
    configuration.replace(configuration.find(before), before.size(), before + R"(,"coldPerS":2)");
    fleet.runOnStandInThread([&] { fleet.store->put("op/config", configuration); });
    std::atomic<bool> ended = false;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 8; ++i) {
        clients.emplace_back(
            [&fleet, &ended, i] { repeatStatement(fleet, i % 2, "primary-db", "WRITE item data", ended); });
    }
    clients.emplace_back([&fleet, &ended] { runReader(fleet, 0, ended); });
    // Instances send nothing to such a member before all views list them.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    auto received = [&fleet](std::size_t member) {
        std::size_t count = 0;
        fleet.runOnStandInThread([&] { count = fleet.group.members()[member]->workReceived(); });
        return count;
    };
    std::size_t coldBefore = received(0);
    std::size_t warmBefore = received(1) + received(2);
    std::this_thread::sleep_for(std::chrono::seconds(measuredSeconds));
    std::size_t cold = received(0) - coldBefore;
    std::size_t warm = received(1) + received(2) - warmBefore;
    ended = true;
    for (std::thread& client : clients)
        client.join();
    std::printf("%zu statements at the member that warms up, %zu at the others\n", cold, warm);
    // The measured time begins and ends within a second of the bound.
    EXPECT_LE(cold, bound * (measuredSeconds + 1));
    EXPECT_GT(cold, 0u);
    EXPECT_GT(warm, 0u);
}
