// Two fronts get SIGTERM in turn, twice each, and start again, while clients run transactions of twelve reads. The reads take 250 ms;
// the first pause of a client is 700 to 1,000 ms, the later ones are 1 ms. Checks that no request that a front has read and
// passed on to a member ends without an answer.
#include "fleet.h"
#include <boost/json/src.hpp>
#include <random>

using namespace review;

namespace {

constexpr Ms grace { 6000 };
constexpr long routeTimeoutMs = 2000;
constexpr long latestExcusedMs = 3000;

struct Counts {
    unsigned long done = 0;
    unsigned long refused = 0;
    unsigned long broken = 0;
    unsigned long lost = 0;
};

std::shared_ptr<Front> choose(Fleet& fleet, unsigned long hash)
{
    std::vector<std::shared_ptr<Front>> usable;
    for (const auto& front : fleet.fronts) {
        if (front->inRotation)
            usable.push_back(front);
    }
    // Fewer than half in rotation: the platform uses all.
    if (usable.size() * 2 < fleet.fronts.size())
        usable = fleet.fronts;
    return usable[hash % usable.size()];
}

// Sends a statement. False if the connection ended or the statement failed.
asio::awaitable<bool> runStatement(
    Fleet& fleet, Counts& counts, std::shared_ptr<Front> front, Session& session, std::string text)
{
    std::string id = fleet.nextId();
    long sentAt = fleet.record.now();
    Reply reply = co_await session.query(id, text);
    if (reply.complete) {
        ++(reply.done ? counts.done : counts.refused);
        co_return reply.done;
    }
    ++counts.broken;
    long endedAt = fleet.record.now();
    long terminatedAt = front->terminatedAt;
    bool ran = fleet.group.ran.count(id);
    bool planned = terminatedAt >= 0 && sentAt >= terminatedAt && endedAt - terminatedAt <= grace.count() + 1000;
    bool excused = sentAt - terminatedAt <= latestExcusedMs || endedAt - sentAt >= routeTimeoutMs;
    bool isLost = ran && planned && !excused;
    counts.lost += isLost;
    fleet.record.write(std::string(isLost ? "LOST " : "broken off ") + id + " " + text + " at " + front->name + ": sent "
        + std::to_string(sentAt - terminatedAt) + " ms and broken off " + std::to_string(endedAt - terminatedAt)
        + " ms after its SIGTERM, " + (ran ? "passed on to a member" : "not passed on"));
    co_return false;
}

asio::awaitable<void> runClient(Fleet& fleet, Counts& counts, unsigned seed)
{
    std::minstd_rand random(seed);
    co_await pause(Ms(random() % 4000));
    for (;;) {
        auto front = choose(fleet, random());
        Session session(fleet.context);
        bool open = co_await session.open(front->callers, "rosters", "key1");
        if (open)
            open = co_await runStatement(fleet, counts, front, session, "BEGIN READ");
        for (int i = 0; open && i < 10; ++i) {
            open = co_await runStatement(fleet, counts, front, session, "READ item" + std::to_string(i));
            co_await pause(Ms(i < 1 ? 700 + random() % 300 : 1));
        }
        if (open)
            co_await runStatement(fleet, counts, front, session, "COMMIT");
        co_await pause(Ms(100));
    }
}

asio::awaitable<void> play(Fleet& fleet, bool trouble)
{
    Counts counts;
    if (!co_await fleet.awaitReady())
        fleet.end(2);
    for (unsigned seed = 1; seed <= 60; ++seed)
        start(fleet.context, [&fleet, &counts, seed] { return runClient(fleet, counts, seed); });
    co_await pause(Ms(6000));
    for (int round = 0; round < 2; ++round) {
        for (const auto& front : fleet.fronts) {
            if (trouble)
                front->terminate(grace);
            co_await pause(Ms(12000));
        }
    }
    fleet.record.write("answered " + std::to_string(counts.done) + ", refused " + std::to_string(counts.refused)
        + ", broken off " + std::to_string(counts.broken) + ", lost " + std::to_string(counts.lost));
    bool ran = counts.done >= 200;
    fleet.end(counts.lost ? 1 : ran ? 0 : 2);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    Fleet fleet(argv[1], argv[2]);
    fleet.run(2);
    for (const auto& member : fleet.group.members)
        member->workTime = Ms(250);
    bool trouble = std::string(argv[3]) != "0";
    start(fleet.context, [&fleet, trouble] { return play(fleet, trouble); });
    fleet.context.run();
}
