#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/error.h"
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Settings of one instance, read from its TOML file. Ranges are those that `parseSettings` accepts.
struct Settings {
    std::string name;
    std::string dataCentre;
    /// "ip:port" on which callers connect. Port 0 lets the kernel choose one.
    std::string httpAddress;
    /// "ip:port" on which other instances connect. Port 0 lets the kernel choose one.
    std::string peerAddress;
    /// Number of threads that serve requests, 1 to 64.
    std::uint32_t threads = 2;
    /// "ip:port" of the platform's key-value service.
    std::string platformAddress;
    /// Secret that all instances share, at least 16 characters.
    std::string fleetSecret;
    /// Number of slots that the workspaces' rates and the databases' connections are divided into, 1 to 65536. Must be
    /// the same on every instance.
    std::uint32_t slots = 64;
    /// Duration of the lease on a slot, 2 to 86400 s.
    std::uint32_t slotLeaseSeconds = 3600;
    /// Maximum size of a request body in bytes, 1 KiB to 64 MiB.
    std::uint32_t bodyBytes = 1 << 20;
    /// Maximum size of a request header in bytes, 1 KiB to 64 KiB.
    std::uint32_t headerBytes = 8 << 10;
    /// Maximum size of a response in bytes, 1 KiB to 64 MiB.
    std::uint32_t answerBytes = 4 << 20;
    /// Idle timeout of a caller's connection, between and within requests, 1 to 86400 s.
    std::uint32_t idleSeconds = 60;
    /// Timeout of a request that sets none itself, 10 to 600000 ms.
    std::uint32_t requestTimeoutMs = 5000;
    /// Time that a read waits for a sufficiently fresh replica before it is sent to the primary, 0 to 10000 ms.
    std::uint32_t replicaWaitMs = 150;
    /// Time limit of a graceful shutdown, 1 to 600 s.
    std::uint32_t drainSeconds = 30;

    bool operator==(const Settings&) const = default;
};

/// Parses settings from the text of a TOML file. Returns every error found, each with file, line and key; any error
/// rejects the whole file.
tl::expected<Settings, std::vector<Error>> parseSettings(const std::string& text, const std::string& fileName);

} // namespace catkinlock
