#pragma once

#include "libsession/primary_watch.h"
#include "libsession/target_groups.h"
#include <map>
#include <string>

namespace catkinlock {

/// A member as the primary of one term.
struct PrimaryTerm {
    /// Id of the member.
    std::string member;
    /// Term in the group's record; 0 if there is no record.
    std::uint64_t term = 0;

    auto operator<=>(const PrimaryTerm&) const = default;
};

/// What another instance reported about a primary.
struct PeerReport {
    PrimaryTerm primary;
    bool suspects = false;
    bool reaches = false;
    TimePoint receivedAt;
};

/// The evidence on the primary in use: this instance's observation of it, if any, and the recent reports of other
/// instances, by their addresses. Evidence of another term of the same member is left out.
PrimaryEvidence collectEvidence(
    const PrimaryTerm&, const MemberObservation*, const std::map<std::string, PeerReport>&, TimePoint now);

/// What this instance reports about a primary to an instance that asks for it, from its observation, if any.
PeerReport reportOn(const std::string& member, const MemberObservation*, TimePoint now);

} // namespace catkinlock
