#include "catkinlock/caller_limits.h"

#include "catkinlock/settings.h"

#include <algorithm>
#include <array>

namespace catkinlock {

namespace {

    constexpr std::array<const char*, callerLimitCount> limitNames { "connections", "connections_per_address",
        "connection_bytes", "total_bytes", "message_bytes", "arrival_time", "reply_time" };

    // Part of the machine's memory for callers. The rest is for the instance's own tables and queues and for the
    // connections themselves.
    constexpr std::uint64_t memoryDivisor = 4;
    // Part of the descriptors for callers. The rest is for peers, which take two each, and for members.
    constexpr std::uint64_t descriptorDivisor = 2;
    // A connection may hold this part of the sum, but always what a statement or value of 1 MiB and a reply of that
    // size take with their copies.
    constexpr std::uint64_t connectionDivisor = 2;
    constexpr std::uint64_t minConnectionBytes = 12 << 20;

    // A request's body with the copies that serving it takes.
    constexpr std::uint64_t bodyCopies = 6;

    std::uint64_t firstSet(std::uint64_t set, std::uint64_t derived) { return set ? set : derived; }

} // namespace

const char* callerLimitName(CallerLimit limit) { return limitNames[static_cast<std::size_t>(limit)]; }

StatementError callerLimitError(CallerLimit limit)
{
    bool ownSize = limit == CallerLimit::ConnectionBytes || limit == CallerLimit::MessageBytes;
    return ownSize ? StatementError::TooLarge : StatementError::Busy;
}

CallerLimits deriveCallerLimits(const CallerLimitSettings& settings, std::uint32_t memoryMb, std::uint32_t maxFds)
{
    CallerLimits limits;
    limits.maxTotalBytes = firstSet(settings.totalBytes, (std::uint64_t(memoryMb) << 20) / memoryDivisor);
    std::uint64_t share = limits.maxTotalBytes / connectionDivisor;
    limits.maxConnectionBytes
        = firstSet(settings.connectionBytes, limits.maxTotalBytes ? std::max(minConnectionBytes, share) : 0);
    limits.maxConnections = firstSet(settings.connections, maxFds / descriptorDivisor);
    limits.maxConnectionsPerAddress = settings.connectionsPerAddress;
    limits.arrivalTime = Milliseconds(settings.arrivalMs);
    limits.replyTime = Milliseconds(settings.replyMs);
    return limits;
}

CallerLimits deriveHttpLimits(const Settings& settings)
{
    CallerLimits limits;
    std::uint64_t derived = (std::uint64_t(settings.memoryMb) << 20) / memoryDivisor;
    if (derived)
        derived = std::max(derived, bodyCopies * settings.bodyBytes);
    limits.maxTotalBytes = firstSet(settings.totalBytes, derived);
    limits.maxConnections = firstSet(settings.connections, settings.maxFds / descriptorDivisor);
    limits.maxConnectionsPerAddress = settings.connectionsPerAddress;
    return limits;
}

CallerLimits derivePageLimits(const CallerLimitSettings& settings)
{
    CallerLimits limits;
    limits.maxConnections = settings.pageConnections;
    limits.arrivalTime = Milliseconds(settings.pageMs);
    limits.replyTime = Milliseconds(settings.pageMs);
    return limits;
}

} // namespace catkinlock
