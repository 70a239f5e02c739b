// Fourteen instances, the size of present deployments, in front of three databases. While callers write and read back,
// instances are killed, frozen and added, a primary is killed, and the platform becomes unavailable. No write may be
// lost or duplicated, no session may read stale data, and more than nine tenths of the writes must be acknowledged.

#include "judge.h"
#include "standin/fleet.h"
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <thread>

using namespace catkinlock::standin;

TEST(FleetUnderFaults, WritesAndSessionReadsStayCorrect)
{
    Fleet::Options fleetOptions;
    fleetOptions.instances = 14;
    fleetOptions.databases = 3;
    fleetOptions.slots = 64;
    Fleet fleet(fleetOptions);
    ASSERT_TRUE(fleet.start());
    std::atomic<bool> stopping { false };
    std::vector<std::map<std::string, std::string>> outcomes(8);
    std::atomic<unsigned> staleReads { 0 };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        callers.emplace_back([&, i] {
            // Callers use instances 4 to 13 only, which are neither killed nor frozen.
            Caller writer = fleet.caller(4 + i);
            Caller reader = fleet.caller(4 + (i + 3) % 10);
            CallOptions options { fleet.key };
            options.shard = "shard-" + std::to_string(i);
            for (unsigned n = 0; !stopping; ++n) {
                std::string id = std::to_string(i) + "-" + std::to_string(n);
                options.idempotencyKey = id;
                options.session.clear();
                auto written
                    = writer.run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { id, id }, options);
                outcomes[i][id] = written.outcome;
                options.session = written.session;
                if (!written.isDone())
                    continue;
                auto read = reader.run("rosters", "SELECT body FROM bookings WHERE id = $1", { id }, options);
                staleReads += read.isDone() && read.values.size() != 1;
            }
        });
    }
    auto sleepMs = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
    sleepMs(500);
    fleet.instance(0).kill();
    fleet.instance(1).sendSignal(SIGSTOP);
    sleepMs(700);
    fleet.setPlatformFault("outage", 1);
    std::size_t oldPrimary = fleet.primary(1);
    fleet.member(1, oldPrimary).kill();
    sleepMs(2500);
    fleet.instance(1).sendSignal(SIGCONT);
    fleet.instance(2).kill();
    sleepMs(500);
    fleet.setPlatformFault("outage", 0);
    fleet.startInstance("entry-new", "tenjin");
    sleepMs(1500);
    stopping = true;
    for (std::thread& caller : callers)
        caller.join();
    EXPECT_EQ(staleReads, 0u);
    std::map<std::string, unsigned> rowCounts;
    for (std::size_t database = 0; database < 3; ++database) {
        for (const std::string& id : fleet.query(database, fleet.primary(database), "SELECT body FROM bookings"))
            ++rowCounts[id];
    }
    unsigned acknowledged = 0;
    unsigned total = 0;
    for (const auto& history : outcomes) {
        acknowledged += checkOutcomes(rowCounts, history);
        total += static_cast<unsigned>(history.size());
    }
    EXPECT_GT(acknowledged * 10, total * 9);
    EXPECT_NE(fleet.caller(14).get("/readyz").status, 0u);
}
