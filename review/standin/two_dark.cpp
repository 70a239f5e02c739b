// A replica receives nothing for 6.5 s. Meanwhile the primary and the other replica, which has every acknowledged
// commit, go dark for 7 s and come back with their logs. Checks that no commit that a client was told of is missing
// from the log of a promoted member.
#include "fleet.h"
#include <boost/json/src.hpp>
#include <random>

using namespace review;

namespace {

struct Told {
    std::set<std::string> done;
    unsigned long refused = 0;
};

constexpr int rounds = 4;

// A session that mostly reads; about one statement a second is a write.
asio::awaitable<void> runClient(Fleet& fleet, std::shared_ptr<Front> front, Told& told, unsigned seed)
{
    std::minstd_rand random(seed);
    for (;;) {
        Session session(fleet.context);
        bool open = co_await session.open(front->callers, "orders", "key1");
        for (int i = 0; open && i < 20; ++i) {
            bool writes = random() % 5 == 0;
            std::string id = fleet.nextId();
            std::string text = writes ? "WRITE item1 data" : "READ item1";
            Reply reply = co_await session.query(id, text);
            open = reply.complete;
            bool done = reply.done && reply.signature == "sig." + id;
            if (done && writes) {
                told.done.insert(id);
                fleet.record.write("client is told by " + front->name + " that " + id + " is committed");
            }
            told.refused += !done;
            co_await pause(Ms(100 + random() % 200));
        }
        co_await pause(Ms(50));
    }
}

Member* primaryOf(Fleet& fleet)
{
    Member* found = nullptr;
    for (const auto& member : fleet.group.members) {
        if (member->primary && (!found || member->term > found->term))
            found = member.get();
    }
    return found;
}

// One replica receives nothing for 6.5 s; the other two members are down for 7 s from 0.3 s later on.
asio::awaitable<void> disturb(Fleet& fleet)
{
    Member* primary = primaryOf(fleet);
    std::vector<Member*> replicas;
    for (const auto& member : fleet.group.members) {
        if (member.get() != primary)
            replicas.push_back(member.get());
    }
    if (!primary)
        co_return;
    fleet.record.write(replicas[1]->id + " receives nothing");
    replicas[1]->deaf = true;
    co_await pause(Ms(300));
    primary->crash(Ms(7000));
    replicas[0]->crash(Ms(7000));
    co_await pause(Ms(6200));
    replicas[1]->deaf = false;
    fleet.record.write(replicas[1]->id + " receives again");
}

asio::awaitable<void> play(Fleet& fleet, bool trouble)
{
    Told told;
    if (!co_await fleet.awaitReady())
        fleet.end(2);
    unsigned seed = 1;
    for (const auto& front : fleet.fronts) {
        start(fleet.context, [&fleet, front, &told, seed] { return runClient(fleet, front, told, seed); });
        ++seed;
    }
    co_await pause(Ms(4000));
    for (int round = 0; round < rounds; ++round) {
        if (trouble)
            co_await disturb(fleet);
        co_await pause(Ms(16000));
    }
    std::set<std::string> lost;
    for (const std::string& id : fleet.group.lost) {
        if (told.done.count(id))
            lost.insert(id);
    }
    fleet.record.write("told " + std::to_string(told.done.size()) + ", refused " + std::to_string(told.refused)
        + ", promotions " + std::to_string(fleet.group.promotions) + ", lost " + std::to_string(lost.size()));
    bool ran = told.done.size() >= 100;
    fleet.end(!lost.empty() ? 1 : ran ? 0 : 2);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    Fleet fleet(argv[1], argv[2]);
    fleet.run(13);
    bool trouble = std::string(argv[3]) != "0";
    start(fleet.context, [&fleet, trouble] { return play(fleet, trouble); });
    fleet.context.run();
}
