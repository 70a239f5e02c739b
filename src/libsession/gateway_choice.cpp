#include "libsession/gateway_choice.h"

#include "catkinlock/rendezvous.h"
#include "libsession/fleet_view.h"

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

    // Name of the instance that comes first by rendezvous hashing with this key; empty if there is none.
    std::string firstByHash(const FleetView& view, std::uint64_t key)
    {
        std::string first;
        std::uint64_t firstHash = 0;
        for (const auto& [name, instance] : view.instances) {
            std::uint64_t hash = stableHash(name, key);
            if (!first.empty() && hash >= firstHash)
                continue;
            first = name;
            firstHash = hash;
        }
        return first;
    }

} // namespace

bool needsGateways(std::size_t connections, std::size_t instances)
{
    return connections < minConnectionsPerInstance * instances;
}

const std::string& GatewayChoice::first(const FleetView& view, const std::string& workspace, const std::string& service)
{
    if (this->knownSerial != view.serial)
        this->known.clear();
    this->knownSerial = view.serial;
    auto [entry, added] = this->known.try_emplace({ workspace, service });
    if (added)
        entry->second = firstByHash(view, stableHash(workspace, stableHash(service, gatewaySeed)));
    return entry->second;
}

std::string GatewayChoice::choose(
    const FleetView& view, const std::string& workspace, const std::string& service, TimePoint now)
{
    if (now < this->pausedUntil)
        return "";
    const std::string& gateway = this->first(view, workspace, service);
    auto avoided = this->avoidedUntil.find(gateway);
    bool usable = avoided == this->avoidedUntil.end() || avoided->second <= now;
    return usable ? gateway : "";
}

void GatewayChoice::recordReply(const std::string& gateway)
{
    this->avoidedUntil.erase(gateway);
    this->lostInRow = 0;
}

void GatewayChoice::recordLost(const std::string& gateway, TimePoint now)
{
    std::erase_if(this->avoidedUntil, [now](const auto& entry) { return entry.second <= now; });
    this->avoidedUntil[gateway] = now + avoidFor;
    if (++this->lostInRow >= lostUntilPause)
        this->pausedUntil = now + pauseFor;
}

void GatewayChoice::recordUnavailable(const std::string& gateway, TimePoint now)
{
    this->avoidedUntil[gateway] = now + avoidUnavailableFor;
    this->lostInRow = 0;
}

} // namespace catkinlock
