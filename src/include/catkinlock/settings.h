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
    /// "ip:port" of the platform's metadata store (an etcd-compatible key-value service).
    std::string platformAddress;
    /// Secret that all instances share, at least 16 characters. It keys the message authentication codes of peer
    /// messages and session tokens.
    std::string fleetSecret;
    /// Number of slots, 1 to 65536; must be the same on every instance. A slot is leased to one instance at a time.
    /// Each workspace's rate and each database's connections are divided among some of the slots.
    std::uint32_t slots = 64;
    /// Duration of an instance's lease on its slots in the metadata store, 2 to 86400 s.
    std::uint32_t slotLeaseSeconds = 3600;
    /// Maximum size of a request body in bytes, 1 KiB to 64 MiB.
    std::uint32_t bodyBytes = 1 << 20;
    /// Maximum size of a request header in bytes, 1 KiB to 64 KiB.
    std::uint32_t headerBytes = 8 << 10;
    /// Maximum total size of the values in the results of a request in bytes, 1 KiB to 64 MiB.
    std::uint32_t maxResponseBytes = 4 << 20;
    /// Time limit for receiving the next request completely, including the wait for it, and again for sending a
    /// response, 1 to 86400 s.
    std::uint32_t idleSeconds = 60;
    /// Timeout of a request that sets none itself, 10 to 600000 ms.
    std::uint32_t requestTimeoutMs = 5000;
    /// Time that a read waits for a sufficiently fresh replica before the primary may also run it, 0 to 10000 ms.
    std::uint32_t replicaWaitMs = 150;
    /// Time limit of a graceful shutdown, 1 to 600 s.
    std::uint32_t drainSeconds = 30;
    /// Memory of the machine in MB, up to 1048576; 0 if that is not known.
    std::uint32_t memoryMb = 0;
    /// Open descriptors that the process may have, up to 16777216; 0 if that is not known.
    std::uint32_t maxFds = 0;
    /// Bytes that all callers' connections together may hold, up to 4 GiB; 0: derived from the machine's memory.
    std::uint32_t totalBytes = 0;
    /// Open connections of callers, up to 16777216; 0: derived from the descriptors of the process.
    std::uint32_t connections = 0;
    /// Open connections of callers from one address, up to 16777216; 0: no limit.
    std::uint32_t connectionsPerAddress = 0;

    bool operator==(const Settings&) const = default;
};

/// Parses settings from the text of a TOML file. Returns all errors found, each with file, line and key, or only the
/// first syntax error, with file and line. Any error rejects the whole file.
tl::expected<Settings, std::vector<Error>> parseSettings(const std::string& text, const std::string& fileName);

} // namespace catkinlock
