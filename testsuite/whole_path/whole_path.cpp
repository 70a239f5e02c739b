// The whole path of a request: a write through one instance is read back by the same session through another instance,
// from a replica, and a read with a maximum age is not served from an older replica.

#include "standin/fleet.h"
#include <chrono>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock::standin;

TEST(WholePath, WriteIsReadBackThroughAnotherInstanceFromAReplica)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    Caller writer = fleet.caller(0);
    CallOptions options { fleet.key };
    auto written
        = writer.run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "b1", "two seats" }, options);
    ASSERT_TRUE(written.isDone()) << written.body;
    ASSERT_FALSE(written.session.empty());
    options.session = written.session;
    Caller reader = fleet.caller(1);
    auto read = reader.run("rosters", "SELECT body FROM bookings WHERE id = $1", { "b1" }, options);
    ASSERT_TRUE(read.isDone()) << read.body;
    EXPECT_EQ(read.values, std::vector<std::string> { "two seats" });
    EXPECT_TRUE(read.fromReplica);
}

// The replicas lag by 3 s. They may serve the route without a maximum age, but not the route with a maximum age of 1 s,
// which must be read from the primary.
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
    auto readWithoutMaxAge
        = fleet.caller(1).run("rosters", "SELECT body FROM bookings WHERE id = $1", { "aged" }, options);
    EXPECT_TRUE(readWithoutMaxAge.isDone() && readWithoutMaxAge.values.empty()) << readWithoutMaxAge.body;
    auto readWithMaxAge
        = fleet.caller(1).run("catalogue", "SELECT body FROM bookings WHERE id = $1", { "aged" }, options);
    EXPECT_TRUE(readWithMaxAge.isDone()) << readWithMaxAge.body;
    EXPECT_EQ(readWithMaxAge.values.size(), 1u);
    EXPECT_FALSE(readWithMaxAge.fromReplica);
}
