#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/error.h"
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Settings of one instance, from its TOML file. Ranges are those that `parseSettings` accepts.
struct Settings {
    std::string name;
    std::string dataCentre;
    /// "ip:port" for callers; port 0 lets the kernel choose.
    std::string httpAddress;
    /// "ip:port" for the other instances; port 0 lets the kernel choose.
    std::string peerAddress;
    /// Threads of the request path, 1 to 64.
    std::uint32_t threads = 2;
    /// "ip:port" of the platform's key-value service.
    std::string platformAddress;
    /// Shared by all instances, at least 16 characters.
    std::string fleetSecret;
    /// Slots that the fleet's rates and connections are divided into, 1 to 65536; the same on every instance.
    std::uint32_t slots = 64;
    /// Lease on a slot, 2 to 86400 s.
    std::uint32_t slotLeaseSeconds = 3600;
    /// Largest request body, 1 KiB to 64 MiB.
    std::uint32_t bodyBytes = 1 << 20;
    /// Largest header, 1 KiB to 64 KiB.
    std::uint32_t headerBytes = 8 << 10;
    /// Largest answer, 1 KiB to 64 MiB.
    std::uint32_t answerBytes = 4 << 20;
    /// Longest pause of a caller between or within requests, 1 to 86400 s.
    std::uint32_t idleSeconds = 60;
    /// Deadline of a request that states none, 10 to 600000 ms.
    std::uint32_t requestTimeoutMs = 5000;
    /// Longest wait of a read for a replica that is fresh enough, before it goes to the primary, 0 to 10000 ms.
    std::uint32_t replicaWaitMs = 150;
    /// Longest graceful shutdown, 1 to 600 s.
    std::uint32_t drainSeconds = 30;

    bool operator==(const Settings&) const = default;
};

/// Reads settings from the text of a TOML file. Every fault is named with file, line and key; with any fault there are
/// no settings.
tl::expected<Settings, std::vector<Error>> parseSettings(const std::string& text, const std::string& fileName);

} // namespace catkinlock
