// A write through one instance is read back by the same session through another, from a replica.

#include "standin/fleet.h"
#include <gtest/gtest.h>

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
