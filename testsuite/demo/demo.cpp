// Demonstration on a small fleet on loopback: writes a booking, reads it back through another instance, kills the
// primary and repeats the write. Prints the result of each check; exits 1 if one fails.

#include "standin/fleet.h"
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>

using namespace catkinlock::standin;

namespace {

bool check(bool passed, const std::string& description)
{
    fmt::print("{}  {}\n", passed ? "passed" : "FAILED", description);
    return passed;
}

} // namespace

int main()
{
    Fleet fleet({});
    fmt::print("starting a platform, a database group of 3 members, and 3 entry instances...\n");
    if (!check(fleet.start(), "the fleet serves writes; the group has elected a primary without an operator"))
        return EXIT_FAILURE;
    bool passed = true;
    CallOptions options { fleet.key };
    options.idempotencyKey = "demo-booking";
    options.timeoutMs = 8000;
    const char* insertBooking = "INSERT INTO bookings (id, body) VALUES ($1, $2)";
    const char* selectBooking = "SELECT body FROM bookings WHERE id = $1";
    auto written = fleet.caller(0).run("orders", insertBooking, { "couple", "two seats" }, options);
    passed &= check(written.isDone(), "a booking is written through entry-0 and confirmed by a majority");
    CallOptions readOptions { fleet.key };
    readOptions.session = written.session;
    auto read = fleet.caller(1).run("rosters", selectBooking, { "couple" }, readOptions);
    passed &= check(read.isDone() && read.values.size() == 1,
        fmt::format(
            "the same session reads it back through entry-1, from {}", read.fromReplica ? "a replica" : "the primary"));
    std::size_t oldPrimary = fleet.primary(0);
    fleet.member(0, oldPrimary).kill();
    fmt::print("        member-{} was the primary and is killed\n", oldPrimary);
    auto killedAt = std::chrono::steady_clock::now();
    options.idempotencyKey = "demo-after";
    auto writtenAfterFailover = fleet.caller(2).run("orders", insertBooking, { "family", "four seats" }, options);
    double gapSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - killedAt).count();
    passed &= check(writtenAfterFailover.isDone() && gapSeconds < 8,
        fmt::format("the next booking is confirmed {:.2f} s later", gapSeconds));
    readOptions.session = writtenAfterFailover.session;
    auto readAfterFailover = fleet.caller(0).run("rosters", selectBooking, { "couple" }, readOptions);
    passed &= check(
        readAfterFailover.values.size() == 1, "the booking written before the failover is still stored exactly once");
    options.idempotencyKey = "demo-booking";
    auto repeated = fleet.caller(1).run("orders", insertBooking, { "couple", "two seats" }, options);
    passed &= check(repeated.isDone() && repeated.repeated,
        "repeating that booking at another instance returns the stored response");
    auto readAfterRepeat = fleet.caller(1).run("rosters", selectBooking, { "couple" }, readOptions);
    passed &= check(readAfterRepeat.values.size() == 1, "the repeat did not run the statement again");
    fmt::print("{}\n", passed ? "all checks passed" : "a check failed");
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
