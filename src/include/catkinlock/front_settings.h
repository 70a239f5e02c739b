#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/error.h"
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Settings of an instance that serves sessions, from its TOML file.
struct FrontSettings {
    std::string name;
    std::string dataCentre;
    /// "ip:port" where callers open sessions.
    std::string callerAddress;
    /// "ip:port" and path where the balancer asks whether the instance takes callers.
    std::string readyAddress;
    std::string readyPath;
    /// "ip:port" of the metrics page; empty means none.
    std::string metricsAddress;
    /// "ip:port" for the other instances.
    std::string peerAddress;
    /// Name of the adapter that meets the platform.
    std::string adapter;
    std::string storeAddress;
    std::string promotionAddress;
    /// Shared by all instances, at least 16 characters.
    std::string fleetSecret;
    /// Slots that the fleet's rates are divided into, 1 to 65536; the same on every instance.
    std::uint32_t slots = 32;
    /// Lease on a slot and on the instance's registration, 2 to 86400 s.
    std::uint32_t leaseSeconds = 12;
    /// A withdrawn key stops working this long after its withdrawal, 500 to 600000 ms.
    std::uint32_t revocationMs = 5000;
    /// Longest graceful shutdown, 1 to 600 s.
    std::uint32_t drainSeconds = 6;

    bool operator==(const FrontSettings&) const = default;
};

/// Reads settings from the text of a TOML file. Every fault is named with file, line and key.
tl::expected<FrontSettings, std::vector<Error>> parseFrontSettings(
    const std::string& text, const std::string& fileName);

} // namespace catkinlock
