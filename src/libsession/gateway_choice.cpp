#include "libsession/gateway_choice.h"

#include "catkinlock/rendezvous.h"
#include "libsession/fleet_view.h"
#include <algorithm>
#include <cmath>

namespace catkinlock {

namespace {

    // With fewer connections for each instance, gateways are used.
    constexpr std::size_t minConnectionsPerInstance = 3;
    // A gateway that did not reply is avoided for this long.
    constexpr Milliseconds avoidFor { 3000 };
    constexpr Milliseconds avoidUnavailableFor { 300 };
    // After this many lost requests in a row, none is sent to any gateway for `pauseFor`.
    constexpr unsigned lostUntilPause = 3;
    constexpr Milliseconds pauseFor { 1000 };
    // Makes the choice independent of other hashes of instance names.
    constexpr std::uint64_t gatewaySeed = 0x67617465776179;

    // A member's connections that each gateway of its service should have at least.
    constexpr std::size_t connectionsPerGateway = 20;
    // Bounds of the number of a service's gateways: one may fail, and each one sees enough of the members' load.
    constexpr std::size_t minGateways = 2;
    constexpr std::size_t maxGateways = 4;

    // Rank of an instance by weighted rendezvous hashing; the least one comes first. An instance with twice the weight
    // comes first twice as often.
    double rankOf(const std::string& name, double weight, std::uint64_t key)
    {
        constexpr double hashRange = 18446744073709551616.0;
        double uniform = (static_cast<double>(stableHash(name, key)) + 1) / hashRange;
        return -std::log(std::min(uniform, 1.0)) / weight;
    }

    std::size_t gatewayCount(const FleetView& view, const std::string& service)
    {
        auto pool = view.tables->pools.find(service);
        std::size_t connections = pool == view.tables->pools.end() ? 0 : pool->second.databases.front().connections;
        return std::clamp(connections / connectionsPerGateway, minGateways, maxGateways);
    }

} // namespace

bool needsGateways(std::size_t connections, std::size_t instances)
{
    return connections < minConnectionsPerInstance * instances;
}

std::vector<std::string> gatewaysOf(const FleetView& view, const std::string& service)
{
    std::uint64_t key = stableHash(service, gatewaySeed);
    std::vector<std::pair<double, std::string>> ranked;
    ranked.reserve(view.instances.size());
    for (const auto& [name, instance] : view.instances)
        ranked.emplace_back(rankOf(name, instance.cores > 0 ? instance.cores : 1, key), name);
    std::size_t count = std::min(gatewayCount(view, service), ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<std::string> gateways;
    gateways.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        gateways.push_back(ranked[i].second);
    return gateways;
}

const std::vector<std::string>& GatewayChoice::orderFor(
    const FleetView& view, const std::string& workspace, const std::string& service)
{
    if (this->knownSerial != view.serial) {
        this->orders.clear();
        this->byService.clear();
        std::erase_if(this->avoided, [&view](const auto& entry) { return !view.instances.count(entry.first); });
    }
    this->knownSerial = view.serial;
    auto [entry, added] = this->orders.try_emplace({ workspace, service });
    if (!added)
        return entry->second;
    auto [gateways, serviceAdded] = this->byService.try_emplace(service);
    if (serviceAdded)
        gateways->second = gatewaysOf(view, service);
    std::uint64_t key = stableHash(workspace, stableHash(service, gatewaySeed));
    entry->second = gateways->second;
    std::sort(entry->second.begin(), entry->second.end(), [key](const std::string& left, const std::string& right) {
        return std::pair(stableHash(left, key), left) < std::pair(stableHash(right, key), right);
    });
    return entry->second;
}

bool GatewayChoice::isUsable(const std::string& gateway, GatewayUse use, TimePoint now) const
{
    auto found = this->avoided.find(gateway);
    if (found == this->avoided.end())
        return true;
    return found->second.until <= now && (use == GatewayUse::Repeatable || !found->second.lost);
}

std::string GatewayChoice::choose(
    const FleetView& view, const std::string& workspace, const std::string& service, GatewayUse use, TimePoint now)
{
    if (now < this->pausedUntil)
        return "";
    for (const std::string& gateway : this->orderFor(view, workspace, service)) {
        if (this->isUsable(gateway, use, now))
            return gateway;
    }
    return "";
}

void GatewayChoice::recordReply(const std::string& gateway)
{
    this->avoided.erase(gateway);
    this->lostInRow = 0;
}

void GatewayChoice::recordLost(const std::string& gateway, TimePoint now)
{
    this->avoided[gateway] = { now + avoidFor, true };
    if (++this->lostInRow >= lostUntilPause)
        this->pausedUntil = now + pauseFor;
}

void GatewayChoice::recordUnavailable(const std::string& gateway, TimePoint now)
{
    this->avoided[gateway] = { now + avoidUnavailableFor, false };
    this->lostInRow = 0;
}

} // namespace catkinlock
