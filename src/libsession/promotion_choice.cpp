#include "libsession/promotion_choice.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // Among equal logs a member that stays goes first.
    bool isWorse(const MemberStanding& left, const MemberStanding& right)
    {
        return std::pair(left.report.received, !left.draining) < std::pair(right.report.received, !right.draining);
    }

} // namespace

std::optional<std::string> choosePromotion(const std::vector<MemberStanding>& members, const Position& acknowledged)
{
    const MemberStanding* best = nullptr;
    bool othersFenced = true;
    bool primaryListed = false;
    for (const MemberStanding& member : members) {
        // Somebody leads and goes on: whatever is known of the others may change at any moment.
        if (member.report.primary && !member.fenced)
            return std::nullopt;
        if (!member.wasPrimary)
            othersFenced = othersFenced && member.fenced;
        bool mayLead = member.fenced && !(member.wasPrimary && member.draining);
        if (mayLead && (!best || isWorse(*best, member)))
            best = &member;
    }
    if (!best || best->report.received < acknowledged)
        return std::nullopt;
    for (const MemberStanding& member : members) {
        if (!member.wasPrimary)
            continue;
        bool covered = member.fenced && best->report.received >= member.report.received;
        if (!covered && !othersFenced)
            return std::nullopt;
        primaryListed = true;
    }
    // Without any former primary to ask, only the others can tell.
    if (!primaryListed && !othersFenced)
        return std::nullopt;
    return best->id;
}

} // namespace catkinlock
