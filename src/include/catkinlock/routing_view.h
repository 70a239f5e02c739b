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
    /// "ip:port" for peers.
    std::string address;
    bool isSelf = false;

    auto operator<=>(const GatewayChoice&) const = default;
};

/// Number of slots, and so of gateways at most, that each database's connections are divided among.
inline constexpr std::uint32_t gatewaysPerDatabase = 3;

/// The slots whose holders are the gateways of a database, in rank order. `database` is "POOL/DATABASE".
std::vector<std::uint32_t> gatewaySlots(const std::string& database, std::uint32_t slotCount);

/// An immutable picture of which instance holds which slot, for the request path.
struct RoutingView {
    InstanceRecord self;
    std::uint32_t slotCount = 0;
    /// Holder of each slot; an empty name where none is known.
    std::vector<InstanceRecord> holders;

    bool operator==(const RoutingView&) const = default;

    /// The gateways of a database in the order in which to try them: this instance, then its data centre, then the
    /// rest; leaving ones last.
    std::vector<GatewayChoice> gatewaysFor(const std::string& database) const;
};

} // namespace catkinlock
