#include "standin/front_fleet.h"

#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace catkinlock::standin {

namespace {

    // Ports below the kernel's range for outgoing connections, so that no connection takes one while its instance is
    // restarted.
    constexpr int callerPort = 8465;
    constexpr int readyPort = 8460;
    constexpr int metricsPort = 8461;
    constexpr int peerPort = 7560;

    // A loopback host of its own for each instance of each test process.
    std::string hostOf(std::size_t instance)
    {
        auto process = static_cast<unsigned>(getpid());
        return fmt::format("127.{}.{}.{}", 1 + process % 250, process / 250 % 250, instance + 1);
    }

} // namespace

std::string lineConfiguration(
    int version, const std::string& apiKeys, const std::vector<std::string>& routeKinds, int maxConnections)
{
    std::string limits = R"("limits":{"txIdleMs":3000})";
    std::string routes;
    for (const std::string& routeKind : routeKinds)
        routes += fmt::format(R"({}{{"name":"r","database":"{}-db","routeKind":"{}","timeoutMs":1500,)"
                              R"("targetLatencyMs":400,"priority":1,"service":"ledger","maxStalenessMs":2500}})",
            routes.empty() ? "" : ",", routeKind, routeKind);
    return fmt::format(R"({{"configVersion":{},"routes":[{}],"services":[{{"name":"ledger","maxConns":{},)"
                       R"("syncReplicas":1}}],{},"tenants":[{{"name":"tours","apiKeys":[{}],"ratePerS":500,)"
                       R"("burst":500}}]}})",
        version, routes, maxConnections, limits, apiKeys);
}

FrontFleet::FrontFleet(std::string program, std::string store, std::string folder)
    : program(std::move(program))
    , store(std::move(store))
    , folder(std::move(folder))
{
}

bool FrontFleet::add()
{
    this->launchNew();
    return this->awaitReady(this->processes.size() - 1);
}

void FrontFleet::relaunch(std::size_t i)
{
    this->processes[i]->kill();
    this->launch(i);
}

bool FrontFleet::restart(std::size_t i)
{
    this->relaunch(i);
    return this->awaitReady(i);
}

void FrontFleet::launchNew()
{
    this->addSettings();
    this->processes.emplace_back();
    this->launch(this->processes.size() - 1);
}

void FrontFleet::launch(std::size_t i)
{
    this->processes[i] = std::make_unique<Process>(
        std::vector<std::string> { this->program, "front", "--settings", this->settingsPaths[i] });
}

bool FrontFleet::awaitReady(std::size_t i) { return !this->processes[i]->awaitJsonLine("ready").empty(); }

void FrontFleet::addSettings()
{
    std::size_t i = this->settingsPaths.size();
    std::string host = hostOf(i);
    this->callerAddresses.push_back(fmt::format("{}:{}", host, callerPort));
    this->readyAddresses.push_back(fmt::format("{}:{}", host, readyPort));
    this->metricsAddresses.push_back(fmt::format("{}:{}", host, metricsPort));
    this->peerAddresses.push_back(fmt::format("{}:{}", host, peerPort));
    std::string path = fmt::format("{}catkinlock_front_{}_{}.toml", this->folder, getpid(), i);
    std::ofstream(path) << fmt::format("[instance]\nname = \"i{}\"\ndata_centre = \"a\"\ncallers = \"{}\"\n"
                                       "ready = \"{}\"\nready_path = \"/ready\"\nmetrics = \"{}\"\npeer = \"{}\"\n"
                                       "drain_seconds = {}\n"
                                       "[platform]\nadapter = \"lines\"\nstore = \"{}\"\npromotions = \"{}\"\n"
                                       "[fleet]\nsecret = \"a secret of the test fleet\"\n{}",
        i, this->callerAddresses[i], this->readyAddresses[i], this->metricsAddresses[i], this->peerAddresses[i],
        this->drainSeconds, this->store, this->store, this->extraSettings);
    this->settingsPaths.push_back(path);
}

} // namespace catkinlock::standin
