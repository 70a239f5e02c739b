// Graceful shutdown: an instance that is stopped by a signal or drained by an operator finishes the requests that it
// has accepted, and targets that are marked as leaving get no new reads.

#include "standin/fleet.h"
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <gtest/gtest.h>
#include <memory>
#include <thread>
#include <vector>

using namespace catkinlock::standin;

namespace {

const char* const insertBooking = "INSERT INTO bookings (id, body) VALUES ($1, $2)";

} // namespace

TEST(GracefulShutdown, CutsNoRequest)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    for (std::size_t i = 0; i < 3; ++i)
        fleet.setMemberFault(0, i, "delay_ms", 30);
    std::atomic<bool> stopping { false };
    std::atomic<unsigned> doneRequests { 0 };
    std::atomic<unsigned> failedRequests { 0 };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            Caller leaving = fleet.caller(0);
            Caller staying = fleet.caller(1 + i % 2);
            bool leavingIsClosed = false;
            while (!stopping) {
                auto response
                    = (leavingIsClosed ? staying : leaving).run("orders", insertBooking, { "g", "g" }, { fleet.key });
                // If there is no status, the instance is assumed to accept no more connections, so that no request was
                // sent. A load balancer would then use another instance, and so does this caller.
                if (!leavingIsClosed && !response.status)
                    leavingIsClosed = true;
                else if (response.isDone())
                    ++doneRequests;
                else
                    ++failedRequests;
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.instance(0).sendSignal(SIGTERM);
    EXPECT_EQ(fleet.instance(0).awaitExit(30), 0);
    stopping = true;
    for (std::thread& caller : callers)
        caller.join();
    EXPECT_EQ(failedRequests, 0u);
    EXPECT_GT(doneRequests, 30u);
    EXPECT_NE(fleet.instance(0).output().find("\"requests_cut\":\"false\""), std::string::npos);
}

TEST(GracefulShutdown, AnOperatorDrainsAnInstance)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.putTable("instance/entry-1", R"({"drain": true})");
    EXPECT_EQ(fleet.instance(1).awaitExit(30), 0);
    EXPECT_TRUE(fleet.caller(0).run("orders", insertBooking, { "a", "a" }, { fleet.key }).isDone());
}

// The default effect of a signal ended an instance that had opened its listener.
TEST(GracefulShutdown, AnInstanceThatIsStoppedDuringItsStartEndsByItself)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::vector<std::string> command { Fleet::binaryFolder() + "/catkinlock", "serve", "--settings",
        fleet.settingsFile("entry-late", "tenjin") };
    std::vector<std::unique_ptr<Process>> stopped;
    for (int i = 0; i < 8; ++i) {
        stopped.push_back(std::make_unique<Process>(command));
        ASSERT_FALSE(stopped.back()->awaitJsonLine("http").empty());
        stopped.back()->sendSignal(SIGTERM);
    }
    for (const auto& process : stopped)
        EXPECT_EQ(process->awaitExit(10), 0);
}

TEST(GracefulShutdown, ASignalToReloadDoesNotEndAnInstance)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.instance(0).sendSignal(SIGHUP);
    EXPECT_EQ(fleet.instance(0).awaitExit(1), -1);
    EXPECT_TRUE(fleet.instance(0).isRunning());
    EXPECT_TRUE(fleet.caller(0).run("orders", insertBooking, { "a", "a" }, { fleet.key }).isDone());
}

TEST(GracefulShutdown, ATargetThatLeavesGetsNoNewReads)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::size_t primary = fleet.primary(0);
    boost::json::array members;
    for (std::size_t i = 0; i < 3; ++i)
        members.push_back(boost::json::object { { "name", "member-" + std::to_string(i) },
            { "address", fleet.memberAddress(0, i) }, { "leaving", i != primary } });
    boost::json::object database { { "name", "ledger-0" }, { "connections", 50 }, { "members", members } };
    fleet.putTable("pool/tour-ledger",
        boost::json::serialize(boost::json::object { { "databases", boost::json::array { database } } }));
    EXPECT_TRUE(Fleet::waitFor(
        [&] {
            for (std::size_t i = 0; i < 3; ++i) {
                auto read
                    = fleet.caller(i).run("rosters", "SELECT body FROM bookings WHERE id = $1", { "x" }, { fleet.key });
                if (!read.isDone() || read.fromReplica)
                    return false;
            }
            return true;
        },
        8));
}
