#pragma once

#include "catkinlock/target_message.h"
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// One member while a primary is being replaced.
struct MemberStanding {
    std::string id;
    /// It was the primary, or said that it leads.
    bool wasPrimary = false;
    bool draining = false;
    /// It has answered that it takes nothing more from the old primary, or that it has stepped down.
    bool fenced = false;
    /// Its last answer; all zero if it gave none.
    MemberReport report;

    auto operator<=>(const MemberStanding&) const = default;
};

/// Picks the member to promote so that no acknowledged commit is lost, or nothing if that can't be shown yet. A commit
/// is acknowledged once the primary and one replica hold it. So either the old primary has stepped down and tells how
/// far its log goes, or every other member is fenced and one of them has whatever was acknowledged. `acknowledged` is
/// the highest position of a commit that is known to be acknowledged.
std::optional<std::string> choosePromotion(const std::vector<MemberStanding>&, const Position& acknowledged);

} // namespace catkinlock
