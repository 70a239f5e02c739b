#include "libsession/promotion_choice.h"

#include <algorithm>
#include <map>
#include <set>

namespace catkinlock {

namespace {

    // True if another candidate reports what the primary in use would have too: a longer log, or a later term.
    bool isBehind(const PromotionCandidate& candidate, const std::vector<PromotionCandidate>& candidates)
    {
        return std::any_of(candidates.begin(), candidates.end(), [&candidate](const PromotionCandidate& other) {
            return other.report.received > candidate.report.received || other.report.term > candidate.report.term;
        });
    }

    // True if the candidate's report shows its log.
    bool hasResponded(const PromotionCandidate& candidate) { return candidate.report.term != 0; }

    // The candidate with the longest log of those that may be promoted, leaving members only if `admitsLeaving`; null
    // if there is none. Of equal logs, that of a member that isn't leaving.
    const PromotionCandidate* longestLog(
        const std::vector<PromotionCandidate>& candidates, const PromotionTerms& terms, bool admitsLeaving)
    {
        auto rankOf = [](const PromotionCandidate& item) { return std::pair(item.report.received, !item.draining); };
        const PromotionCandidate* best = nullptr;
        for (const PromotionCandidate& candidate : candidates) {
            bool leavesSoon = candidate.draining && terms.avoidsDrainingPrimary;
            bool avoided = candidate.wasPrimary && (leavesSoon || terms.avoidsFormerPrimary);
            avoided = avoided || (candidate.draining && !admitsLeaving);
            if (hasResponded(candidate) && !avoided && (!best || rankOf(*best) < rankOf(candidate)))
                best = &candidate;
        }
        return best;
    }

    // True if the promotion of `best` loses no acknowledged commit.
    bool keepsEveryCommit(
        const PromotionCandidate& best, const std::vector<PromotionCandidate>& candidates, const PromotionTerms& terms)
    {
        if (best.report.received < terms.acknowledged)
            return false;
        std::size_t uncovered = 0;
        bool hasEveryCommit = false;
        for (const PromotionCandidate& candidate : candidates) {
            bool covered = candidate.fenced && candidate.report.received <= best.report.received;
            uncovered += !covered;
            hasEveryCommit = hasEveryCommit || (covered && candidate.hasEveryCommit);
        }
        bool areFewUncovered = !terms.mayLackRuns && uncovered <= std::max<std::size_t>(terms.syncReplicas, 1);
        return hasEveryCommit || (best.fenced && areFewUncovered);
    }

} // namespace

std::optional<std::string> choosePromotion(
    const std::vector<PromotionCandidate>& candidates, const PromotionTerms& terms)
{
    // While a member still serves as primary, the logs of the others may grow after they were reported.
    bool isServed = std::any_of(candidates.begin(), candidates.end(),
        [](const PromotionCandidate& candidate) { return candidate.report.primary && !candidate.fenced; });
    if (isServed)
        return std::nullopt;
    for (bool admitsLeaving : { false, true }) {
        const PromotionCandidate* best = longestLog(candidates, terms, admitsLeaving);
        if (best && keepsEveryCommit(*best, candidates, terms))
            return best->id;
    }
    return std::nullopt;
}

void addAbsentRuns(std::vector<PromotionCandidate>& candidates, const std::vector<TargetRecord>& listed,
    const GroupMembership& membership, const GroupRecord& old)
{
    std::map<std::string, std::size_t> runsOfId;
    std::set<MemberRun> runs = membership.runs;
    for (const TargetRecord& target : listed)
        runs.insert(runOf(target));
    for (const MemberRun& run : runs)
        ++runsOfId[run.id];
    auto formerPrimaries = std::count_if(
        candidates.begin(), candidates.end(), [](const PromotionCandidate& candidate) { return candidate.wasPrimary; });
    for (PromotionCandidate& candidate : candidates) {
        // A member of which two runs are known was started again, and has lost its log.
        bool sameRun = runsOfId[candidate.id] == 1;
        bool isInUse = old.term ? candidate.id == old.primary && candidate.report.term >= old.term
                                : candidate.wasPrimary && formerPrimaries == 1;
        candidate.hasEveryCommit = sameRun && isInUse && !isBehind(candidate, candidates);
    }
    for (const TargetRecord& target : listed)
        runs.erase(runOf(target));
    for (const MemberRun& run : runs) {
        if (isContinued(run, membership, listed))
            continue;
        PromotionCandidate absent;
        absent.id = run.id;
        absent.wasPrimary = run.id == old.primary;
        candidates.push_back(absent);
    }
}

bool isFormerPrimaryFenced(const std::vector<PromotionCandidate>& candidates)
{
    bool isKnown = false;
    for (const PromotionCandidate& candidate : candidates) {
        if (candidate.wasPrimary && !candidate.fenced)
            return false;
        isKnown = isKnown || candidate.wasPrimary;
    }
    return isKnown;
}

std::optional<std::string> findPromoted(const std::vector<PromotionCandidate>& members, const GroupRecord& old)
{
    bool oldPrimaryListed = std::any_of(
        members.begin(), members.end(), [&old](const PromotionCandidate& member) { return member.id == old.primary; });
    const PromotionCandidate* found = nullptr;
    for (const PromotionCandidate& member : members) {
        bool isLater = old.term ? member.report.term > old.term : oldPrimaryListed && member.id != old.primary;
        if (member.report.primary && isLater && (!found || member.report.term > found->report.term))
            found = &member;
    }
    return found ? std::optional(found->id) : std::nullopt;
}

} // namespace catkinlock
