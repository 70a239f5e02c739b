#pragma once

#include "catkinlock/membership.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinlock {

/// A gateway that serves a database.
struct GatewayChoice {
    std::string instance;
    /// "ip:port" at which the instance listens for peers.
    std::string address;
    bool isSelf = false;

    auto operator<=>(const GatewayChoice&) const = default;
};

/// Number of slots, and so the maximum number of gateways, among which the connections to a database are divided.
inline constexpr std::uint32_t gatewaysPerDatabase = 3;

/// The slots whose holders are the gateways of a database, in rank order: `gatewaysPerDatabase` slots, or all if there
/// are fewer. `database` has the form "POOL/DATABASE". May be called on any thread.
std::vector<std::uint32_t> gatewaySlots(const std::string& database, std::uint32_t slotCount);

/// An immutable snapshot of which instance holds which slot, read on the request path.
struct RoutingView {
    InstanceRecord self;
    std::uint32_t slotCount = 0;
    /// Holder of each slot, by slot number, with `slotCount` elements; a record with an empty name where none is known.
    std::vector<InstanceRecord> holders;

    bool operator==(const RoutingView&) const = default;

    /// The gateways of "POOL/DATABASE" in the order in which to try them: this instance if it is one of them, then
    /// those in the data centre of this instance, then the others. Instances that are leaving come after all that are
    /// not, in the same order. Each instance is listed once. Empty if no gateway is known.
    std::vector<GatewayChoice> gatewaysFor(const std::string& database) const;
};

} // namespace catkinlock
