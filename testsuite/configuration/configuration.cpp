// The operators' tables through the operators' client, while traffic runs and the platform fails.

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

struct Ran {
    int status;
    std::string output;
};

Ran runClient(const Fleet& fleet, std::vector<std::string> words)
{
    words.insert(words.begin(), Fleet::binaryFolder() + "/catkinlock");
    words.insert(words.end(), { "--settings", fleet.settingsFile("operator", "hakata") });
    Process process(words);
    int status = process.awaitExit(30);
    return { status, process.output() };
}

std::string documentFile(const Fleet& fleet, const std::string& text)
{
    std::string path = fleet.settingsFile("operator", "hakata") + ".json";
    std::ofstream(path) << text;
    return path;
}

bool routeIsInForce(const Fleet& fleet, const std::string& route)
{
    for (std::size_t i = 0; i < fleet.instanceCount(); ++i) {
        auto answer = fleet.caller(i).run(route, "SELECT body FROM bookings WHERE id = $1", { "x" }, { fleet.key });
        if (!answer.isDone())
            return false;
    }
    return true;
}

} // namespace

TEST(Configuration, AnEditIsInForceEverywhereAndARaceIsToldPlainly)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::string file = documentFile(fleet, R"({"pool": "tour-ledger", "read_only": true})");
    auto put = runClient(fleet, { "route", "put", "lookups", "--file", file, "--revision", "0" });
    EXPECT_EQ(put.status, 0) << put.output;
    EXPECT_TRUE(Fleet::waitFor([&] { return routeIsInForce(fleet, "lookups"); }, 9));
    auto race = runClient(fleet, { "route", "put", "lookups", "--file", file, "--revision", "0" });
    EXPECT_EQ(race.status, 3) << race.output;
    auto list = runClient(fleet, { "route", "list", "--json" });
    EXPECT_NE(list.output.find("lookups"), std::string::npos);
}

// The watch itself tells of an edit, without the slower reads that confirm it.
TEST(Configuration, AWatchDeliversAnEdit)
{
    Fleet::Options shape;
    shape.instances = 0;
    shape.databases = 0;
    Fleet fleet(shape);
    ASSERT_TRUE(fleet.start());
    boost::asio::io_context context;
    auto client = std::make_shared<catkinlock::PlatformClient>(
        context, fleet.platformAddress(), std::chrono::milliseconds(2000));
    std::string seen;
    auto onAnswer = [&](std::int64_t, const std::vector<catkinlock::KeyValue>& changes) {
        for (const catkinlock::KeyValue& change : changes)
            seen = change.key;
        if (!changes.empty())
            context.stop();
    };
    auto watching = client->watch("/catkinlock/table/route/new", 1, std::chrono::milliseconds(5000), onAnswer);
    boost::asio::co_spawn(context, std::move(watching), boost::asio::detached);
    std::thread editor([&] { fleet.putTable("route/new", "{}"); });
    context.run();
    editor.join();
    EXPECT_EQ(seen, "/catkinlock/table/route/new");
}

TEST(Configuration, FaultyEditsAreRefusedAtTheCommand)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::string faulty = documentFile(fleet, R"({"pool": "tour-ledger", "red_only": true})");
    auto misspelt = runClient(fleet, { "route", "put", "r", "--file", faulty, "--revision", "0" });
    EXPECT_EQ(misspelt.status, 2);
    EXPECT_NE(misspelt.output.find("red_only"), std::string::npos);
    std::string loose = documentFile(fleet, R"({"pool": "no-such-pool"})");
    EXPECT_EQ(runClient(fleet, { "route", "put", "r", "--file", loose, "--revision", "0" }).status, 1);
    EXPECT_EQ(runClient(fleet, { "pool", "delete", "tour-ledger", "--revision", "1" }).status, 2);
    EXPECT_EQ(runClient(fleet, { "route", "put", "r" }).status, 2);
    EXPECT_EQ(runClient(fleet, { "no-such-command" }).status, 2);
}

TEST(Configuration, ALostAnswerIsReadBackAndNotRepeated)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.setPlatformFault("lose_answers", 1);
    std::string file = documentFile(fleet, R"({"rate": 5, "burst": 5})");
    auto put = runClient(fleet, { "workspace", "put", "w", "--file", file, "--revision", "0" });
    EXPECT_EQ(put.status, 0) << put.output;
    EXPECT_NE(put.output.find("read back"), std::string::npos) << put.output;
}

TEST(Configuration, KeysAreIssuedShownOnceAndWithdrawn)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    auto issued = runClient(fleet, { "key", "issue", "--workspace", "tours" });
    ASSERT_EQ(issued.status, 0) << issued.output;
    std::string key = issued.output.substr(7, issued.output.find('\n') - 7);
    auto works = [&](bool wanted) {
        return Fleet::waitFor(
            [&] {
                auto answer
                    = fleet.caller(1).run("rosters", "SELECT body FROM bookings WHERE id = $1", { "x" }, { key });
                return wanted ? answer.isDone() : answer.code == "key_refused";
            },
            9);
    };
    EXPECT_TRUE(works(true));
    auto list = runClient(fleet, { "key", "list" });
    EXPECT_EQ(list.output.find(key), std::string::npos);
    auto withdrawn = runClient(fleet, { "key", "withdraw", catkinlock::sha256Hex(key) });
    EXPECT_EQ(withdrawn.status, 0) << withdrawn.output;
    EXPECT_TRUE(works(false));
}

// The platform is out for longer than tables count as fresh: nothing can be accepted meanwhile, and requests go on.
TEST(Configuration, AnOutageOfThePlatformStopsNoRequest)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.setPlatformFault("outage", 1);
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(9);
    unsigned refused = 0;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t i = 0; i < 3; ++i) {
            auto answer = fleet.caller(i).run(
                "orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "o", "o" }, { fleet.key });
            refused += !answer.isDone();
        }
    }
    EXPECT_EQ(refused, 0u);
    fleet.setPlatformFault("outage", 0);
    fleet.putTable("route/later", R"({"pool": "tour-ledger", "read_only": true})");
    EXPECT_TRUE(Fleet::waitFor([&] { return routeIsInForce(fleet, "later"); }, 9));
}

// An instance that hears neither the platform nor a peer can't tell an outage from being cut off, and refuses keys.
TEST(Configuration, AnInstanceThatIsCutOffRefusesKeys)
{
    Fleet::Options shape;
    shape.instances = 1;
    Fleet fleet(shape);
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

TEST(Configuration, ADocumentThatDoesNotParseDisplacesNothing)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.putTable("route/rosters", "{ not json");
    fleet.putTable("route/marker", R"({"pool": "tour-ledger", "read_only": true})");
    ASSERT_TRUE(Fleet::waitFor([&] { return routeIsInForce(fleet, "marker"); }, 9));
    EXPECT_TRUE(routeIsInForce(fleet, "rosters"));
}
