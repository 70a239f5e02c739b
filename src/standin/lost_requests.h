#pragma once

#include "standin/fleet_event.h"
#include "standin/request_record.h"
#include <set>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// The requests that instances left without an answer.
struct UnansweredRequests {
    /// Those that the users count as lost: sent around planned work and away from faults, and passed on to a member or
    /// cut some time after they were sent.
    std::vector<RequestRecord> lost;
    /// The other statements on open sessions, sent away from faults.
    std::vector<RequestRecord> cut;
    /// Openings of sessions, sent away from faults.
    std::vector<RequestRecord> openings;
};

/// Sorts the requests without an answer. `seen`: ids of the statements that members have received.
UnansweredRequests findUnanswered(
    const std::vector<RequestRecord>&, const std::vector<FleetEvent>&, const std::set<std::string>& seen);

} // namespace catkinlock::standin
