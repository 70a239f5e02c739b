// A primary is lost in each way that a process can be: killed, frozen, cut off. Nobody orders its replacement.

#include "judge.h"
#include "standin/fleet.h"
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <thread>

using namespace catkinlock::standin;

namespace {

const char* const insertBooking = "INSERT INTO bookings (id, body) VALUES ($1, $2)";

struct History {
    std::map<std::string, std::string> outcomes;
    unsigned staleReads = 0;
    unsigned reads = 0;
};

// Callers that write with keys, roam between instances and read their writes back, until told to stop.
class Callers {
public:
    Callers(const Fleet& fleet, std::size_t count)
        : histories(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->threads.emplace_back([this, &fleet, i] { this->work(fleet, i); });
    }
    std::vector<History>& stop()
    {
        this->stopping = true;
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
        return this->histories;
    }
    ~Callers() { this->stop(); }

private:
    void work(const Fleet& fleet, std::size_t index)
    {
        std::vector<Caller> connections;
        for (std::size_t i = 0; i < fleet.instanceCount(); ++i)
            connections.push_back(fleet.caller(i));
        CallOptions options { fleet.key };
        options.timeoutMs = 4000;
        for (unsigned n = 0; !this->stopping; ++n) {
            std::string id = std::to_string(index) + "-" + std::to_string(n);
            options.idempotencyKey = id;
            auto written = connections[n % connections.size()].run("orders", insertBooking, { id, id }, options);
            this->histories[index].outcomes[id] = written.outcome;
            if (!written.isDone())
                continue;
            options.session = written.session;
            auto read = connections[(n + 1) % connections.size()].run(
                "rosters", "SELECT body FROM bookings WHERE id = $1", { id }, options);
            ++this->histories[index].reads;
            this->histories[index].staleReads += read.isDone() && read.values.size() != 1;
        }
    }

    std::vector<History> histories;
    std::vector<std::thread> threads;
    std::atomic<bool> stopping { false };
};

// Judges what callers were told by what the primary holds in the end.
void judge(const Fleet& fleet, const std::vector<History>& histories)
{
    unsigned done = 0;
    std::map<std::string, unsigned> rows;
    for (const std::string& id : fleet.query(0, fleet.primary(0), "SELECT body FROM bookings"))
        ++rows[id];
    for (const History& history : histories) {
        EXPECT_EQ(history.staleReads, 0u);
        done += judgeOutcomes(rows, history.outcomes);
    }
    EXPECT_GT(done, 20u);
}

bool servesWrites(const Fleet& fleet)
{
    CallOptions options { fleet.key };
    options.timeoutMs = 500;
    return fleet.caller(0)
        .run("orders", "INSERT INTO after (id, body) VALUES ($1, $2)", { "x", "x" }, options)
        .isDone();
}

void loseThePrimary(
    const std::function<void(Fleet&, std::size_t)>& fault, const std::function<void(Fleet&, std::size_t)>& heal)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    Callers callers(fleet, 6);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::size_t lost = fleet.primary(0);
    fault(fleet, lost);
    EXPECT_TRUE(Fleet::waitFor([&] { return fleet.primary(0) != lost && servesWrites(fleet); }, 8));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    heal(fleet, lost);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    auto& histories = callers.stop();
    judge(fleet, histories);
}

void healNothing(Fleet&, std::size_t) { }

} // namespace

TEST(Failover, AKilledPrimaryIsReplaced)
{
    loseThePrimary([](Fleet& fleet, std::size_t lost) { fleet.member(0, lost).kill(); }, healNothing);
}

TEST(Failover, APrimaryCutFromItsReplicasIsReplaced)
{
    loseThePrimary([](Fleet& fleet, std::size_t lost) { fleet.setMemberFault(0, lost, "cut_replication", 1); },
        [](Fleet& fleet, std::size_t lost) { fleet.setMemberFault(0, lost, "cut_replication", 0); });
}

TEST(Failover, AFrozenPrimaryThatWakesAcknowledgesNothing)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    Callers callers(fleet, 6);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::size_t lost = fleet.primary(0);
    fleet.member(0, lost).sendSignal(SIGSTOP);
    EXPECT_TRUE(Fleet::waitFor([&] { return servesWrites(fleet); }, 8));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.member(0, lost).sendSignal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    auto& histories = callers.stop();
    EXPECT_NE(fleet.primary(0), lost);
    judge(fleet, histories);
}

TEST(Failover, ASlowPrimaryStays)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::size_t primary = fleet.primary(0);
    auto termOf = [&] { return fleet.query(0, primary, "SELECT * FROM catkinlock.status()")[3]; };
    std::string term = termOf();
    fleet.setMemberFault(0, primary, "delay_ms", 150);
    Callers callers(fleet, 6);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    callers.stop();
    EXPECT_EQ(fleet.primary(0), primary);
    EXPECT_EQ(termOf(), term);
}

TEST(Failover, WithThePlatformOutAPrimaryIsStillReplaced)
{
    loseThePrimary(
        [](Fleet& fleet, std::size_t lost) {
            fleet.setPlatformFault("outage", 1);
            fleet.member(0, lost).kill();
        },
        [](Fleet& fleet, std::size_t) { fleet.setPlatformFault("outage", 0); });
}
