// Automatic failover with real processes: a primary that is killed, frozen or cut off from its replicas is replaced
// without an operator, and a slow one is kept. No acknowledged write is lost and no session reads stale data.

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

struct CallerHistory {
    // Outcome of each write, by the id that it inserted.
    std::map<std::string, std::string> outcomes;
    // Reads that did not return the session's own write.
    unsigned staleReads = 0;
    unsigned reads = 0;
};

// Threads of callers that write with idempotency keys and read each acknowledged write back through another instance,
// in the same session, until `stop`.
class CallerThreads {
public:
    CallerThreads(const Fleet& fleet, std::size_t count)
        : histories(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->threads.emplace_back([this, &fleet, i] { this->runCaller(fleet, i); });
    }
    std::vector<CallerHistory>& stop()
    {
        this->stopping = true;
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
        return this->histories;
    }
    ~CallerThreads() { this->stop(); }

private:
    void runCaller(const Fleet& fleet, std::size_t index)
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

    std::vector<CallerHistory> histories;
    std::vector<std::thread> threads;
    std::atomic<bool> stopping { false };
};

// Checks the outcomes that callers received against the rows of the present primary.
void checkHistories(const Fleet& fleet, const std::vector<CallerHistory>& histories)
{
    unsigned acknowledged = 0;
    std::map<std::string, unsigned> rowCounts;
    for (const std::string& id : fleet.query(0, fleet.primary(0), "SELECT body FROM bookings"))
        ++rowCounts[id];
    for (const CallerHistory& history : histories) {
        EXPECT_EQ(history.staleReads, 0u);
        acknowledged += checkOutcomes(rowCounts, history.outcomes);
    }
    EXPECT_GT(acknowledged, 20u);
}

// True if a write through instance 0 succeeds within 500 ms.
bool servesWrites(const Fleet& fleet)
{
    CallOptions options { fleet.key };
    options.timeoutMs = 500;
    return fleet.caller(0)
        .run("orders", "INSERT INTO after (id, body) VALUES ($1, $2)", { "x", "x" }, options)
        .isDone();
}

// Injects a fault into the primary, or into its surroundings, while callers write, waits until another member serves
// writes, removes the fault and checks the callers' histories.
void testPrimaryLoss(const std::function<void(Fleet&, std::size_t)>& injectFault,
    const std::function<void(Fleet&, std::size_t)>& removeFault)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    CallerThreads callers(fleet, 6);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::size_t oldPrimary = fleet.primary(0);
    injectFault(fleet, oldPrimary);
    EXPECT_TRUE(Fleet::waitFor([&] { return fleet.primary(0) != oldPrimary && servesWrites(fleet); }, 8));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    removeFault(fleet, oldPrimary);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    auto& histories = callers.stop();
    checkHistories(fleet, histories);
}

void leaveFault(Fleet&, std::size_t) { }

} // namespace

TEST(Failover, AKilledPrimaryIsReplaced)
{
    testPrimaryLoss([](Fleet& fleet, std::size_t oldPrimary) { fleet.member(0, oldPrimary).kill(); }, leaveFault);
}

TEST(Failover, APrimaryCutFromItsReplicasIsReplaced)
{
    testPrimaryLoss(
        [](Fleet& fleet, std::size_t oldPrimary) { fleet.setMemberFault(0, oldPrimary, "cut_replication", 1); },
        [](Fleet& fleet, std::size_t oldPrimary) { fleet.setMemberFault(0, oldPrimary, "cut_replication", 0); });
}

TEST(Failover, AFrozenPrimaryThatResumesAcknowledgesNothing)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    CallerThreads callers(fleet, 6);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::size_t oldPrimary = fleet.primary(0);
    fleet.member(0, oldPrimary).sendSignal(SIGSTOP);
    EXPECT_TRUE(Fleet::waitFor([&] { return servesWrites(fleet); }, 8));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.member(0, oldPrimary).sendSignal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    auto& histories = callers.stop();
    EXPECT_NE(fleet.primary(0), oldPrimary);
    checkHistories(fleet, histories);
}

TEST(Failover, ASlowPrimaryStays)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::size_t primary = fleet.primary(0);
    auto readTerm = [&] { return fleet.query(0, primary, "SELECT * FROM catkinlock.status()")[3]; };
    std::string term = readTerm();
    fleet.setMemberFault(0, primary, "delay_ms", 150);
    CallerThreads callers(fleet, 6);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    callers.stop();
    EXPECT_EQ(fleet.primary(0), primary);
    EXPECT_EQ(readTerm(), term);
}

TEST(Failover, WithThePlatformOutAPrimaryIsStillReplaced)
{
    testPrimaryLoss(
        [](Fleet& fleet, std::size_t oldPrimary) {
            fleet.setPlatformFault("outage", 1);
            fleet.member(0, oldPrimary).kill();
        },
        [](Fleet& fleet, std::size_t) { fleet.setPlatformFault("outage", 0); });
}
