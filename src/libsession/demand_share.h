#pragma once

#include "catkinlock/clock.h"
#include "libsession/member_demand.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinlock {

/// Number by which gateways name a member to each other: a hash of its id.
std::uint32_t memberKey(std::string_view memberId);

/// This gateway's share of the places at one member. The gateways of a service divide a member's concurrency limit in
/// proportion to their demand: the statements that they run there and those that wait. Does no I/O.
///
/// Load: 2 to 4 gateways, reports every 100 ms, one decision for each statement.
class DemandShare {
public:
    /// `self`, `peers`: addresses of this gateway and of the service's other gateways, as known from now on. A new one
    /// counts as silent until its first report or, because idle gateways don't report, until a report must have
    /// arrived.
    void setGateways(const std::string& self, const std::vector<std::string>& peers, TimePoint now);
    /// Records what a gateway reported. Ignored if the sender isn't a gateway of the service, or sent it before another
    /// report that has arrived already.
    void recordReport(const std::string& sender, std::int64_t sentAtMs, const MemberDemand&, TimePoint now);

    /// The member's concurrency limit: statements that the whole fleet may have under way there. `slots`: statements
    /// that the member runs at once. `own`: this gateway's demand now.
    double limit(std::size_t slots, const MemberDemand& own, TimePoint now) const;
    /// This gateway's share of the limit, at least 1. A gateway that has demand and stopped reporting counts with an
    /// equal share.
    std::size_t places(std::size_t slots, const MemberDemand& own, TimePoint now) const;

private:
    struct Peer {
        std::string address;
        std::int64_t sentAtMs = 0;
        // For one that has not reported: when it became known.
        TimePoint reportedAt;
        bool reported = false;
        double demand = 0;
        double stretch = 1;

        bool isSilent(TimePoint now) const;
        // Share of the places at the member that it asks for.
        double weight() const { return this->demand * this->stretch; }
    };
    struct Sum {
        double demand = 0;
        double weight = 0;
        std::size_t silent = 0;
    };
    Sum sum(const MemberDemand& own, TimePoint now) const;

    std::string self;
    std::vector<Peer> peers;
};

} // namespace catkinlock
