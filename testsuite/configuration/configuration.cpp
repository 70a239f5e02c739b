// The operators' tables: edits with the command-line client, their arrival at all instances, and what still works while
// the platform is unavailable.

#include "catkinlock/digest.h"
#include "catkinlock/platform_client.h"
#include "standin/fleet.h"
#include <boost/asio.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock::standin;

namespace {

struct CommandResult {
    int exitStatus;
    std::string output;
};

// Runs the catkinlock program with the settings of the fleet and waits for its end.
CommandResult runCommand(const Fleet& fleet, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), Fleet::binaryFolder() + "/catkinlock");
    arguments.insert(arguments.end(), { "--settings", fleet.settingsFile("operator", "hakata") });
    Process process(arguments);
    int exitStatus = process.awaitExit(30);
    return { exitStatus, process.output() };
}

// Writes a table document to a file and returns the file's path.
std::string writeDocument(const Fleet& fleet, const std::string& text)
{
    std::string path = fleet.settingsFile("operator", "hakata") + ".json";
    std::ofstream(path) << text;
    return path;
}

// True if every instance serves reads on the route.
bool routeIsInForce(const Fleet& fleet, const std::string& route)
{
    for (std::size_t i = 0; i < fleet.instanceCount(); ++i) {
        auto response = fleet.caller(i).run(route, "SELECT body FROM bookings WHERE id = $1", { "x" }, { fleet.key });
        if (!response.isDone())
            return false;
    }
    return true;
}

} // namespace

TEST(Configuration, AnEditIsInForceEverywhereAndAConflictIsReported)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::string file = writeDocument(fleet, R"({"pool": "tour-ledger", "read_only": true})");
    auto put = runCommand(fleet, { "route", "put", "lookups", "--file", file, "--revision", "0" });
    EXPECT_EQ(put.exitStatus, 0) << put.output;
    EXPECT_TRUE(Fleet::waitFor([&] { return routeIsInForce(fleet, "lookups"); }, 9));
    auto conflict = runCommand(fleet, { "route", "put", "lookups", "--file", file, "--revision", "0" });
    EXPECT_EQ(conflict.exitStatus, 3) << conflict.output;
    auto list = runCommand(fleet, { "route", "list", "--json" });
    EXPECT_NE(list.output.find("lookups"), std::string::npos);
}

// A watch alone delivers an edit, without the slower reads of the tables that confirm it.
TEST(Configuration, AWatchDeliversAnEdit)
{
    Fleet::Options fleetOptions;
    fleetOptions.instances = 0;
    fleetOptions.databases = 0;
    Fleet fleet(fleetOptions);
    ASSERT_TRUE(fleet.start());
    boost::asio::io_context context;
    auto client = std::make_shared<catkinlock::PlatformClient>(
        context, fleet.platformAddress(), std::chrono::milliseconds(2000));
    std::string receivedKey;
    auto onResponse = [&](std::int64_t, const std::vector<catkinlock::KeyValue>& changes) {
        for (const catkinlock::KeyValue& change : changes)
            receivedKey = change.key;
        if (!changes.empty())
            context.stop();
    };
    auto watch = client->watch("/catkinlock/table/route/new", 1, std::chrono::milliseconds(5000), onResponse);
    boost::asio::co_spawn(context, std::move(watch), boost::asio::detached);
    std::thread editThread([&] { fleet.putTable("route/new", "{}"); });
    context.run();
    editThread.join();
    EXPECT_EQ(receivedKey, "/catkinlock/table/route/new");
}

TEST(Configuration, FaultyEditsAreRefusedByTheCommand)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::string misspeltDocument = writeDocument(fleet, R"({"pool": "tour-ledger", "red_only": true})");
    auto misspelt = runCommand(fleet, { "route", "put", "r", "--file", misspeltDocument, "--revision", "0" });
    EXPECT_EQ(misspelt.exitStatus, 2);
    EXPECT_NE(misspelt.output.find("red_only"), std::string::npos);
    std::string unknownPoolDocument = writeDocument(fleet, R"({"pool": "no-such-pool"})");
    EXPECT_EQ(
        runCommand(fleet, { "route", "put", "r", "--file", unknownPoolDocument, "--revision", "0" }).exitStatus, 1);
    EXPECT_EQ(runCommand(fleet, { "pool", "delete", "tour-ledger", "--revision", "1" }).exitStatus, 2);
    EXPECT_EQ(runCommand(fleet, { "route", "put", "r" }).exitStatus, 2);
    EXPECT_EQ(runCommand(fleet, { "no-such-command" }).exitStatus, 2);
}

TEST(Configuration, ALostResponseIsReadBackAndNotRepeated)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.setPlatformFault("lose_answers", 1);
    std::string file = writeDocument(fleet, R"({"rate": 5, "burst": 5})");
    auto put = runCommand(fleet, { "workspace", "put", "w", "--file", file, "--revision", "0" });
    EXPECT_EQ(put.exitStatus, 0) << put.output;
    EXPECT_NE(put.output.find("read back"), std::string::npos) << put.output;
}

TEST(Configuration, KeysAreIssuedShownOnceAndWithdrawn)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    auto issued = runCommand(fleet, { "key", "issue", "--workspace", "tours" });
    ASSERT_EQ(issued.exitStatus, 0) << issued.output;
    std::string key = issued.output.substr(7, issued.output.find('\n') - 7);
    // Waits until the key is accepted, or refused.
    auto waitForKey = [&](bool accepted) {
        return Fleet::waitFor(
            [&] {
                auto response
                    = fleet.caller(1).run("rosters", "SELECT body FROM bookings WHERE id = $1", { "x" }, { key });
                return accepted ? response.isDone() : response.code == "key_refused";
            },
            9);
    };
    EXPECT_TRUE(waitForKey(true));
    auto list = runCommand(fleet, { "key", "list" });
    EXPECT_EQ(list.output.find(key), std::string::npos);
    auto withdrawn = runCommand(fleet, { "key", "withdraw", catkinlock::sha256Hex(key) });
    EXPECT_EQ(withdrawn.exitStatus, 0) << withdrawn.output;
    EXPECT_TRUE(waitForKey(false));
}

// The platform is unavailable for 9 s, longer than the 8 s for which tables count as current without a confirmation.
// No edit, such as the withdrawal of a key, can be accepted in the meantime. Instances that still reach a majority of
// the fleet therefore continue to serve all requests.
TEST(Configuration, AnOutageOfThePlatformStopsNoRequest)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.setPlatformFault("outage", 1);
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(9);
    unsigned failed = 0;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t i = 0; i < 3; ++i) {
            auto response = fleet.caller(i).run(
                "orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "o", "o" }, { fleet.key });
            failed += !response.isDone();
        }
    }
    EXPECT_EQ(failed, 0u);
    fleet.setPlatformFault("outage", 0);
    fleet.putTable("route/later", R"({"pool": "tour-ledger", "read_only": true})");
    EXPECT_TRUE(Fleet::waitFor([&] { return routeIsInForce(fleet, "later"); }, 9));
}

// An instance that reaches neither the platform nor a peer can't tell an outage of the platform from its own isolation.
// A key may have been withdrawn in the meantime, so it refuses all keys.
TEST(Configuration, AnInstanceThatIsCutOffRefusesKeys)
{
    Fleet::Options fleetOptions;
    fleetOptions.instances = 1;
    Fleet fleet(fleetOptions);
    ASSERT_TRUE(fleet.start());
    fleet.setPlatformFault("outage", 1);
    EXPECT_TRUE(Fleet::waitFor(
        [&] {
            return fleet.caller(0)
                       .run("rosters", "SELECT body FROM bookings WHERE id = $1", { "x" }, { fleet.key })
                       .code
                == "isolated";
        },
        10));
}

TEST(Configuration, ADocumentThatDoesNotParseReplacesNothing)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.putTable("route/rosters", "{ not json");
    fleet.putTable("route/marker", R"({"pool": "tour-ledger", "read_only": true})");
    ASSERT_TRUE(Fleet::waitFor([&] { return routeIsInForce(fleet, "marker"); }, 9));
    EXPECT_TRUE(routeIsInForce(fleet, "rosters"));
}
