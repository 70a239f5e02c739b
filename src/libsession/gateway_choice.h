#pragma once

#include "catkinlock/clock.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace catkinlock {

struct FleetView;

/// True if an instance's share of a member's connections is too small to keep connections for the workspaces that it
/// serves. Reads of a workspace then go through one instance for each service, its gateway, which keeps them.
bool needsGateways(std::size_t connections, std::size_t instances);

/// Decides which instance is the gateway of a workspace and a service, and avoids those that don't reply. Does no I/O.
///
/// Load: many workspaces and services at hundreds of instances, whose statements otherwise open a connection each.
class GatewayChoice {
public:
    /// Name of the gateway: the instance that comes first by rendezvous hashing. Empty if there is none, or while it is
    /// avoided; the reads are then served without a gateway.
    std::string choose(const FleetView&, const std::string& workspace, const std::string& service, TimePoint now);
    /// Records that a gateway replied, or that it did not in time.
    void recordReply(const std::string& gateway);
    void recordLost(const std::string& gateway, TimePoint now);
    /// Records that a gateway replied that it can't serve a read now.
    void recordUnavailable(const std::string& gateway, TimePoint now);

private:
    const std::string& first(const FleetView&, const std::string& workspace, const std::string& service);

    // Gateways by workspace and service in the view with this serial number, since finding one takes a hash for each
    // instance.
    std::map<std::pair<std::string, std::string>, std::string> known;
    std::uint64_t knownSerial = 0;
    // Gateways that are avoided until a time.
    std::map<std::string, TimePoint> avoidedUntil;
    // Requests in a row that were lost, at any gateway. Several show that this instance itself is cut off.
    unsigned lostInRow = 0;
    TimePoint pausedUntil;
};

} // namespace catkinlock
