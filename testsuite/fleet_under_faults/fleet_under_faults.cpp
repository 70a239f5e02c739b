// Fourteen instances, as in today's deployments, before three databases: instances are killed, frozen and added, a
// primary is lost, and the platform goes out, while callers write, read back and count.

#include "judge.h"
#include "standin/fleet.h"
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <thread>

using namespace catkinlock::standin;

TEST(FleetUnderFaults, KeepsItsPromises)
{
    Fleet::Options shape;
    shape.instances = 14;
    shape.databases = 3;
    shape.slots = 64;
    Fleet fleet(shape);
    ASSERT_TRUE(fleet.start());
    std::atomic<bool> stopping { false };
    std::vector<std::map<std::string, std::string>> outcomes(8);
    std::atomic<unsigned> staleReads { 0 };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        callers.emplace_back([&, i] {
            // Instances 4 to 13 stay.
            Caller first = fleet.caller(4 + i);
            Caller second = fleet.caller(4 + (i + 3) % 10);
            CallOptions options { fleet.key };
            options.shard = "shard-" + std::to_string(i);
            for (unsigned n = 0; !stopping; ++n) {
                std::string id = std::to_string(i) + "-" + std::to_string(n);
                options.idempotencyKey = id;
                options.session.clear();
                auto written
                    = first.run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { id, id }, options);
                outcomes[i][id] = written.outcome;
                options.session = written.session;
                if (!written.isDone())
                    continue;
                auto read = second.run("rosters", "SELECT body FROM bookings WHERE id = $1", { id }, options);
                staleReads += read.isDone() && read.values.size() != 1;
            }
        });
    }
    auto pause = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
    pause(500);
    fleet.instance(0).kill();
    fleet.instance(1).sendSignal(SIGSTOP);
    pause(700);
    fleet.setPlatformFault("outage", 1);
    std::size_t lost = fleet.primary(1);
    fleet.member(1, lost).kill();
    pause(2500);
    fleet.instance(1).sendSignal(SIGCONT);
    fleet.instance(2).kill();
    pause(500);
    fleet.setPlatformFault("outage", 0);
    fleet.startInstance("entry-new", "tenjin");
    pause(1500);
    stopping = true;
    for (std::thread& caller : callers)
        caller.join();
    EXPECT_EQ(staleReads, 0u);
    std::map<std::string, unsigned> rows;
    for (std::size_t database = 0; database < 3; ++database) {
        for (const std::string& id : fleet.query(database, fleet.primary(database), "SELECT body FROM bookings"))
            ++rows[id];
    }
    unsigned done = 0;
    unsigned total = 0;
    for (const auto& history : outcomes) {
        done += judgeOutcomes(rows, history);
        total += static_cast<unsigned>(history.size());
    }
    EXPECT_GT(done * 10, total * 9);
    EXPECT_NE(fleet.caller(14).get("/readyz").status, 0u);
}
