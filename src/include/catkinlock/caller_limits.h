#pragma once

#include "catkinlock/caller_limit_settings.h"
#include "catkinlock/caller_message.h"
#include "catkinlock/clock.h"
#include <cstddef>
#include <cstdint>

namespace catkinlock {

/// A limit that a caller's connection can meet.
enum class CallerLimit {
    Connections,
    ConnectionsPerAddress,
    ConnectionBytes,
    TotalBytes,
    MessageBytes,
    ArrivalTime,
    ReplyTime,
};

inline constexpr std::size_t callerLimitCount = 7;

/// Name used in logs and metrics, such as "total_bytes".
const char* callerLimitName(CallerLimit);

/// The error that tells a caller which limit it has met: `TooLarge` if its own message or session is too large, `Busy`
/// otherwise. Both say that nothing was run.
StatementError callerLimitError(CallerLimit);

/// What the connections to one listener may use. 0 stands for no limit.
struct CallerLimits {
    /// Bytes that one connection holds.
    std::uint64_t maxConnectionBytes = 0;
    /// Bytes that all connections hold together, above `CallerBudget::freeBytes` for each.
    std::uint64_t maxTotalBytes = 0;
    std::uint64_t maxConnections = 0;
    std::uint64_t maxConnectionsPerAddress = 0;
    /// From a message's first byte, or the connection's opening, until the message is complete.
    Milliseconds arrivalTime { 0 };
    /// For each MiB begun of a reply, until it is taken.
    Milliseconds replyTime { 0 };

    bool operator==(const CallerLimits&) const = default;
};

/// The limits of the callers' listener. Those that the settings leave open are derived from the machine's memory in MB
/// and the descriptors of the process; either may be 0 if it is not known.
CallerLimits deriveCallerLimits(const CallerLimitSettings&, std::uint32_t memoryMb, std::uint32_t maxFds);

struct Settings;

/// The limits of the HTTP listener. A request's size and times have settings of their own.
CallerLimits deriveHttpLimits(const Settings&);

/// The limits of a listener for operators' pages.
CallerLimits derivePageLimits(const CallerLimitSettings&);

} // namespace catkinlock
