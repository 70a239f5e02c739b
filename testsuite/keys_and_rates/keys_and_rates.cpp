// Workspace keys and workspace rates, which all instances of a fleet enforce together.

#include "catkinlock/digest.h"
#include "standin/fleet.h"
#include <chrono>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock::standin;

namespace {

const char* const selectBooking = "SELECT body FROM bookings WHERE id = $1";

using Seconds = std::chrono::duration<double>;

} // namespace

TEST(Keys, AWithdrawnKeyStopsOnOpenConnections)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::vector<Caller> connections;
    for (std::size_t i = 0; i < 3; ++i)
        connections.push_back(fleet.caller(i));
    CallOptions options { fleet.key };
    for (Caller& caller : connections)
        ASSERT_TRUE(caller.run("rosters", selectBooking, { "x" }, options).isDone());
    fleet.putTable("key/" + catkinlock::sha256Hex(fleet.key), R"({"workspace": "tours", "withdrawn": true})");
    for (Caller& caller : connections)
        EXPECT_TRUE(Fleet::waitFor(
            [&] { return caller.run("rosters", selectBooking, { "x" }, options).code == "key_refused"; }, 8));
    // An open route requires no key.
    EXPECT_TRUE(connections[0].run("notices", selectBooking, { "x" }, { "" }).isDone());
}

TEST(Keys, NoTargetSeesAKey)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    CallOptions options { fleet.key };
    options.idempotencyKey = "i";
    ASSERT_TRUE(fleet.caller(0)
                    .run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "a", "b" }, options)
                    .isDone());
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(fleet.member(0, i).output().find(fleet.key), std::string::npos);
        EXPECT_EQ(fleet.instance(i).output().find(fleet.key), std::string::npos);
    }
    auto records = fleet.query(0, fleet.primary(0), "SELECT body FROM catkinlock.requests");
    EXPECT_EQ(records.size(), 1u);
    for (const std::string& row : records)
        EXPECT_EQ(row.find(fleet.key), std::string::npos);
}

TEST(Keys, ASessionOfAnotherWorkspaceIsRefused)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.putTable("workspace/museum", R"({"rate": 1000, "burst": 1000})");
    fleet.putTable("key/" + catkinlock::sha256Hex("the-key-of-museum"), R"({"workspace": "museum"})");
    auto written
        = fleet.caller(0).run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "a", "b" }, { fleet.key });
    ASSERT_TRUE(written.isDone());
    CallOptions museumOptions { "the-key-of-museum" };
    museumOptions.session = written.session;
    ASSERT_TRUE(Fleet::waitFor(
        [&] { return fleet.caller(0).run("rosters", selectBooking, { "a" }, { "the-key-of-museum" }).isDone(); }));
    EXPECT_EQ(fleet.caller(0).run("rosters", selectBooking, { "a" }, museumOptions).code, "foreign_session");
}

// Most requests of a workspace go to one instance, which has to borrow rate tokens from the others. All instances
// together must not admit more than the rate and the burst.
TEST(Rates, TheFleetAdmitsTheRateAndNoMore)
{
    Fleet::Options fleetOptions;
    fleetOptions.rate = 200;
    fleetOptions.burst = 50;
    Fleet fleet(fleetOptions);
    ASSERT_TRUE(fleet.start());
    std::this_thread::sleep_for(Seconds(1));
    std::atomic<unsigned> admitted { 0 };
    auto startedAt = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            // Six of the eight callers use instance 0.
            Caller caller = fleet.caller(i < 6 ? 0 : i - 5);
            while (std::chrono::steady_clock::now() - startedAt < Seconds(3)) {
                auto response = caller.run("rosters", selectBooking, { "x" }, { fleet.key });
                admitted += response.isDone();
                if (!response.isDone()) {
                    EXPECT_EQ(response.code, "rate_exceeded") << response.body;
                }
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    double elapsed = Seconds(std::chrono::steady_clock::now() - startedAt).count();
    EXPECT_LE(admitted, 200 * elapsed + 50);
    // Borrowing works: at least half of the rate is used although one instance receives most requests.
    EXPECT_GE(admitted, 200 * elapsed * 0.5);
}
