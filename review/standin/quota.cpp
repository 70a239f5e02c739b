// One tenant after the other, each with a rate of 100 a second and a burst of 300, is quiet, then runs some operations at
// one front until that has to ask the other one for a token, is quiet for 2 s, and then sends all that it can at both.
// Checks that no more operations are sent and run in any 5 s than the rules allow.
#include "fleet.h"
#include <boost/json/src.hpp>

using namespace review;

namespace {

constexpr int rate = 100;
constexpr int burst = 300;
constexpr long windowMs = 5000;
constexpr double excess = 0.1;
constexpr int slack = 20;
constexpr double limit = (rate * windowMs / 1000.0 + burst) * (1 + excess) + slack;
// Sessions at the asking front and at the other one.
constexpr int askingSessions = 40;
constexpr int burstSessions = 230;
// Names by which the first front holds most of the tenant's rate in most runs.
const std::vector<int> tenants { 37, 17, 16, 34, 60, 57, 24, 23, 12, 9, 19 };
// The front that has to ask, and the one that most operations are sent to afterwards.
constexpr int askingFront = 1;
constexpr int burstFront = 0;

struct Tenant {
    std::string key;
    std::map<std::string, long> sent;
    // When an operation was answered, and how.
    std::map<std::string, std::string> answered;
    std::vector<std::shared_ptr<Session>> sessions[2];
    bool stopped = false;
};

asio::awaitable<Reply> runRead(Fleet& fleet, std::shared_ptr<Tenant> tenant, std::shared_ptr<Session> session)
{
    std::string id = tenant->key + "-" + fleet.nextId();
    tenant->sent[id] = fleet.record.now();
    Reply reply = co_await session->query(id, "READ item1");
    std::string how = reply.done ? "DONE" : reply.complete ? reply.error.substr(0, reply.error.find(' ')) : "nothing";
    tenant->answered[id] = std::to_string(fleet.record.now()) + " " + how;
    co_return reply;
}

// Each operation that ran: when it was sent, run and answered.
void recordRuns(Fleet& fleet, const Tenant& tenant)
{
    for (const auto& [id, sentAt] : tenant.sent) {
        auto ran = fleet.group.ran.find(id);
        auto answered = tenant.answered.find(id);
        if (ran != fleet.group.ran.end())
            fleet.record.write(id + " sent " + std::to_string(sentAt) + " run " + std::to_string(ran->second)
                + " answered " + (answered == tenant.answered.end() ? "no" : answered->second));
    }
}

asio::awaitable<void> hammer(Fleet& fleet, std::shared_ptr<Tenant> tenant, std::shared_ptr<Session> session)
{
    while (!tenant->stopped) {
        Reply reply = co_await runRead(fleet, tenant, session);
        if (!reply.complete)
            co_return;
        co_await pause(reply.done ? Ms(5) : Ms(1300));
    }
}

// About 60 operations a second in all, the tenant's usual.
asio::awaitable<void> runUsual(Fleet& fleet, std::shared_ptr<Tenant> tenant, std::shared_ptr<Session> session)
{
    while (!tenant->stopped) {
        Reply reply = co_await runRead(fleet, tenant, session);
        if (!reply.complete)
            co_return;
        co_await pause(Ms(65));
    }
}

// The most operations that were both sent and run in one window.
unsigned long mostInWindow(Fleet& fleet, const Tenant& tenant)
{
    std::vector<std::pair<long, long>> runs;
    for (const auto& [id, sentAt] : tenant.sent) {
        auto ran = fleet.group.ran.find(id);
        if (ran != fleet.group.ran.end())
            runs.push_back({ sentAt, ran->second });
    }
    std::sort(runs.begin(), runs.end());
    unsigned long most = 0;
    for (std::size_t first = 0; first < runs.size(); ++first) {
        unsigned long count = 0;
        for (std::size_t i = first; i < runs.size() && runs[i].first < runs[first].first + windowMs; ++i)
            count += runs[i].second < runs[first].first + windowMs;
        most = std::max(most, count);
    }
    return most;
}

asio::awaitable<unsigned long> playTenant(Fleet& fleet, std::string key, bool trouble)
{
    auto tenant = std::make_shared<Tenant>();
    tenant->key = key;
    for (int front = 0; front < 2; ++front) {
        int count = front == askingFront ? askingSessions : burstSessions;
        for (int i = 0; i < count; ++i) {
            auto session = std::make_shared<Session>(fleet.context);
            unsigned short port = fleet.fronts[front]->callers;
            bool open = co_await session->open(port, "rosters", key);
            if (open)
                tenant->sessions[front].push_back(session);
        }
    }
    // Until an operation has to wait for a token of the other front.
    int before = 0;
    for (; before < 80; ++before) {
        long startedAt = fleet.record.now();
        co_await runRead(fleet, tenant, tenant->sessions[askingFront].front());
        if (before > 3 && fleet.record.now() - startedAt >= 5)
            break;
    }
    co_await pause(Ms(2000));
    std::size_t sentBefore = tenant->sent.size();
    int front = burstFront;
    for (int i = 0; i < 2; ++i, front = 1 - front) {
        auto& sessions = tenant->sessions[front];
        for (std::size_t n = 0; n < (trouble ? sessions.size() : 2); ++n) {
            auto session = sessions[n];
            if (trouble)
                start(fleet.context, [&fleet, tenant, session] { return hammer(fleet, tenant, session); });
            else
                start(fleet.context, [&fleet, tenant, session] { return runUsual(fleet, tenant, session); });
        }
    }
    co_await pause(Ms(5000));
    std::size_t sent = tenant->sent.size() - sentBefore;
    co_await pause(Ms(200));
    tenant->stopped = true;
    co_await pause(Ms(400));
    unsigned long most = mostInWindow(fleet, *tenant);
    fleet.record.write(key + ": " + std::to_string(before) + " operations before the pause, at most "
        + std::to_string(most) + " of " + std::to_string(sent) + " run in " + std::to_string(windowMs) + " ms");
    if (most > limit)
        recordRuns(fleet, *tenant);
    co_return most;
}

asio::awaitable<void> play(Fleet& fleet, bool trouble)
{
    if (!co_await fleet.awaitReady())
        fleet.end(2);
    co_await pause(Ms(9000));
    unsigned long most = 0;
    for (int i : tenants) {
        std::string key = "key" + std::to_string(i);
        unsigned long found = co_await playTenant(fleet, key, trouble);
        most = std::max(most, found);
    }
    fleet.record.write("at most " + std::to_string(most) + ", the limit is " + std::to_string(limit));
    fleet.end(most > limit ? 1 : most > (trouble ? 600 : 150) ? 0 : 2);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    Fleet fleet(argv[1], argv[2]);
    fleet.changeConfig = [](json::object& config) {
        json::array list;
        for (int i : tenants) {
            json::array keys;
            keys.push_back(json::string("key" + std::to_string(i)));
            list.push_back(json::object { { "name", "tenant" + std::to_string(i) }, { "apiKeys", keys },
                { "priority", 1 }, { "ratePerS", rate }, { "burst", burst } });
        }
        config["tenants"] = list;
    };
    fleet.run(2);
    for (const auto& member : fleet.group.members)
        member->workTime = Ms(1);
    bool trouble = std::string(argv[3]) != "0";
    start(fleet.context, [&fleet, trouble] { return play(fleet, trouble); });
    fleet.context.run();
}
