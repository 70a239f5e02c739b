#pragma once

#include <cstdint>

namespace catkinlock {

/// The section "limits" of an instance's settings: what callers that are not trusted may use.
struct CallerLimitSettings {
    /// Bytes that one connection may hold, up to 4 GiB; 0: derived from the sum of all.
    std::uint32_t connectionBytes = 0;
    /// Bytes that all connections together may hold, up to 4 GiB; 0: derived from the machine's memory.
    std::uint32_t totalBytes = 0;
    /// Open connections, up to 16777216; 0: derived from the descriptors of the process.
    std::uint32_t connections = 0;
    /// Open connections from one address, up to 16777216; 0: no limit.
    std::uint32_t connectionsPerAddress = 0;
    /// Time for a message to arrive completely, 100 to 86400000 ms.
    std::uint32_t arrivalMs = 180000;
    /// Time for each MiB of a reply to be taken, 100 to 86400000 ms.
    std::uint32_t replyMs = 180000;
    /// Open connections to each address of pages for operators, 1 to 16777216.
    std::uint32_t pageConnections = 64;
    /// Time for a page to be requested and taken, 100 to 86400000 ms.
    std::uint32_t pageMs = 5000;

    bool operator==(const CallerLimitSettings&) const = default;
};

} // namespace catkinlock
