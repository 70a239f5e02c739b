#pragma once

#include "catkinlock/group_record.h"
#include "catkinlock/target_message.h"
#include "libsession/group_membership.h"
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// The state of one run of a member while the primary of its group is being replaced.
struct PromotionCandidate {
    std::string id;
    /// True if the group's record names the member as the primary, or if it reported that it is one.
    bool wasPrimary = false;
    /// True if the member has announced that it is leaving, or if its data centre is evacuated.
    bool draining = false;
    /// True if it has confirmed the fence: it is a replica, and receives nothing more from any primary.
    bool fenced = false;
    /// Its last status report; all zero if it did not respond.
    MemberReport report;
    /// True if this is the run in which the member became the primary in use. Its log then has every acknowledged
    /// commit.
    bool hasEveryCommit = false;

    auto operator<=>(const PromotionCandidate&) const = default;
};

/// What the member that is promoted has to satisfy.
struct PromotionTerms {
    /// Number of replicas that have received a commit before it is acknowledged.
    std::size_t syncReplicas = 1;
    /// Highest position of a commit that this instance knows to be acknowledged.
    Position acknowledged;
    /// True if no former primary is to be promoted: its writes get no reply, so promoting it again would change nothing
    /// for callers.
    bool avoidsFormerPrimary = false;
    /// True if the group may have runs that are not among the candidates, because its membership is not complete.
    bool mayLackRuns = false;
    /// True if no former primary that is draining is to be promoted, because it will be replaced again soon.
    bool avoidsDrainingPrimary = true;
};

/// Selects the member to promote so that no acknowledged commit is lost; returns std::nullopt as long as that can't be
/// guaranteed. The candidates are all runs in the group's membership, those that did not respond included. If the group
/// may have others, only the run that has every commit shows what has been acknowledged.
///
/// An acknowledged commit is held by the primary and `syncReplicas` replicas, so by more than `syncReplicas` runs. The
/// member with the longest log is selected if at most that many runs are not known to be covered by it: a run is
/// covered if it is fenced and its log is no longer. It is also selected if it covers the run that has every commit.
/// The selected member's log reaches `acknowledged`. A member that is leaving is selected only if no other one can be.
std::optional<std::string> choosePromotion(const std::vector<PromotionCandidate>&, const PromotionTerms&);

/// Adds the runs of the membership that are not among the candidates, whose members are `listed`: they did not respond.
/// A run that one of these continues is not added, because its log is theirs.
/// Also sets `hasEveryCommit`. `old` is the group's record.
void addAbsentRuns(std::vector<PromotionCandidate>&, const std::vector<TargetRecord>& listed, const GroupMembership&,
    const GroupRecord& old);

/// True if the former primary is known and no former primary can acknowledge a commit any more, whoever writes to it.
bool isFormerPrimaryFenced(const std::vector<PromotionCandidate>&);

/// Returns the member that an earlier replacement has promoted already, although the group's record does not say so
/// yet: it reports that it is the primary of a later term than `old`'s. If the record has no term, it is the member
/// other than `old.primary` that reports that it is the primary, provided that `old.primary` is listed: otherwise that
/// may be the old primary, restarted under another id. std::nullopt if there is none.
std::optional<std::string> findPromoted(const std::vector<PromotionCandidate>&, const GroupRecord& old);

} // namespace catkinlock
