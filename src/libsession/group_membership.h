#pragma once

#include "catkinlock/target_record.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlock {

/// Prefix of the keys of memberships in the metadata store; the rest of a key is the service.
inline constexpr const char* membershipPrefix = "catkinlock/membership/";

/// One run of one member of a group, from a start of the member to its end.
struct MemberRun {
    /// Id of the member.
    std::string id;
    /// When the run began, as a Unix time in milliseconds; 0 if that is not known.
    std::int64_t startedAt = 0;
    /// "ip:port".
    std::string address;

    auto operator<=>(const MemberRun&) const = default;
};

/// The run in which a member wrote this entry.
MemberRun runOf(const TargetRecord&);

/// The runs whose logs may hold the only copies of acknowledged commits of one group, kept in the metadata store. A run
/// is added when its member registers. It stays here when the member's entry is gone, until the remaining members are
/// known to hold all that it may have held.
struct GroupMembership {
    std::set<MemberRun> runs;
    /// True once an instance has observed the group for as long as a member may be out of sight. Until then, members
    /// that were out of sight when the membership was first written may be missing.
    bool isComplete = false;

    bool operator==(const GroupMembership&) const = default;
};

/// True if one of the group's present members, `members`, has the run's log: a member that crashed or left is followed
/// by one of another id at its address, with its log. One that started again under its id has none of it.
bool isContinued(const MemberRun&, const GroupMembership&, const std::vector<TargetRecord>& members);

/// Serializes a membership as JSON.
std::string writeGroupMembership(const GroupMembership&);
/// Parses the JSON of a membership. Returns std::nullopt if the text is not JSON or a run lacks a field. A membership
/// that does not say that it is complete is not.
std::optional<GroupMembership> parseGroupMembership(const std::string&);

} // namespace catkinlock
