// A write through one instance is read back by the same session through another, from a replica.

#include "standin/fleet.h"
#include <chrono>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock::standin;

TEST(WholePath, WriteIsReadBackThroughAnotherInstanceFromAReplica)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    Caller first = fleet.caller(0);
    CallOptions options { fleet.key };
    auto written
        = first.run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "b1", "two seats" }, options);
    ASSERT_TRUE(written.isDone()) << written.body;
    ASSERT_FALSE(written.session.empty());
    options.session = written.session;
    Caller second = fleet.caller(1);
    auto read = second.run("rosters", "SELECT body FROM bookings WHERE id = $1", { "b1" }, options);
    ASSERT_TRUE(read.isDone()) << read.body;
    EXPECT_EQ(read.values, std::vector<std::string> { "two seats" });
    EXPECT_TRUE(read.fromReplica);
}

// Replicas that lag by 3 s are too old for a route that accepts 1 s; without an age they would serve.
TEST(WholePath, AReadByAgeNeverGetsOlderData)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    for (std::size_t i = 0; i < 3; ++i)
        fleet.setMemberFault(0, i, "lag_ms", 3000);
    CallOptions options { fleet.key };
    ASSERT_TRUE(fleet.caller(0)
                    .run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "aged", "x" }, options)
                    .isDone());
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    auto any = fleet.caller(1).run("rosters", "SELECT body FROM bookings WHERE id = $1", { "aged" }, options);
    EXPECT_TRUE(any.isDone() && any.values.empty()) << any.body;
    auto fresh = fleet.caller(1).run("catalogue", "SELECT body FROM bookings WHERE id = $1", { "aged" }, options);
    EXPECT_TRUE(fresh.isDone()) << fresh.body;
    EXPECT_EQ(fresh.values.size(), 1u);
    EXPECT_FALSE(fresh.fromReplica);
}
