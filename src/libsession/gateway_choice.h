#pragma once

#include "catkinlock/clock.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace catkinlock {

struct FleetView;

/// True if an instance's share of a member's connections is too small to keep connections for the workspaces that it
/// serves. Operations of a workspace on a service then go through one instance, its gateway, which keeps the
/// connections.
bool needsGateways(std::size_t connections, std::size_t instances);

/// What an operation is sent to a gateway for.
enum class GatewayUse {
    /// It may run elsewhere if no reply arrives: a read, or the start of a transaction.
    Repeatable,
    /// If no reply arrives, its outcome is unknown.
    Once,
};

/// Decides which instance is the gateway of a workspace and a service, and avoids those that don't reply. Does no I/O.
///
/// Load: many workspaces and services at hundreds of instances, whose statements otherwise open a connection each. A
/// service has few gateways, so that each of them sees enough of a member's load to bound it; instances with more cores
/// are preferred. A workspace stays at one of them, since connections belong to workspaces.
class GatewayChoice {
public:
    /// Name of the gateway: among the service's gateways, the first of the workspace's order that is usable. Empty if
    /// there is none; the operation is then served without a gateway. A gateway that has not replied since one of its
    /// replies was lost is used for repeatable operations only.
    std::string choose(
        const FleetView&, const std::string& workspace, const std::string& service, GatewayUse, TimePoint now);
    /// Records that a gateway replied, or that it did not in time.
    void recordReply(const std::string& gateway);
    void recordLost(const std::string& gateway, TimePoint now);
    /// Records that a gateway replied that it can't serve an operation now.
    void recordUnavailable(const std::string& gateway, TimePoint now);

private:
    // Why a gateway is avoided.
    struct Avoided {
        TimePoint until;
        // A reply is missing, and none has arrived since.
        bool lost = false;
    };
    const std::vector<std::string>& orderFor(
        const FleetView&, const std::string& workspace, const std::string& service);
    bool isUsable(const std::string& gateway, GatewayUse, TimePoint now) const;

    // Gateways by workspace and service in the view with this serial number, since finding them takes a hash for each
    // instance.
    std::map<std::pair<std::string, std::string>, std::vector<std::string>> orders;
    std::map<std::string, std::vector<std::string>> byService;
    std::uint64_t knownSerial = 0;
    std::map<std::string, Avoided> avoided;
    // Requests in a row that were lost, at any gateway. Several show that this instance itself is cut off.
    unsigned lostInRow = 0;
    TimePoint pausedUntil;
};

/// The gateways of a service, the best first: fewer where members accept fewer connections.
std::vector<std::string> gatewaysOf(const FleetView&, const std::string& service);

} // namespace catkinlock
