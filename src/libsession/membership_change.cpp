#include "libsession/membership_change.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // Shorter than the time for which a member's entry lasts, so that no entry comes and goes in between.
    constexpr Milliseconds maxObservationGap { 3000 };

} // namespace

void GroupObservation::record(
    const GroupMembership& membership, const std::vector<TargetRecord>& members, TimePoint confirmedAt)
{
    bool isContinuous = this->begunAt != TimePoint() && confirmedAt - this->lastAt <= maxObservationGap;
    if (!isContinuous)
        this->begunAt = confirmedAt;
    this->lastAt = confirmedAt;
    // While no member can be seen, none that was out of sight before is known to have come back.
    if (members.empty())
        this->begunAt = TimePoint();
    for (const TargetRecord& member : members)
        this->missingRuns.insert(runOf(member));
    std::erase_if(this->missingRuns,
        [&membership](const MemberRun& run) { return membership.isComplete || membership.runs.count(run); });
}

bool GroupObservation::isComplete() const
{
    return this->begunAt != TimePoint() && this->lastAt - this->begunAt >= absenceLimit;
}

GroupMembership nextMembership(
    const GroupMembership& stored, const std::vector<TargetRecord>& members, const GroupObservation& observation)
{
    GroupMembership next = stored;
    next.runs.merge(runsToAdd(next, members));
    if (!next.isComplete) {
        next.runs.insert(observation.unrecorded().begin(), observation.unrecorded().end());
        next.isComplete = observation.isComplete();
    }
    for (const MemberRun& run : continuedRuns(next, members))
        next.runs.erase(run);
    return next;
}

std::set<MemberRun> runsToAdd(const GroupMembership& membership, const std::vector<TargetRecord>& members)
{
    std::set<MemberRun> added;
    for (const TargetRecord& member : members) {
        if (!membership.runs.count(runOf(member)))
            added.insert(runOf(member));
    }
    return added;
}

std::set<MemberRun> continuedRuns(const GroupMembership& membership, const std::vector<TargetRecord>& members)
{
    std::set<MemberRun> continued;
    for (const MemberRun& run : membership.runs) {
        // Shows that an earlier run of its member has lost its log, as long as that one is kept.
        bool isRestart = std::any_of(membership.runs.begin(), membership.runs.end(),
            [&run](const MemberRun& other) { return other.id == run.id && other.startedAt < run.startedAt; });
        if (!isRestart && isContinued(run, membership, members))
            continued.insert(run);
    }
    return continued;
}

bool isSucceeded(const MemberRun& run, const TargetDirectory& targets)
{
    return std::any_of(targets.all().begin(), targets.all().end(), [&run](const auto& entry) {
        const TargetRecord& target = entry.second;
        bool sameMachine = target.id == run.id || target.address == run.address;
        return sameMachine && run.startedAt && target.startedAt > run.startedAt;
    });
}

bool haveEveryCommit(
    const MemberReports& reports, const std::string& primary, std::uint64_t term, std::size_t syncReplicas)
{
    auto before = reports.earlier.find(primary);
    auto after = reports.later.find(primary);
    if (before == reports.earlier.end() || after == reports.later.end())
        return false;
    const MemberReport& leader = before->second;
    bool serves = leader.primary && after->second.primary && after->second.term == leader.term;
    if (!serves || (term && leader.term != term))
        return false;
    std::size_t holders = 0;
    for (const auto& [id, report] : reports.later) {
        // The reports of a deposed primary say nothing of later commits.
        if (report.term > leader.term)
            return false;
        holders += !report.primary && report.received >= leader.received;
    }
    return holders >= std::max<std::size_t>(syncReplicas, 1);
}

void AbsentRuns::observe(const GroupMembership& membership, const std::vector<TargetRecord>& members, TimePoint now)
{
    std::map<MemberRun, TimePoint> absent;
    for (const MemberRun& run : membership.runs) {
        bool listed = std::any_of(
            members.begin(), members.end(), [&run](const TargetRecord& member) { return runOf(member) == run; });
        if (listed)
            continue;
        auto known = this->absentSince.find(run);
        absent[run] = known == this->absentSince.end() ? now : known->second;
    }
    this->absentSince = std::move(absent);
}

} // namespace catkinlock
