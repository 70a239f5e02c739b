#pragma once

#include "catkinlock/clock.h"
#include "libsession/member_demand.h"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace catkinlock::wire {
class MemberDemand;
}

namespace catkinlock {

/// Decides what a gateway reports to the other gateways of its services: its demand at their members, while it has any
/// and a few times after that, and nothing while it is idle. Does no I/O.
class DemandExchange {
public:
    /// Between two calls of `due`.
    static constexpr Milliseconds interval { 100 };

    /// The reports to be sent now, by the address of the receiver. A few empty ones follow the last one with demand,
    /// because any of them may be lost.
    std::map<std::string, DemandReport> due(const std::vector<ServiceDemand>&, std::int64_t nowMs);

private:
    // Empty reports that were sent to each address since the last one with demand.
    std::map<std::string, unsigned> emptySent;
};

void writeDemand(const DemandReport&, wire::MemberDemand&);
DemandReport readDemand(const wire::MemberDemand&);

} // namespace catkinlock
