// A small fleet on loopback: a booking, its read through another instance, and the loss of a primary. Prints what
// happened; exits 1 if any promise broke.

#include "standin/fleet.h"
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>

using namespace catkinlock::standin;

namespace {

bool check(bool kept, const std::string& what)
{
    fmt::print("{}  {}\n", kept ? "kept  " : "BROKEN", what);
    return kept;
}

} // namespace

int main()
{
    Fleet fleet({});
    fmt::print("starting a platform, a database group of 3 members, and 3 entry instances...\n");
    if (!check(fleet.start(), "the fleet serves writes; its group elected a primary by itself"))
        return EXIT_FAILURE;
    bool kept = true;
    CallOptions options { fleet.key };
    options.idempotencyKey = "demo-booking";
    options.timeoutMs = 8000;
    const char* insert = "INSERT INTO bookings (id, body) VALUES ($1, $2)";
    const char* select = "SELECT body FROM bookings WHERE id = $1";
    auto written = fleet.caller(0).run("orders", insert, { "couple", "two seats" }, options);
    kept &= check(written.isDone(), "a booking is written through entry-0 and confirmed by a majority");
    CallOptions reading { fleet.key };
    reading.session = written.session;
    auto read = fleet.caller(1).run("rosters", select, { "couple" }, reading);
    kept &= check(read.isDone() && read.values.size() == 1,
        fmt::format(
            "the same session reads it back through entry-1, from {}", read.fromReplica ? "a replica" : "the primary"));
    std::size_t lost = fleet.primary(0);
    fleet.member(0, lost).kill();
    fmt::print("        member-{} was the primary and is killed\n", lost);
    auto killedAt = std::chrono::steady_clock::now();
    options.idempotencyKey = "demo-after";
    auto after = fleet.caller(2).run("orders", insert, { "family", "four seats" }, options);
    double gap = std::chrono::duration<double>(std::chrono::steady_clock::now() - killedAt).count();
    kept &= check(after.isDone() && gap < 8, fmt::format("the next booking is confirmed {:.2f} s later", gap));
    reading.session = after.session;
    auto both = fleet.caller(0).run("rosters", select, { "couple" }, reading);
    kept &= check(both.values.size() == 1, "the booking from before is still there, once");
    options.idempotencyKey = "demo-booking";
    auto repeated = fleet.caller(1).run("orders", insert, { "couple", "two seats" }, options);
    kept &= check(repeated.isDone() && repeated.repeated, "a repeat of it at another instance gets the first answer");
    auto again = fleet.caller(1).run("rosters", select, { "couple" }, reading);
    kept &= check(again.values.size() == 1, "and runs nothing a second time");
    fmt::print("{}\n", kept ? "all promises kept" : "a promise broke");
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
