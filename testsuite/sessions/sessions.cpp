// Sessions over the line protocol through real instances. The group's members and the platform's key-value store are
// stand-ins inside this program.

#include "catkinlock/address.h"
#include "standin/front_fleet.h"
#include "standin/kv_service.h"
#include "standin/line_caller.h"
#include "standin/line_member.h"
#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <thread>

using namespace catkinlock;
using namespace catkinlock::standin;

namespace {

namespace asio = boost::asio;

// Maximum number of attempts while a test waits for a condition.
constexpr int maxWaitAttempts = 600;
// Maximum number of writes that are attempted while a primary is replaced. A write whose response is lost takes 1.5 s,
// the timeout of its route.
constexpr int maxFailoverAttempts = 200;
// Interval between the attempts of both kinds.
constexpr std::chrono::milliseconds waitInterval { 50 };
// Parts of the rates in a fleet with the default settings.
constexpr std::size_t slotCount = 32;
// Connections of a member: enough for all instances, and so few that reads go through gateways.
constexpr int manyConnections = 40;
constexpr int fewConnections = 5;

// The operators' configuration with routes of these kinds.
std::string configurationDocument(int version, const std::string& apiKeys,
    const std::vector<std::string>& routeKinds = { "primary", "read_your_writes" },
    int maxConnections = manyConnections)
{
    return lineConfiguration(version, apiKeys, routeKinds, maxConnections);
}

// A group of three stand-in members, a stand-in store, and two instances as child processes.
class TestFleet {
    // Declared first so that it is destroyed last: the stand-ins below use it.
    asio::io_context context { 1 };

public:
    explicit TestFleet(int maxConnections = manyConnections, int drainSeconds = 2)
    {
        this->store = std::make_shared<KvService>(this->context, [this](const std::string& id) { this->promote(id); });
        std::string storeAddress = this->store->start();
        for (std::size_t i = 0; i < 3; ++i) {
            auto member = std::make_shared<LineMember>(this->context, this->group, i, fmt::format("m{}", i));
            this->addresses.push_back(member->start());
            this->members.push_back(member);
            this->putTargetRecord(i);
        }
        this->store->put("op/config",
            configurationDocument(1, R"("key-1","key-2")", { "primary", "read_your_writes" }, maxConnections));
        this->store->takeCopy();
        this->thread = std::thread([this] {
            auto guard = asio::make_work_guard(this->context);
            this->context.run();
        });
        this->fronts = std::make_unique<FrontFleet>(CATKINLOCK_BINARY, storeAddress, testing::TempDir());
        this->fronts->setDrainSeconds(drainSeconds);
        for (int i = 0; i < 2; ++i) {
            EXPECT_TRUE(this->fronts->add());
            this->callerAddresses.push_back(this->fronts->callerAddress(static_cast<std::size_t>(i)));
        }
    }

    ~TestFleet()
    {
        this->fronts->killAll();
        this->context.stop();
        this->thread.join();
    }

    // Runs an action on the stand-ins' thread, which alone may use them, and waits for its end.
    void runOnStandInThread(std::function<void()> action)
    {
        std::promise<void> done;
        asio::post(this->context, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    // Makes a member the primary of a new term without an order of the instances.
    void promoteUnordered(std::size_t i)
    {
        this->runOnStandInThread([&] { this->promote(fmt::format("m{}", i)); });
    }

    // Number of the store's keys under a prefix.
    std::size_t keysUnder(const std::string& prefix)
    {
        std::size_t found = 0;
        this->runOnStandInThread([&] {
            for (const auto& [key, value] : this->store->contents())
                found += key.starts_with(prefix);
        });
        return found;
    }

    // Value of one of the store's keys; empty if there is none.
    std::string valueOf(const std::string& key)
    {
        std::string value;
        this->runOnStandInThread([&] {
            auto contents = this->store->contents();
            value = contents.count(key) ? contents.at(key) : "";
        });
        return value;
    }

    // Writes the members' records as often, so that the store's revisions grow. Only on the stand-ins' thread.
    void putTargetRecords(int times)
    {
        for (int i = 0; i < times; ++i)
            this->putTargetRecord(static_cast<std::size_t>(i) % this->members.size());
    }

    // Waits until the instances are registered and all parts of the rates have a holder.
    bool awaitRegistrations()
    {
        for (int i = 0; i < maxWaitAttempts; ++i) {
            if (this->keysUnder("catkinlock/instance/") == this->fronts->size()
                && this->keysUnder("/catkinlock/slot/") == slotCount)
                return true;
            std::this_thread::sleep_for(waitInterval);
        }
        return false;
    }

    // Ids of the writes that the group has committed, in order.
    std::vector<std::string> committed()
    {
        std::vector<std::string> ids;
        this->runOnStandInThread([&] { ids = this->group->committedWriteIds; });
        return ids;
    }

    std::shared_ptr<LineGroup> group = std::make_shared<LineGroup>();
    std::vector<std::shared_ptr<LineMember>> members;
    std::shared_ptr<KvService> store;
    std::vector<std::string> callerAddresses;
    std::unique_ptr<FrontFleet> fronts;
    // Called on the stand-ins' thread after each promotion.
    std::function<void()> onPromotion = [] {};

private:
    // Writes a member's record, with its present role, to the store.
    void putTargetRecord(std::size_t i)
    {
        const char* role = this->group->primary == i ? "primary" : "replica";
        this->store->put(fmt::format("servers/m{}", i),
            fmt::format(R"({{"service":"ledger","address":"{}","zone":"a","slots":3,"state":"ready","dbRole":"{}"}})",
                this->addresses[i], role));
    }

    // Carries out a promotion: starts a new term with this member as its primary.
    void promote(const std::string& id)
    {
        this->group->primary = static_cast<std::size_t>(id.back() - '0');
        ++this->group->position.term;
        for (std::size_t i = 0; i < this->members.size(); ++i)
            this->putTargetRecord(i);
        this->onPromotion();
    }

    std::vector<std::string> addresses;
    std::thread thread;
};

// Repeats a write, at most `attempts` times, until it succeeds. Returns the last response.
std::string writeUntilDone(LineCaller& caller, const std::string& text, int attempts)
{
    std::string response;
    for (int i = 0; i < attempts && response.find("DONE s") == std::string::npos; ++i) {
        response = caller.run(text);
        std::this_thread::sleep_for(waitInterval);
    }
    return response;
}

// Repeats a statement for as long as it is refused with ERR BUSY, which means that it has not run. Returns the last
// response.
std::string runUntilNotBusy(LineCaller& caller, const std::string& text)
{
    std::string response;
    for (int i = 0; i < maxWaitAttempts; ++i) {
        response = caller.run(text);
        if (response.find("ERR BUSY") == std::string::npos)
            return response;
        std::this_thread::sleep_for(waitInterval);
    }
    return response;
}

// Opens a session again until its database is known, for as long as a test waits. Returns the last response.
std::string openUntilKnown(const std::string& address, const std::string& database, const std::string& apiKey)
{
    std::string response;
    for (int i = 0; i < maxWaitAttempts; ++i) {
        response = LineCaller(address, database, apiKey).openResponse;
        if (response.starts_with("READY"))
            return response;
        std::this_thread::sleep_for(waitInterval);
    }
    return response;
}

} // namespace

TEST(Sessions, AWriteIsReadBackThroughItsSession)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "read_your_writes-db", "key-1");
    EXPECT_EQ(caller.openResponse, "READY I -\r\n");
    EXPECT_NE(runUntilNotBusy(caller, "WRITE seat two").find("DONE s"), std::string::npos);
    EXPECT_NE(caller.run("READ seat").find("ROW two"), std::string::npos);
    LineCaller other(fleet.callerAddresses[1], "primary-db", "key-2");
    EXPECT_NE(runUntilNotBusy(other, "READ seat").find("ROW two"), std::string::npos);
    EXPECT_EQ(fleet.committed().size(), 1u);
}

TEST(Sessions, ATransactionIsKeptOrNotAsAWhole)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    EXPECT_EQ(caller.run("BEGIN"), "DONE -\r\nREADY T -\r\n");
    EXPECT_NE(caller.run("WRITE seat one").find("READY T"), std::string::npos);
    EXPECT_TRUE(fleet.committed().empty());
    EXPECT_NE(caller.run("ROLLBACK").find("READY I"), std::string::npos);
    caller.run("BEGIN");
    caller.run("WRITE seat three");
    EXPECT_NE(caller.run("COMMIT").find("DONE s"), std::string::npos);
    EXPECT_NE(caller.run("READ seat").find("ROW three"), std::string::npos);
    EXPECT_EQ(fleet.committed().size(), 1u);
}

// Two sessions of one workspace use the same few connections; neither sees the other's values or prepared names.
TEST(Sessions, ValuesAndPreparedNamesStayWithTheirSession)
{
    TestFleet fleet;
    LineCaller first(fleet.callerAddresses[0], "primary-db", "key-1");
    LineCaller second(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(first, "WRITE seat x");
    first.run("SET tag -first");
    first.run("PREPARE s1 WRITE q1");
    second.run("PREPARE s1 READ q2");
    EXPECT_NE(first.run("READ seat").find("ROW x-first"), std::string::npos);
    EXPECT_EQ(second.run("READ seat").substr(0, 7), "ROW x\r\n");
    EXPECT_NE(second.run("EXECUTE s1 seat").find("ROW x\r\n"), std::string::npos);
    EXPECT_NE(first.run("EXECUTE s1 seat y").find("DONE s"), std::string::npos);
    EXPECT_NE(first.run("READ seat").find("ROW y-first"), std::string::npos);
    EXPECT_NE(second.run("EXECUTE s2 seat").find("ERR NOSTMT"), std::string::npos);
}

// A read runs at the gateway of its workspace, which is one of the two instances, with the session of the other one.
TEST(Sessions, AReadThroughAGatewayHasTheValuesAndPreparedStatementsOfItsSession)
{
    TestFleet fleet(fewConnections);
    ASSERT_TRUE(fleet.awaitRegistrations());
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (const std::string& address : fleet.callerAddresses)
        callers.push_back(std::make_unique<LineCaller>(address, "read_your_writes-db", "key-1"));
    for (std::size_t i = 0; i < callers.size(); ++i) {
        std::string tag = fmt::format("-{}", i);
        runUntilNotBusy(*callers[i], fmt::format("WRITE seat x{}", i));
        callers[i]->run("SET tag " + tag);
        callers[i]->run("PREPARE s1 READ q1");
        std::string expected = fmt::format("ROW x{}{}\r\n", i, tag);
        EXPECT_NE(runUntilNotBusy(*callers[i], "READ seat").find(expected), std::string::npos);
        EXPECT_NE(runUntilNotBusy(*callers[i], "EXECUTE s1 seat").find(expected), std::string::npos);
    }
    EXPECT_EQ(fleet.committed().size(), callers.size());
}

TEST(Sessions, ReadsAreServedWithoutTheirGateway)
{
    TestFleet fleet(fewConnections);
    ASSERT_TRUE(fleet.awaitRegistrations());
    for (std::size_t lost = 0; lost < fleet.fronts->size(); ++lost) {
        LineCaller caller(fleet.callerAddresses[1 - lost], "primary-db", "key-1");
        EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("DONE s"), std::string::npos);
        fleet.fronts->process(lost).kill();
        EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("DONE s"), std::string::npos);
        ASSERT_TRUE(fleet.fronts->restart(lost));
    }
}

namespace {

// How often the group has committed the write with this id.
std::size_t countCommitted(TestFleet& fleet, const std::string& id)
{
    auto ids = fleet.committed();
    return static_cast<std::size_t>(std::count(ids.begin(), ids.end(), id));
}

// Begins a transaction and runs a write in it, again for as long as there is no capacity for it. Returns the response
// to the write, whose id is the caller's last one.
std::string openTransaction(LineCaller& caller)
{
    std::string response;
    for (int i = 0; i < maxWaitAttempts && response.find("DONE s") == std::string::npos; ++i) {
        if (i)
            std::this_thread::sleep_for(waitInterval);
        runUntilNotBusy(caller, "BEGIN");
        response = caller.run("WRITE seat kept");
        if (response.find("READY E") != std::string::npos)
            caller.run("ROLLBACK");
    }
    return response;
}

} // namespace

// Guards against operations that run at their gateway without the values, prepared statements or transaction of their
// session. One of the two instances is the gateway of the workspace, so that one caller's operations are forwarded.
TEST(GatewayOperations, AreThoseOfTheirSession)
{
    TestFleet fleet(fewConnections);
    ASSERT_TRUE(fleet.awaitRegistrations());
    for (std::size_t i = 0; i < fleet.fronts->size(); ++i) {
        LineCaller caller(fleet.callerAddresses[i], "read_your_writes-db", "key-1");
        caller.run(fmt::format("SET tag -{}", i));
        caller.run("PREPARE s1 WRITE q1");
        EXPECT_NE(runUntilNotBusy(caller, fmt::format("WRITE seat first{}", i)).find("DONE s"), std::string::npos);
        EXPECT_EQ(countCommitted(fleet, caller.lastId()), 1u);
        std::string row = fmt::format("ROW first{0}-{0}\r\n", i);
        EXPECT_NE(runUntilNotBusy(caller, "READ seat").find(row), std::string::npos);
        EXPECT_NE(runUntilNotBusy(caller, "BEGIN").find("READY T"), std::string::npos);
        std::string response = caller.run(fmt::format("EXECUTE s1 seat second{}", i));
        EXPECT_NE(response.find("DONE s"), std::string::npos) << response;
        EXPECT_NE(response.find("READY T"), std::string::npos) << response;
        std::string writeId = caller.lastId();
        EXPECT_NE(caller.run("READ seat").find(row), std::string::npos);
        EXPECT_EQ(countCommitted(fleet, writeId), 0u);
        EXPECT_NE(caller.run("COMMIT").find("DONE s"), std::string::npos);
        EXPECT_EQ(countCommitted(fleet, writeId), 1u);
        row = fmt::format("ROW second{0}-{0}\r\n", i);
        EXPECT_NE(runUntilNotBusy(caller, "READ seat").find(row), std::string::npos);
    }
}

// Guards against a transaction that its gateway keeps, with its connection, after its session has rolled it back or
// has left it idle for too long. The gateway has only one connection.
TEST(GatewayOperations, ATransactionThatIsRolledBackOrIdleGivesItsConnectionBack)
{
    TestFleet fleet(fewConnections);
    ASSERT_TRUE(fleet.awaitRegistrations());
    for (const std::string& address : fleet.callerAddresses) {
        LineCaller caller(address, "primary-db", "key-1");
        LineCaller other(address, "primary-db", "key-1");
        EXPECT_NE(openTransaction(caller).find("READY T"), std::string::npos);
        std::string rolledBack = caller.lastId();
        EXPECT_NE(caller.run("ROLLBACK").find("READY I"), std::string::npos);
        EXPECT_NE(runUntilNotBusy(other, "WRITE seat x").find("DONE s"), std::string::npos);
        EXPECT_NE(openTransaction(caller).find("READY T"), std::string::npos);
        std::string idle = caller.lastId();
        // The configuration ends transactions that are idle for 3 s.
        EXPECT_NE(runUntilNotBusy(other, "WRITE seat y").find("DONE s"), std::string::npos);
        std::this_thread::sleep_for(std::chrono::seconds(4));
        EXPECT_NE(caller.run("WRITE seat z").find("ERR ABORTED"), std::string::npos);
        EXPECT_NE(caller.run("ROLLBACK").find("READY I"), std::string::npos);
        EXPECT_EQ(countCommitted(fleet, rolledBack), 0u);
        EXPECT_EQ(countCommitted(fleet, idle), 0u);
    }
}

// Guards against statements that run outside their transaction, or a commit of a part of it, after its gateway has
// ended, and against sessions that can't go on then.
TEST(GatewayOperations, ATransactionIsAbortedOnceItsGatewayIsKilled)
{
    TestFleet fleet(fewConnections);
    ASSERT_TRUE(fleet.awaitRegistrations());
    int aborted = 0;
    for (std::size_t killed = 0; killed < fleet.fronts->size(); ++killed) {
        LineCaller caller(fleet.callerAddresses[1 - killed], "primary-db", "key-1");
        EXPECT_NE(openTransaction(caller).find("READY T"), std::string::npos);
        std::string writeId = caller.lastId();
        fleet.fronts->process(killed).kill();
        bool isAborted = caller.run("WRITE seat more").find("ERR ABORTED") != std::string::npos;
        aborted += isAborted;
        EXPECT_EQ(caller.run("COMMIT").find("ERR ABORTED") != std::string::npos, isAborted);
        EXPECT_EQ(countCommitted(fleet, writeId), isAborted ? 0u : 1u);
        EXPECT_NE(openTransaction(caller).find("READY T"), std::string::npos);
        writeId = caller.lastId();
        EXPECT_NE(caller.run("COMMIT").find("DONE s"), std::string::npos);
        EXPECT_EQ(countCommitted(fleet, writeId), 1u);
        ASSERT_TRUE(fleet.fronts->restart(killed));
        ASSERT_TRUE(fleet.awaitRegistrations());
    }
    // One of the two instances is the gateway.
    EXPECT_EQ(aborted, 1);
}

// Guards against a planned stop of a gateway that ends the transactions of other instances before they had their time.
TEST(GatewayOperations, ATransactionIsFinishedWhileItsGatewayLeaves)
{
    // Transactions have half of this time.
    TestFleet fleet(fewConnections, 8);
    ASSERT_TRUE(fleet.awaitRegistrations());
    for (std::size_t leaving = 0; leaving < fleet.fronts->size(); ++leaving) {
        LineCaller caller(fleet.callerAddresses[1 - leaving], "primary-db", "key-1");
        EXPECT_NE(openTransaction(caller).find("READY T"), std::string::npos);
        std::string writeId = caller.lastId();
        fleet.fronts->process(leaving).sendSignal(SIGTERM);
        ASSERT_FALSE(fleet.fronts->process(leaving).awaitJsonLine("sessions").empty());
        std::string response = caller.run("WRITE seat more");
        EXPECT_NE(response.find("DONE s"), std::string::npos) << response;
        response = caller.run("COMMIT");
        EXPECT_NE(response.find("DONE s"), std::string::npos) << response;
        EXPECT_EQ(countCommitted(fleet, writeId), 1u);
        // A new operation does not wait for the gateway that leaves.
        EXPECT_NE(openTransaction(caller).find("READY T"), std::string::npos);
        EXPECT_NE(caller.run("COMMIT").find("DONE s"), std::string::npos);
        EXPECT_EQ(fleet.fronts->process(leaving).awaitExit(20), 0);
        ASSERT_TRUE(fleet.fronts->restart(leaving));
        ASSERT_TRUE(fleet.awaitRegistrations());
    }
}

// Guards against a gateway that can't end because another instance's session leaves its transaction open.
TEST(GatewayOperations, AGatewayThatLeavesEndsTransactionsThatStayOpen)
{
    TestFleet fleet(fewConnections);
    ASSERT_TRUE(fleet.awaitRegistrations());
    int aborted = 0;
    for (std::size_t leaving = 0; leaving < fleet.fronts->size(); ++leaving) {
        LineCaller caller(fleet.callerAddresses[1 - leaving], "primary-db", "key-1");
        EXPECT_NE(openTransaction(caller).find("READY T"), std::string::npos);
        std::string writeId = caller.lastId();
        fleet.fronts->process(leaving).sendSignal(SIGTERM);
        EXPECT_EQ(fleet.fronts->process(leaving).awaitExit(20), 0);
        bool isAborted = caller.run("WRITE seat more").find("ERR ABORTED") != std::string::npos;
        aborted += isAborted;
        EXPECT_EQ(caller.run("COMMIT").find("ERR ABORTED") != std::string::npos, isAborted);
        EXPECT_EQ(countCommitted(fleet, writeId), isAborted ? 0u : 1u);
        ASSERT_TRUE(fleet.fronts->restart(leaving));
        ASSERT_TRUE(fleet.awaitRegistrations());
    }
    // The other caller's transaction runs at its own instance, and would be idle for too long after 3 s.
    EXPECT_GE(aborted, 1);
}

TEST(Sessions, AWithdrawnKeyStopsAnOpenSession)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    fleet.runOnStandInThread([&] { fleet.store->put("op/config", configurationDocument(2, R"("key-2")")); });
    std::string response;
    for (int i = 0; i < maxWaitAttempts && response.find("ERR UNAUTH") == std::string::npos; ++i) {
        std::this_thread::sleep_for(waitInterval);
        response = caller.run("READ seat");
    }
    EXPECT_NE(response.find("ERR UNAUTH"), std::string::npos);
}

// An instance whose store calls are refused can't confirm that a key is still valid, so it refuses statements until the
// store serves it again.
TEST(Sessions, NoKeyIsTrustedWithoutTheStore)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    fleet.runOnStandInThread([&] { fleet.store->setUnavailable(true); });
    std::string response;
    for (int i = 0; i < maxWaitAttempts && response.find("ERR") == std::string::npos; ++i) {
        std::this_thread::sleep_for(waitInterval);
        response = caller.run("READ seat");
    }
    EXPECT_NE(response.find("ERR BUSY"), std::string::npos);
    fleet.runOnStandInThread([&] { fleet.store->setUnavailable(false); });
    EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("DONE s"), std::string::npos);
}

TEST(Sessions, AnUnresponsivePrimaryIsReplacedAndNothingIsLost)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "read_your_writes-db", "key-1");
    ASSERT_NE(runUntilNotBusy(caller, "WRITE seat kept").find("DONE s"), std::string::npos);
    fleet.runOnStandInThread([&] { fleet.members[0]->setUnresponsive(true); });
    std::string response;
    for (int i = 0; i < maxFailoverAttempts && response.find("DONE s") == std::string::npos; ++i) {
        response = caller.run("WRITE other after");
        // A write whose response is lost is reported as in doubt. The instance never retries it.
        EXPECT_TRUE(response.find("DONE") != std::string::npos || response.find("ERR") != std::string::npos)
            << response;
        std::this_thread::sleep_for(waitInterval);
    }
    EXPECT_NE(response.find("DONE s"), std::string::npos)
        << fleet.fronts->process(0).output() << fleet.fronts->process(1).output();
    EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("ROW kept"), std::string::npos);
    fleet.runOnStandInThread([&] {
        EXPECT_NE(fleet.group->primary, 0u);
        ASSERT_FALSE(fleet.store->fencingTokens().empty());
    });
}

// An instance whose registration takes long does not report that it is ready before.
TEST(Sessions, AnInstanceThatReportsReadyAcceptsSessions)
{
    TestFleet fleet;
    fleet.fronts->process(0).kill();
    fleet.runOnStandInThread([&] {
        fleet.store->erase("catkinlock/instance/i0");
        fleet.store->setLeaseGrantDelay(std::chrono::milliseconds(1000));
    });
    ASSERT_TRUE(fleet.fronts->restart(0));
    EXPECT_EQ(LineCaller(fleet.callerAddresses[0], "primary-db", "key-1").openResponse, "READY I -\r\n");
}

// The members reply to nothing from the promotion until the instance that ordered it is killed, so it can't finish.
TEST(Sessions, APromotedMemberStaysPrimaryWhenTheLeaderDiesRightAfterItsOrder)
{
    TestFleet fleet;
    std::atomic<bool> promoted = false;
    fleet.runOnStandInThread([&] {
        fleet.members[0]->setUnresponsive(true);
        fleet.onPromotion = [&] {
            for (std::size_t i = 1; i < fleet.members.size(); ++i)
                fleet.members[i]->setUnresponsive(!promoted);
            promoted = true;
        };
    });
    LineCaller first(fleet.callerAddresses[0], "primary-db", "key-1");
    LineCaller second(fleet.callerAddresses[1], "primary-db", "key-1");
    ASSERT_TRUE(first.openResponse.starts_with("READY")) << fleet.fronts->process(0).output();
    ASSERT_TRUE(second.openResponse.starts_with("READY")) << fleet.fronts->process(1).output();
    for (int i = 0; i < maxFailoverAttempts && !promoted; ++i) {
        first.run("WRITE seat lost");
        second.run("WRITE seat lost");
        std::this_thread::sleep_for(waitInterval);
    }
    ASSERT_TRUE(promoted);
    std::size_t leader = fleet.fronts->process(0).output().find("duty_taken") == std::string::npos;
    std::size_t promotedMember = SIZE_MAX;
    fleet.fronts->process(leader).kill();
    fleet.runOnStandInThread([&] {
        promotedMember = fleet.group->primary;
        fleet.members[1]->setUnresponsive(false);
        fleet.members[2]->setUnresponsive(false);
    });
    LineCaller& survivor = leader ? first : second;
    std::string response = writeUntilDone(survivor, "WRITE seat kept", maxWaitAttempts);
    EXPECT_NE(response.find("DONE s"), std::string::npos) << fleet.fronts->process(1 - leader).output();
    fleet.runOnStandInThread([&] {
        EXPECT_EQ(fleet.group->primary, promotedMember);
        EXPECT_EQ(fleet.store->fencingTokens().size(), 1u);
    });
}

// A draining instance completes every statement that it has read, ends the open session between two statements, and
// exits by itself.
TEST(Sessions, AnInstanceThatLeavesEndsItsSessionsBetweenRequests)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    fleet.fronts->process(0).sendSignal(SIGTERM);
    std::string response = "DONE s";
    for (int i = 0; i < maxWaitAttempts && response.find("DONE s") != std::string::npos; ++i) {
        response = caller.run("READ seat");
        EXPECT_TRUE(response.find("DONE s") != std::string::npos || response.find("ERR BUSY") == 0) << response;
        EXPECT_NE(response.find("READY I"), std::string::npos) << response;
        std::this_thread::sleep_for(waitInterval);
    }
    EXPECT_EQ(response.find("ERR BUSY"), 0u) << response;
    // The caller does not close its session, and the instance does.
    EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0);
    EXPECT_NE(fleet.fronts->process(0).output().find(R"("sessions_cut":"0")"), std::string::npos);
}

// Guards against a promise that nothing is kept in reply to a statement of an operation that has written.
TEST(Sessions, AStatementAfterAWriteIsPromisedNothingWhenItsSessionEnds)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    caller.run("PREPARE q WRITE shape");
    fleet.fronts->process(0).sendSignal(SIGTERM);
    ASSERT_FALSE(fleet.fronts->process(0).awaitJsonLine("sessions").empty());
    EXPECT_NE(caller.run("EXECUTE q seat taken").find("DONE s"), std::string::npos);
    EXPECT_NE(caller.run("DEALLOC q").find("DONE"), std::string::npos);
    // Idle sessions end after 0.5 s.
    std::this_thread::sleep_for(std::chrono::milliseconds(850));
    std::string response = caller.run("SET language ja");
    EXPECT_EQ(response.find("ERR FAILED"), 0u) << response;
    EXPECT_NE(response.find("READY I"), std::string::npos) << response;
}

// Guards against a notice in an open transaction: a statement that starts before transactions end, and ends once no
// statement is started any more.
TEST(Sessions, ATransactionIsRolledBackBeforeItsSessionEnds)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    caller.run("BEGIN");
    EXPECT_NE(caller.run("WRITE seat one").find("READY T"), std::string::npos);
    fleet.fronts->process(0).sendSignal(SIGTERM);
    ASSERT_FALSE(fleet.fronts->process(0).awaitJsonLine("sessions").empty());
    fleet.runOnStandInThread([&] {
        for (const auto& member : fleet.members)
            member->setResponseDelay(std::chrono::milliseconds(650));
    });
    // Transactions end after 1 s of the instance's 2 s, and no statement is started after 1.4 s.
    std::this_thread::sleep_for(std::chrono::milliseconds(850));
    caller.run("WRITE seat two");
    std::string response = caller.run("COMMIT");
    EXPECT_EQ(response.find("ERR ABORTED"), 0u) << response;
    EXPECT_NE(response.find("READY I"), std::string::npos) << response;
    EXPECT_EQ(fleet.committed().size(), 0u);
}

// Guards against LOST at a planned stop: a session ends in the middle of its caller's operation.
TEST(Sessions, ALeavingInstanceServesTheStatementAfterASetValue)
{
    TestFleet fleet;
    {
        LineCaller first(fleet.callerAddresses[0], "primary-db", "key-1");
        runUntilNotBusy(first, "READ seat");
    }
    fleet.fronts->process(0).sendSignal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    EXPECT_NE(caller.run("SET language ja").find("DONE"), std::string::npos);
    EXPECT_NE(caller.run("PREPARE q READ shape").find("DONE"), std::string::npos);
    std::string response = caller.run("EXECUTE q seat");
    EXPECT_NE(response.find("DONE s"), std::string::npos) << response;
}

// Guards against LOST at a planned stop: a statement that is on its way while its idle session ends gets no answer.
TEST(Sessions, AStatementThatCrossesTheEndOfItsSessionIsAnswered)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    fleet.fronts->process(0).sendSignal(SIGTERM);
    // Idle sessions end after a quarter of `drain_seconds`, 0.5 s.
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    std::string response = caller.run("WRITE seat taken");
    EXPECT_EQ(response.find("ERR BUSY"), 0u) << response;
    EXPECT_NE(response.find("READY I"), std::string::npos) << response;
    EXPECT_EQ(fleet.committed().size(), 0u);
}

// A session that connects while the draining instance ends its registration is either not accepted or gets responses to
// its statements.
TEST(Sessions, AnInstanceThatLeavesAnswersWhatItHasRead)
{
    TestFleet fleet;
    {
        LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
        runUntilNotBusy(caller, "READ seat");
    }
    fleet.runOnStandInThread([&] {
        fleet.store->setLeaseEndDelay(std::chrono::milliseconds(800));
        for (const auto& member : fleet.members)
            member->setResponseDelay(std::chrono::milliseconds(600));
    });
    fleet.fronts->process(0).sendSignal(SIGTERM);
    // An instance stops accepting sessions after half of `drain_seconds`, 1 s, and if it has none, then ends its
    // registration, which takes 0.8 s here.
    std::this_thread::sleep_for(std::chrono::milliseconds(1400));
    LineCaller late(fleet.callerAddresses[0], "primary-db", "key-1");
    // Without an opening line the session was not accepted.
    std::string response = late.openResponse.empty() ? "" : late.run("READ seat");
    EXPECT_TRUE(late.openResponse.empty() || response.find("READY") != std::string::npos) << response;
    EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0);
}

// Guards against LOST at a planned stop: callers send each statement of a transaction right after the reply to the one
// before, so that the instance hardly ever finds their sessions waiting for input.
TEST(Sessions, ATransactionThatOutlastsAnInstanceIsEndedWithAReply)
{
    TestFleet fleet;
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (int i = 0; i < 6; ++i) {
        callers.push_back(std::make_unique<LineCaller>(fleet.callerAddresses[0], "primary-db", "key-1"));
        runUntilNotBusy(*callers.back(), "READ seat");
    }
    fleet.runOnStandInThread([&] {
        for (const auto& member : fleet.members)
            member->setResponseDelay(std::chrono::milliseconds(150));
    });
    std::vector<std::string> lastResponses(callers.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i)
        threads.emplace_back([&response = lastResponses[i], &caller = *callers[i]] {
            response = caller.run("BEGIN READ");
            while (response.find("DONE") != std::string::npos)
                response = caller.run("READ seat");
        });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet.fronts->process(0).sendSignal(SIGTERM);
    for (std::thread& thread : threads)
        thread.join();
    for (std::size_t i = 0; i < callers.size(); ++i) {
        EXPECT_NE(lastResponses[i].find("ERR ABORTED"), std::string::npos) << lastResponses[i];
        EXPECT_NE(lastResponses[i].find("READY E"), std::string::npos) << lastResponses[i];
        EXPECT_NE(callers[i]->run("ROLLBACK").find("READY I"), std::string::npos);
    }
    EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0);
}

// The record goes on naming a member that refuses writes as a replica, and refusals are replies.
TEST(Sessions, AGroupWhoseRecordedPrimaryHasBecomeAReplicaServesWritesAgain)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    fleet.runOnStandInThread([&] { fleet.members[0]->setUnresponsive(true); });
    ASSERT_NE(writeUntilDone(caller, "WRITE seat kept", maxFailoverAttempts).find("DONE s"), std::string::npos);
    std::size_t recorded = 0;
    fleet.runOnStandInThread([&] {
        fleet.members[0]->setUnresponsive(false);
        recorded = fleet.group->primary;
    });
    std::size_t other = recorded == 1 ? 2 : 1;
    fleet.promoteUnordered(other);
    EXPECT_NE(writeUntilDone(caller, "WRITE seat kept", maxFailoverAttempts).find("DONE s"), std::string::npos)
        << fleet.fronts->process(0).output() << fleet.fronts->process(1).output();
}

TEST(SessionsAfterARestore, AnAddedRouteIsServedAndAWithdrawnKeyStaysWithdrawn)
{
    TestFleet fleet;
    ASSERT_TRUE(fleet.awaitRegistrations());
    std::string withdrawn = configurationDocument(2, R"("key-2")");
    fleet.runOnStandInThread([&] {
        fleet.store->takeCopy();
        fleet.putTargetRecords(30);
        fleet.store->put("op/config", withdrawn);
        fleet.store->put("op/config", configurationDocument(3, R"("key-2")", { "primary" }));
    });
    std::vector<std::string> responses(2);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        for (int attempt = 0; attempt < maxWaitAttempts && !responses[i].starts_with("ERR NODB"); ++attempt) {
            responses[i] = LineCaller(fleet.callerAddresses[i], "read_your_writes-db", "key-2").openResponse;
            std::this_thread::sleep_for(waitInterval);
        }
        EXPECT_TRUE(responses[i].starts_with("ERR NODB")) << responses[i];
    }
    fleet.runOnStandInThread([&] { fleet.store->restoreCopy(); });
    // The operator has not written its configurations again yet.
    for (int attempt = 0; attempt < 40; ++attempt) {
        for (const std::string& address : fleet.callerAddresses) {
            EXPECT_EQ(LineCaller(address, "primary-db", "key-1").run("READ seat").find("DONE s"), std::string::npos);
            EXPECT_TRUE(LineCaller(address, "read_your_writes-db", "key-2").openResponse.starts_with("ERR NODB"));
        }
        std::this_thread::sleep_for(waitInterval);
    }
    fleet.runOnStandInThread([&] {
        fleet.store->put("op/config", withdrawn);
        fleet.store->put("op/config", configurationDocument(3, R"("key-2")", { "primary" }));
        fleet.store->put("op/config", configurationDocument(4, R"("key-2")", { "primary", "bounded_staleness" }));
    });
    for (const std::string& address : fleet.callerAddresses) {
        EXPECT_TRUE(openUntilKnown(address, "bounded_staleness-db", "key-2").starts_with("READY"));
        LineCaller caller(address, "bounded_staleness-db", "key-2");
        EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("DONE s"), std::string::npos);
    }
}

TEST(SessionsAfterARestore, RegistrationsAndRateSlotsAreWrittenAgain)
{
    TestFleet fleet;
    ASSERT_TRUE(fleet.awaitRegistrations());
    // The copy is from before the start of the instances.
    fleet.runOnStandInThread([&] { fleet.store->restoreCopy(); });
    EXPECT_TRUE(fleet.awaitRegistrations());
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    EXPECT_NE(runUntilNotBusy(caller, "WRITE seat two").find("DONE s"), std::string::npos);
}

TEST(SessionsAfterARestore, AGroupThatWasBeingReplacedIsServedAgain)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "read_your_writes-db", "key-1");
    ASSERT_NE(runUntilNotBusy(caller, "WRITE seat kept").find("DONE s"), std::string::npos);
    ASSERT_TRUE(fleet.awaitRegistrations());
    fleet.runOnStandInThread([&] {
        fleet.store->takeCopy();
        fleet.members[0]->setUnresponsive(true);
    });
    std::string response;
    for (int i = 0; i < maxFailoverAttempts && !fleet.keysUnder("catkinlock/group/"); ++i)
        response = caller.run("WRITE other before");
    ASSERT_EQ(fleet.keysUnder("catkinlock/group/"), 1u);
    // The revisions grow past those before the restore before any instance asks again.
    fleet.runOnStandInThread([&] {
        fleet.store->restoreCopy();
        fleet.putTargetRecords(30);
    });
    response = writeUntilDone(caller, "WRITE other after", maxFailoverAttempts);
    EXPECT_NE(response.find("DONE s"), std::string::npos)
        << fleet.fronts->process(0).output() << fleet.fronts->process(1).output();
    EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("ROW kept"), std::string::npos);
}

TEST(SessionsAfterARestore, AReplacementOfThePrimaryIsNotForgotten)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "read_your_writes-db", "key-1");
    ASSERT_NE(runUntilNotBusy(caller, "WRITE seat kept").find("DONE s"), std::string::npos);
    ASSERT_TRUE(fleet.awaitRegistrations());
    fleet.runOnStandInThread([&] {
        fleet.store->takeCopy();
        fleet.members[0]->setUnresponsive(true);
    });
    std::string response = writeUntilDone(caller, "WRITE other after", maxFailoverAttempts);
    ASSERT_NE(response.find("DONE s"), std::string::npos);
    std::string record = fleet.valueOf("catkinlock/group/ledger");
    std::size_t promotions = 0;
    fleet.runOnStandInThread([&] {
        promotions = fleet.store->fencingTokens().size();
        fleet.store->restoreCopy();
        fleet.members[0]->setUnresponsive(false);
    });
    for (int i = 0; i < maxWaitAttempts && fleet.valueOf("catkinlock/group/ledger") != record; ++i)
        std::this_thread::sleep_for(waitInterval);
    EXPECT_EQ(fleet.valueOf("catkinlock/group/ledger"), record);
    EXPECT_NE(runUntilNotBusy(caller, "READ other").find("ROW after"), std::string::npos);
    fleet.runOnStandInThread([&] { EXPECT_EQ(fleet.store->fencingTokens().size(), promotions); });
}

TEST(SessionsAfterARestore, AnInstanceThatIsRestartedServesAnAddedRoute)
{
    TestFleet fleet;
    ASSERT_TRUE(fleet.awaitRegistrations());
    std::string added = configurationDocument(2, R"("key-1")", { "primary", "bounded_staleness" });
    fleet.runOnStandInThread([&] {
        fleet.store->takeCopy();
        fleet.putTargetRecords(30);
        fleet.store->put("op/config", added);
    });
    EXPECT_TRUE(openUntilKnown(fleet.callerAddresses[1], "bounded_staleness-db", "key-1").starts_with("READY"));
    fleet.runOnStandInThread([&] { fleet.store->restoreCopy(); });
    ASSERT_TRUE(fleet.fronts->restart(0));
    // The operator has not written the configuration again yet; the other instance knows it.
    for (const std::string& address : fleet.callerAddresses)
        EXPECT_TRUE(openUntilKnown(address, "bounded_staleness-db", "key-1").starts_with("READY"));
    EXPECT_TRUE(fleet.awaitRegistrations());
}

// Guards against LOST at a planned stop: a statement that is passed on in several steps, here five values, the start of
// its transaction and itself, has its reply before the process ends. Each step alone would fit into the statement's
// time.
TEST(Sessions, AReplyComesBeforeAnInstanceEndsAlthoughItsMemberIsSlow)
{
    TestFleet fleet;
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    runUntilNotBusy(caller, "READ seat");
    for (int i = 0; i < 5; ++i)
        caller.run(fmt::format("SET v{} x", i));
    EXPECT_NE(caller.run("BEGIN").find("READY T"), std::string::npos);
    fleet.fronts->process(0).sendSignal(SIGTERM);
    ASSERT_FALSE(fleet.fronts->process(0).awaitJsonLine("sessions").empty());
    fleet.runOnStandInThread([&] {
        for (const auto& member : fleet.members)
            member->setResponseDelay(std::chrono::milliseconds(300));
    });
    // Transactions have 1 s of `drain_seconds`, and the process ends after 1.7 s.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    std::string response = caller.run("READ seat");
    EXPECT_NE(response.find("ERR ABORTED"), std::string::npos) << response;
    EXPECT_NE(response.find("READY E"), std::string::npos) << response;
    EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0);
    std::string output = fleet.fronts->process(0).output();
    EXPECT_NE(output.find(R"("sessions_cut":"0")"), std::string::npos) << output;
}

// The same for a read that its gateway, one of the two instances, does not serve in time. The leaving instance then
// runs it itself, with what is left of the time.
TEST(Sessions, AReplyComesBeforeAnInstanceEndsAlthoughItsGatewayIsLate)
{
    TestFleet fleet(fewConnections);
    ASSERT_TRUE(fleet.awaitRegistrations());
    for (std::size_t leaving = 0; leaving < fleet.fronts->size(); ++leaving) {
        LineCaller caller(fleet.callerAddresses[leaving], "primary-db", "key-1");
        for (int i = 0; i < 5; ++i)
            caller.run(fmt::format("SET v{} x", i));
        // The instance and the gateway then have an idle connection to the primary each, without the values.
        LineCaller other(fleet.callerAddresses[leaving], "primary-db", "key-1");
        runUntilNotBusy(other, "WRITE seat one");
        runUntilNotBusy(other, "READ seat");
        fleet.fronts->process(leaving).sendSignal(SIGTERM);
        ASSERT_FALSE(fleet.fronts->process(leaving).awaitJsonLine("sessions").empty());
        fleet.runOnStandInThread([&] {
            for (const auto& member : fleet.members)
                member->setResponseDelay(std::chrono::milliseconds(400));
        });
        // An idle session is kept for 0.5 s.
        std::string response = caller.run("READ seat");
        EXPECT_NE(response.find("ERR BUSY"), std::string::npos) << response;
        EXPECT_NE(response.find("READY I"), std::string::npos) << response;
        EXPECT_EQ(fleet.fronts->process(leaving).awaitExit(10), 0);
        std::string output = fleet.fronts->process(leaving).output();
        EXPECT_NE(output.find(R"("sessions_cut":"0")"), std::string::npos) << output;
        fleet.runOnStandInThread([&] {
            for (const auto& member : fleet.members)
                member->setResponseDelay(std::chrono::milliseconds(0));
        });
        ASSERT_TRUE(fleet.fronts->restart(leaving));
    }
}

namespace {

// Starts an instance again and waits until it accepts connections of callers. Another listener of it is open before.
void relaunchUntilListening(TestFleet& fleet, std::size_t i)
{
    fleet.fronts->relaunch(i);
    asio::io_context context;
    boost::system::error_code error = asio::error::connection_refused;
    while (error && fleet.fronts->process(i).isRunning()) {
        asio::ip::tcp::socket socket(context);
        socket.connect(parseAddress(fleet.callerAddresses[i]), error);
    }
}

// True until the process has ended. Does not reap it, so that its id stays its own.
bool hasNotEnded(const Process& process)
{
    siginfo_t ended {};
    return !waitid(P_PID, static_cast<id_t>(process.pid()), &ended, WEXITED | WNOHANG | WNOWAIT) && !ended.si_pid;
}

} // namespace

// The platform may signal changed settings while an instance starts. An instance that did not handle the signal yet
// would be ended by it.
TEST(Signals, AReloadThatIsAskedForDuringTheStartDoesNotEndTheInstance)
{
    TestFleet fleet;
    for (int round = 0; round < 12; ++round) {
        relaunchUntilListening(fleet, 0);
        std::this_thread::sleep_for(std::chrono::microseconds(round % 4 * 200));
        fleet.fronts->process(0).sendSignal(SIGHUP);
        EXPECT_FALSE(fleet.fronts->process(0).awaitJsonLine("ready").empty()) << "round " << round;
        EXPECT_TRUE(hasNotEnded(fleet.fronts->process(0))) << "round " << round;
    }
}

// An instance that is stopped while it starts ends as every other one.
TEST(Signals, AnInstanceThatIsStoppedDuringItsStartEndsByItself)
{
    TestFleet fleet;
    for (int round = 0; round < 8; ++round) {
        relaunchUntilListening(fleet, 0);
        std::this_thread::sleep_for(std::chrono::microseconds(round % 4 * 200));
        fleet.fronts->process(0).sendSignal(SIGTERM);
        EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0) << "round " << round;
    }
    // Without the store it does not get as far as being ready.
    fleet.runOnStandInThread([&] { fleet.store->setUnavailable(true); });
    relaunchUntilListening(fleet, 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.fronts->process(0).sendSignal(SIGTERM);
    EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0);
}

// A second signal to stop, at whatever moment up to the end, changes nothing.
TEST(Signals, AnInstanceThatIsStoppedAgainAndAgainEndsByItself)
{
    TestFleet fleet;
    for (int round = 0; round < 6; ++round) {
        LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
        runUntilNotBusy(caller, "READ seat");
        caller.run("BEGIN");
        while (hasNotEnded(fleet.fronts->process(0))) {
            fleet.fronts->process(0).sendSignal(SIGTERM);
            std::this_thread::sleep_for(std::chrono::microseconds(20));
        }
        EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0) << "round " << round;
        ASSERT_TRUE(fleet.fronts->restart(0));
    }
}

// The settings file may be half-written or missing at the moment of a reload. The former settings stay in force.
TEST(Signals, AReloadOfUnreadableSettingsChangesNothing)
{
    TestFleet fleet;
    const std::string& path = fleet.fronts->settingsPath(0);
    std::ifstream file(path);
    std::string settings((std::istreambuf_iterator<char>(file)), {});
    // Truncated in a table, in a text, before the last table; times that can't be kept together; nothing; no file.
    std::vector<std::string> contents { settings.substr(0, settings.find("peer")), settings.substr(0, 20),
        settings.substr(0, settings.find("[fleet]")), settings + "apply_ms = 500\nrevocation_ms = 500\n", "" };
    auto reload = [&] {
        fleet.fronts->process(0).sendSignal(SIGHUP);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    };
    auto reloadAll = [&] {
        for (const std::string& content : contents) {
            std::ofstream(path) << content;
            reload();
        }
        std::remove(path.c_str());
        reload();
    };
    LineCaller caller(fleet.callerAddresses[0], "primary-db", "key-1");
    reloadAll();
    EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("DONE s"), std::string::npos);
    caller.run("BEGIN");
    fleet.fronts->process(0).sendSignal(SIGTERM);
    reloadAll();
    EXPECT_NE(caller.run("WRITE seat two").find("DONE s"), std::string::npos);
    EXPECT_NE(caller.run("COMMIT").find("DONE s"), std::string::npos);
    EXPECT_EQ(fleet.fronts->process(0).awaitExit(10), 0);
    std::string output = fleet.fronts->process(0).output();
    EXPECT_EQ(output.find("settings applied"), std::string::npos) << output;
    std::string refused = "the previous ones stay in force";
    EXPECT_LT(output.find(refused), output.find("\"draining\"")) << output;
    EXPECT_NE(output.find(refused, output.find("\"draining\"")), std::string::npos) << output;
    std::ofstream(path) << settings;
    ASSERT_TRUE(fleet.fronts->restart(0));
}

// No instance has a disk. What was acknowledged before all of them lose power at once is with the members and in the
// store: no instance could act on the configuration before.
TEST(SessionsAfterALossOfPower, CommitsAndConfigurationsAreInForce)
{
    TestFleet fleet;
    ASSERT_TRUE(fleet.awaitRegistrations());
    EXPECT_TRUE(openUntilKnown(fleet.callerAddresses[0], "primary-db", "key-1").starts_with("READY"));
    for (int round = 1; round <= 4; ++round) {
        std::string oldKey = fmt::format("key-{}", round);
        std::string newKey = fmt::format("key-{}", round + 1);
        std::string kept = fmt::format("kept-{}", round);
        {
            LineCaller caller(fleet.callerAddresses[1], "read_your_writes-db", oldKey);
            ASSERT_NE(writeUntilDone(caller, "WRITE seat " + kept, maxWaitAttempts).find("DONE s"), std::string::npos);
        }
        // Each configuration adds a key and a route and takes away a key and a route.
        std::string added = round % 2 ? "bounded_staleness" : "primary";
        std::string dropped = round % 2 ? "primary" : "bounded_staleness";
        fleet.runOnStandInThread([&] {
            fleet.store->put("op/config",
                configurationDocument(round * 3 + 2, fmt::format("\"{}\"", newKey), { "read_your_writes", added }));
            for (std::size_t i = 0; i < fleet.fronts->size(); ++i)
                fleet.fronts->process(i).kill();
        });
        for (std::size_t i = 0; i < fleet.fronts->size(); ++i)
            fleet.fronts->relaunch(i);
        for (std::size_t i = 0; i < fleet.fronts->size(); ++i)
            ASSERT_FALSE(fleet.fronts->process(i).awaitJsonLine("ready").empty());
        for (const std::string& address : fleet.callerAddresses) {
            EXPECT_TRUE(openUntilKnown(address, added + "-db", newKey).starts_with("READY"));
            EXPECT_TRUE(LineCaller(address, dropped + "-db", newKey).openResponse.starts_with("ERR NODB"));
            LineCaller withdrawn(address, "read_your_writes-db", oldKey);
            std::string response = withdrawn.openResponse + runUntilNotBusy(withdrawn, "READ seat");
            EXPECT_NE(response.find("ERR UNAUTH"), std::string::npos) << response;
            LineCaller caller(address, "read_your_writes-db", newKey);
            EXPECT_NE(runUntilNotBusy(caller, "READ seat").find("ROW " + kept), std::string::npos);
            EXPECT_NE(writeUntilDone(caller, "WRITE other x", maxWaitAttempts).find("DONE s"), std::string::npos);
        }
        EXPECT_TRUE(fleet.awaitRegistrations());
    }
}
