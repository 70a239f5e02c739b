#pragma once

#include "catkinlock/group_record.h"
#include <cstdint>
#include <optional>
#include <string>

namespace catkinlock {

/// A decision to replace a primary, with the state that it was based on.
struct ReplacementDecision {
    std::string service;
    /// True if the primary is draining and hands over, false if it has failed or is unknown.
    bool planned = false;
    /// The group's record at the time of the decision; std::nullopt if there was none.
    std::optional<GroupRecord> record;
    /// Id of the primary to replace; empty if none was known.
    std::string primary;
    /// True if writes to the primary got no reply: a reply to a status request proves nothing, and promoting it again
    /// would not help.
    bool lostWrites = false;
    /// True if another instance has left the replacement to this one, the leader.
    bool requested = false;
    /// Fencing token of the leader lease under which the primary is replaced; 0 before it is obtained.
    std::int64_t fencingToken = 0;
};

} // namespace catkinlock
