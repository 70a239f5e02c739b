#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace catkinlock {

/// The statements that a gateway has at one member.
struct MemberDemand {
    /// `memberKey` of the member.
    std::uint32_t member = 0;
    /// Statements that run there.
    std::uint32_t running = 0;
    /// Statements that wait for a free place.
    std::uint32_t waiting = 0;
    /// Statements that may be under way for each one that the member runs (`ConcurrencyLimit::stretch`), in hundredths.
    std::uint32_t stretchPercent = 100;

    bool isIdle() const { return !this->running && !this->waiting; }
    bool operator==(const MemberDemand&) const = default;
};

/// The demand at the members of one service, and the addresses of the service's other gateways.
struct ServiceDemand {
    std::vector<std::string> peers;
    std::vector<MemberDemand> members;
};

/// What a gateway reports to another one.
struct DemandReport {
    /// Time of sending by the sender's clock, in milliseconds.
    std::int64_t sentAtMs = 0;
    /// Members without demand are left out.
    std::vector<MemberDemand> members;
};

} // namespace catkinlock
