#include "fault_soak/soak_fleet.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>

namespace catkinlock::standin {

namespace asio = boost::asio;

namespace {

    using Milliseconds = std::chrono::milliseconds;

    constexpr std::size_t groupCount = 3;
    constexpr std::size_t memberCount = 3;
    constexpr ReplicatedMember::Capacity memberCapacity { 3, 24 };
    // Connections of the members of each group. The first one's are so few that its operations go through gateways,
    // which are stopped, killed and suspended like the other instances.
    constexpr std::array<int, groupCount> maxMemberConnections { 30, 46, 46 };
    constexpr Milliseconds memberWorkTime { 20 };
    constexpr Milliseconds promotionTime { 1000 };
    // Callers of each route.
    constexpr std::size_t callersPerRoute = 20;
    constexpr Milliseconds tendInterval { 20 };
    constexpr Milliseconds restartDelay { 300 };
    // An instance that is throttled stands still this long, about once in as many steps.
    constexpr Milliseconds throttleTime { 80 };
    constexpr unsigned throttleSteps { 20 };
    // A planned stop concerns requests for this long after the instance had to have ended.
    constexpr Milliseconds afterStop { 1000 };
    // A reload or a change concerns requests for this long.
    constexpr Milliseconds afterReload { 3000 };
    constexpr Milliseconds afterChange { 4000 };
    // A member that leaves serves for this long.
    constexpr Milliseconds leavingTime { 7500 };
    // Errors that say that a statement had no effect.
    constexpr std::array notRunErrors { "ERR BUSY", "ERR ABORTED", "ERR LAG", "ERR READONLY", "ERR MISROUTED",
        "ERR CONNLIMIT" };
    constexpr const char* leaderKey = "catkinlock/duty/promotion";

    struct RouteShape {
        const char* kind;
        int timeoutMs;
        int targetLatencyMs;
        int priority;
        int maxStalenessMs;
        CallerHabit habit;
    };

    const std::vector<RouteShape>& routeShapes()
    {
        static const std::vector<RouteShape> shapes {
            { "primary", 1000, 200, 1, 1500, { "", false, 0.2, 0.25, Milliseconds(1100), Milliseconds(1000) } },
            { "bounded_staleness", 2000, 600, 2, 1500, { "", true, 0, 0.1, Milliseconds(1100), Milliseconds(4000) } },
            { "read_your_writes", 1000, 400, 2, 2500,
                { "", false, 0.12, 0.12, Milliseconds(240), Milliseconds(1000) } },
        };
        return shapes;
    }

    std::string databaseOf(const RouteShape& shape, std::size_t group)
    {
        return fmt::format("{}-{}", shape.kind, group);
    }

    std::string routeText(const RouteShape& shape, std::size_t group, const std::string& database)
    {
        return fmt::format(R"({{"name":"r-{0}","database":"{0}","routeKind":"{1}","timeoutMs":{2},)"
                           R"("targetLatencyMs":{3},"priority":{4},"service":"ledger{5}","maxStalenessMs":{6}}})",
            database, shape.kind, shape.timeoutMs, shape.targetLatencyMs, shape.priority, group, shape.maxStalenessMs);
    }

    // A planned signal that comes before the main function ends a process that has accepted nothing and said nothing.
    bool wasEndedBeforeItBegan(Process& process)
    {
        bool isPlanned = process.endingSignal() == SIGTERM || process.endingSignal() == SIGHUP;
        return isPlanned && process.output().empty();
    }

} // namespace

SoakFleet::SoakFleet(std::string program, std::size_t instanceCount, int drainSeconds, unsigned seed)
    : seed(seed)
    , drainSeconds(drainSeconds)
    , random(seed)
{
    this->store = std::make_shared<KvService>(this->standInContext, [this](const std::string& id) {
        for (const auto& group : this->groups)
            group->promote(id);
    });
    std::string address = this->store->start();
    for (std::size_t i = 0; i < groupCount; ++i) {
        this->groups.push_back(std::make_unique<ReplicatedGroup>(
            this->standInContext, fmt::format("ledger{}", i), memberCount, fmt::format("g{}m", i)));
        this->groups[i]->setPromotionTime(promotionTime);
        this->groups[i]->start(this->store);
        for (const auto& member : this->groups[i]->members()) {
            member->setCapacity(memberCapacity);
            member->setWorkTime(memberWorkTime);
        }
    }
    this->store->put("op/config", this->configuration());
    this->standInThread = std::thread([this] {
        auto guard = asio::make_work_guard(this->standInContext);
        this->standInContext.run();
    });
    this->balancer = std::make_shared<Balancer>(this->callerContext, seed);
    this->fronts = std::make_unique<FrontFleet>(std::move(program), address, testing::TempDir());
    this->fronts->setDrainSeconds(drainSeconds);
    for (std::size_t i = 0; i < instanceCount; ++i) {
        this->fronts->launchNew();
        this->noteNewInstance();
    }
    this->callerThread = std::thread([this] {
        auto guard = asio::make_work_guard(this->callerContext);
        this->callerContext.run();
    });
}

SoakFleet::~SoakFleet()
{
    this->fronts->killAll();
    this->callerContext.stop();
    this->callerThread.join();
    this->standInContext.stop();
    this->standInThread.join();
}

Milliseconds SoakFleet::now() const
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - this->log->startedAt);
}

void SoakFleet::noteEvent(FleetEvent event) { this->events.push_back(std::move(event)); }

void SoakFleet::noteNewInstance()
{
    std::size_t i = this->fronts->size() - 1;
    this->states.emplace_back();
    this->outputs.emplace_back();
    std::string callers = this->fronts->callerAddress(i);
    std::string ready = this->fronts->readyAddress(i);
    asio::post(this->callerContext, [balancer = this->balancer, callers, ready] { balancer->add(callers, ready); });
}

std::string SoakFleet::configuration() const
{
    std::string routes;
    std::string services;
    for (std::size_t group = 0; group < groupCount; ++group) {
        for (const RouteShape& shape : routeShapes())
            routes += routeText(shape, group, databaseOf(shape, group)) + ",";
        services += fmt::format(R"({}{{"name":"ledger{}","maxConns":{},"syncReplicas":1}})", group ? "," : "", group,
            maxMemberConnections[group]);
    }
    // Every second version has another route.
    std::string extra = this->configurationVersion % 2 ? "extra" : "further";
    routes += routeText(routeShapes().front(), 0, extra);
    return fmt::format(R"({{"configVersion":{},"routes":[{}],"services":[{}],"limits":{{"txIdleMs":3000}},)"
                       R"("tenants":[{{"name":"tours","apiKeys":["key-1"],"ratePerS":5000,"burst":5000}}]}})",
        this->configurationVersion, routes, services);
}

void SoakFleet::runOnStandInThread(const std::function<void()>& action)
{
    std::promise<void> done;
    asio::post(this->standInContext, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void SoakFleet::startCallers()
{
    unsigned number = 0;
    for (std::size_t group = 0; group < groupCount; ++group) {
        for (const RouteShape& shape : routeShapes()) {
            CallerHabit habit = shape.habit;
            habit.database = databaseOf(shape, group);
            for (std::size_t i = 0; i < callersPerRoute; ++i)
                this->callers.push_back(std::make_shared<LoadCaller>(
                    this->callerContext, this->balancer, this->log, habit, this->seed * 1000 + number++));
        }
    }
    asio::post(this->callerContext, [this] {
        for (const auto& caller : this->callers)
            caller->start();
    });
}

void SoakFleet::endCallers()
{
    asio::post(this->callerContext, [this] {
        for (const auto& caller : this->callers)
            caller->end();
    });
    bool running = true;
    while (running) {
        this->runFor(tendInterval);
        std::promise<bool> found;
        asio::post(this->callerContext, [&] {
            found.set_value(std::any_of(
                this->callers.begin(), this->callers.end(), [](const auto& caller) { return !caller->hasEnded(); }));
        });
        running = found.get_future().get();
    }
}

void SoakFleet::runFor(Milliseconds time)
{
    Milliseconds until = this->now() + time;
    do {
        this->tend();
        std::this_thread::sleep_for(tendInterval);
    } while (this->now() < until);
}

void SoakFleet::tend()
{
    for (std::size_t i = 0; i < this->states.size(); ++i)
        this->tendInstance(i);
    for (const Replacement& due : this->replacements) {
        if (this->now() < due.at)
            continue;
        std::string id = fmt::format("n{}", ++this->replacedMembers);
        this->runOnStandInThread([&] { this->groups[due.group]->members()[due.member]->handOver(id); });
    }
    std::erase_if(this->replacements, [this](const Replacement& due) { return this->now() >= due.at; });
}

void SoakFleet::tendInstance(std::size_t i)
{
    InstanceState& state = this->states[i];
    Process& process = this->fronts->process(i);
    if (state.startAt) {
        if (this->now() >= *state.startAt) {
            state = {};
            this->fronts->launch(i);
        }
        return;
    }
    if (this->throttled)
        this->throttle(i);
    if (state.resumeAt && this->now() >= *state.resumeAt) {
        state.resumeAt.reset();
        process.sendSignal(SIGCONT);
    }
    bool overdue = state.killAt && this->now() >= *state.killAt;
    if (overdue) {
        if (!state.suspended)
            std::printf("instance %zu is overdue, its threads:\n%s", i, process.threadStates().c_str());
        process.kill();
    }
    if (!process.hasEnded())
        return;
    // One that is suspended can't end in time.
    bool endedBadly
        = overdue ? !state.suspended : !state.killed && process.exitStatus() != 0 && !wasEndedBeforeItBegan(process);
    this->badEnds += endedBadly;
    this->outputs[i] += process.output();
    state.startAt = this->now() + restartDelay;
}

void SoakFleet::throttle(std::size_t i)
{
    InstanceState& state = this->states[i];
    if (state.resumeAt || this->random() % throttleSteps)
        return;
    this->fronts->process(i).sendSignal(SIGSTOP);
    state.resumeAt = this->now() + throttleTime;
}

void SoakFleet::stopInstance(std::size_t i)
{
    InstanceState& state = this->states[i];
    if (state.startAt)
        return;
    this->fronts->process(i).sendSignal(SIGTERM);
    if (state.killAt)
        return;
    state.killAt = this->now() + std::chrono::seconds(this->drainSeconds);
    this->noteEvent({ FleetEvent::Kind::Stop, i, this->now(), *state.killAt + afterStop, "stop" });
}

void SoakFleet::reloadInstance(std::size_t i)
{
    this->fronts->process(i).sendSignal(SIGHUP);
    this->noteEvent({ FleetEvent::Kind::Reload, i, this->now(), this->now() + afterReload, "reload" });
}

void SoakFleet::killInstance(std::size_t i)
{
    if (this->states[i].startAt)
        return;
    this->noteEvent({ FleetEvent::Kind::Fault, i, this->now(), this->now(), "kill" });
    this->fronts->process(i).sendSignal(SIGKILL);
    this->states[i].killed = true;
}

void SoakFleet::suspendInstance(std::size_t i, Milliseconds time)
{
    InstanceState& state = this->states[i];
    if (state.startAt || state.killAt)
        return;
    this->fronts->process(i).sendSignal(SIGSTOP);
    state.suspended = true;
    state.resumeAt = this->now() + time;
    this->noteEvent({ FleetEvent::Kind::Fault, i, this->now(), *state.resumeAt, "suspend" });
}

void SoakFleet::addInstance()
{
    this->fronts->launchNew();
    this->noteNewInstance();
    this->noteEvent(
        { FleetEvent::Kind::Change, this->states.size() - 1, this->now(), this->now() + afterChange, "add" });
}

void SoakFleet::changeConfiguration()
{
    this->configurationVersion += 3;
    std::string text = this->configuration();
    this->noteEvent({ FleetEvent::Kind::Change, 0, this->now(), this->now() + afterChange, "configuration" });
    this->runOnStandInThread([&] { this->store->put("op/config", text); });
}

void SoakFleet::replaceMember(std::size_t group, std::size_t member)
{
    this->replacements.push_back({ group, member, this->now() + leavingTime });
    this->noteEvent({ FleetEvent::Kind::Change, 0, this->now(), this->now() + leavingTime + afterChange,
        fmt::format("member {} of group {} leaves", member, group) });
    this->runOnStandInThread([&] { this->groups[group]->members()[member]->setDraining(true); });
}

void SoakFleet::disturb(const std::string& text, Milliseconds duration, const std::function<void()>& action)
{
    this->noteEvent({ FleetEvent::Kind::MemberFault, 0, this->now(), this->now() + duration, text });
    this->runOnStandInThread(action);
}

std::optional<std::size_t> SoakFleet::leader()
{
    std::string record;
    this->runOnStandInThread([&] {
        auto contents = this->store->contents();
        record = contents.count(leaderKey) ? contents.at(leaderKey) : "";
    });
    for (std::size_t i = 0; i < this->fronts->size(); ++i) {
        if (record.find(fmt::format("\"i{}\"", i)) != std::string::npos)
            return i;
    }
    return std::nullopt;
}

UnansweredRequests SoakFleet::unanswered()
{
    std::set<std::string> seen;
    this->runOnStandInThread([&] {
        for (const auto& group : this->groups)
            seen.insert(group->seen().begin(), group->seen().end());
    });
    return findUnanswered(this->log->requests, this->events, seen);
}

std::size_t SoakFleet::lostCommits()
{
    std::set<std::string> lost;
    this->runOnStandInThread([&] {
        for (const auto& group : this->groups)
            lost.merge(group->lostWrites());
    });
    return static_cast<std::size_t>(std::count_if(
        lost.begin(), lost.end(), [this](const std::string& id) { return this->log->told.count(id) != 0; }));
}

std::size_t SoakFleet::repeatedWrites()
{
    std::size_t count = 0;
    this->runOnStandInThread([&] {
        for (const auto& group : this->groups)
            count += group->repeatedWrites().size();
    });
    return count;
}

std::set<std::string> SoakFleet::falselyRefused()
{
    std::set<std::string> kept;
    this->runOnStandInThread([&] {
        for (const auto& group : this->groups)
            kept.merge(group->keptWrites());
    });
    std::set<std::string> found;
    for (const std::string& id : this->log->rolledBack) {
        if (kept.count(id))
            found.insert(id);
    }
    for (const RequestRecord& request : this->log->requests) {
        bool refused = std::any_of(notRunErrors.begin(), notRunErrors.end(),
            [&request](const char* error) { return request.response.find(error) != std::string::npos; });
        if (refused && kept.count(request.id))
            found.insert(request.id);
    }
    return found;
}

std::map<std::string, std::size_t> SoakFleet::errors() const
{
    std::map<std::string, std::size_t> counts;
    for (const RequestRecord& request : this->log->requests) {
        std::size_t start = request.response.find("ERR ");
        if (start != std::string::npos)
            ++counts[request.response.substr(start, request.response.find('\r', start) - start)];
    }
    return counts;
}

std::size_t SoakFleet::stops() const
{
    return static_cast<std::size_t>(std::count_if(this->events.begin(), this->events.end(),
        [](const FleetEvent& event) { return event.kind == FleetEvent::Kind::Stop; }));
}

std::size_t SoakFleet::promotions()
{
    std::size_t count = 0;
    this->runOnStandInThread([&] {
        for (const auto& group : this->groups)
            count += group->promotions();
    });
    return count;
}

bool SoakFleet::hasPrinted(const std::string& text)
{
    bool found = false;
    for (std::size_t i = 0; i < this->instances(); ++i)
        found = found || this->output(i).find(text) != std::string::npos;
    return found;
}

std::string SoakFleet::summary()
{
    auto found = this->unanswered();
    return fmt::format(
        "seed {}: {} operations, {} served, {} connections refused, {} promotions; {} commits lost; requests "
        "without an answer: {} lost, {} other statements, {} openings",
        this->seed, this->log->operations, this->log->served, this->log->refusedConnections, this->promotions(),
        this->lostCommits(), found.lost.size(), found.cut.size(), found.openings.size());
}

std::string SoakFleet::history()
{
    std::string text;
    for (const FleetEvent& event : this->events)
        text += fmt::format(
            "{} to {} ms: {} (instance {})\n", event.from.count(), event.until.count(), event.text, event.instance);
    this->runOnStandInThread([&] {
        for (const auto& group : this->groups)
            text += group->service() + "\n" + group->history();
    });
    return text;
}

} // namespace catkinlock::standin
