// The outcome that a caller receives matches the database when the response to a commit is lost, a request is repeated
// at another instance, a request is settled, or an instance is killed in the middle of a transaction.

#include "standin/fleet.h"
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock::standin;

namespace {

const char* const insertBooking = "INSERT INTO bookings (id, body) VALUES ($1, $2)";

// Number of bookings with this id on the primary.
std::size_t countRows(const Fleet& fleet, const std::string& id)
{
    auto rows = fleet.query(0, fleet.primary(0), "SELECT body FROM bookings WHERE id = $1", { id });
    return rows.size();
}

} // namespace

TEST(Outcomes, ALostCommitResponseWithAKeyIsSettledAndRunsOnce)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.setMemberFault(0, fleet.primary(0), "lose_commit_answers", 1);
    CallOptions options { fleet.key };
    options.idempotencyKey = "booking-1";
    auto first = fleet.caller(0).run("orders", insertBooking, { "b1", "two seats" }, options);
    EXPECT_TRUE(first.isDone()) << first.body;
    auto repeat = fleet.caller(1).run("orders", insertBooking, { "b1", "two seats" }, options);
    EXPECT_TRUE(repeat.isDone()) << repeat.body;
    EXPECT_TRUE(repeat.repeated);
    EXPECT_EQ(countRows(fleet, "b1"), 1u);
}

TEST(Outcomes, ALostCommitResponseWithoutAKeyIsUnknown)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.setMemberFault(0, fleet.primary(0), "lose_commit_answers", 1);
    auto response = fleet.caller(0).run("orders", insertBooking, { "b2", "x" }, { fleet.key });
    EXPECT_EQ(response.outcome, "unknown") << response.body;
    EXPECT_EQ(response.status, 504u);
    EXPECT_EQ(countRows(fleet, "b2"), 1u);
}

TEST(Outcomes, AKeyThatWasSettledAsNotRunNeverRuns)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    CallOptions options { fleet.key };
    options.idempotencyKey = "never";
    auto settlement = fleet.caller(0).settle("orders", options);
    EXPECT_EQ(settlement.outcome, "not_run") << settlement.body;
    EXPECT_EQ(settlement.code, "settled_not_run");
    auto late = fleet.caller(1).run("orders", insertBooking, { "b3", "x" }, options);
    EXPECT_EQ(late.outcome, "not_run") << late.body;
    EXPECT_EQ(countRows(fleet, "b3"), 0u);
}

TEST(Outcomes, AKeyOfAnotherRequestIsRefused)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    CallOptions options { fleet.key };
    options.idempotencyKey = "same";
    ASSERT_TRUE(fleet.caller(0).run("orders", insertBooking, { "b4", "x" }, options).isDone());
    auto other = fleet.caller(0).run("orders", insertBooking, { "b5", "x" }, options);
    EXPECT_EQ(other.code, "key_reused") << other.body;
    EXPECT_EQ(countRows(fleet, "b5"), 0u);
}

TEST(Outcomes, AWriteThatNoReplicaConfirmsIsUnknownAndNotAcknowledged)
{
    Fleet fleet({});
    ASSERT_TRUE(fleet.start());
    std::size_t primary = fleet.primary(0);
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != primary)
            fleet.member(0, i).sendSignal(SIGSTOP);
    }
    CallOptions options { fleet.key };
    options.timeoutMs = 800;
    auto response = fleet.caller(0).run("orders", insertBooking, { "b6", "x" }, options);
    EXPECT_EQ(response.outcome, "unknown") << response.body;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.member(0, i).sendSignal(SIGCONT);
}

// Two of four instances are killed with writes in flight, and their callers repeat the writes at the other two. Each
// idempotency key may write at most one row, and the outcome that its caller received must match the rows.
TEST(Outcomes, InstancesKilledDuringWritesDuplicateNothing)
{
    Fleet::Options fleetOptions;
    fleetOptions.instances = 4;
    Fleet fleet(fleetOptions);
    ASSERT_TRUE(fleet.start());
    for (std::size_t i = 0; i < 3; ++i)
        fleet.setMemberFault(0, i, "delay_ms", 20);
    std::vector<std::thread> callers;
    std::vector<std::string> outcomes(40);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        callers.emplace_back([&, i] {
            CallOptions options { fleet.key };
            options.idempotencyKey = "k" + std::to_string(i);
            options.timeoutMs = 3000;
            std::string id = "d" + std::to_string(i);
            CallResponse response = fleet.caller(i % 2).run("orders", insertBooking, { id, "x" }, options);
            // A caller whose write is not acknowledged repeats it at an instance that is not killed.
            for (int attempt = 0; attempt < 5 && !response.isDone(); ++attempt)
                response = fleet.caller(2 + i % 2).run("orders", insertBooking, { id, "x" }, options);
            outcomes[i] = response.outcome;
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(4));
        if (i == 15)
            fleet.instance(0).kill();
        if (i == 25)
            fleet.instance(1).kill();
    }
    for (std::thread& caller : callers)
        caller.join();
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        std::size_t count = countRows(fleet, "d" + std::to_string(i));
        EXPECT_LE(count, 1u);
        if (outcomes[i] == "done") {
            EXPECT_EQ(count, 1u);
        }
        if (outcomes[i] == "not_run") {
            EXPECT_EQ(count, 0u);
        }
    }
}
