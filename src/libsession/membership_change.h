#pragma once

#include "catkinlock/clock.h"
#include "libsession/fleet_view.h"
#include "libsession/promotion_choice.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinlock {

/// The runs of these members that the membership lacks.
std::set<MemberRun> runsToAdd(const GroupMembership&, const std::vector<TargetRecord>& members);

/// Members that are cut off or down and then come back with their logs are out of sight for at most this time.
inline constexpr Milliseconds absenceLimit { 10000 };

/// Measures for how long this instance has observed a group without a gap, by its own clock. A member that was out of
/// sight at the beginning is known once that has lasted for `absenceLimit`.
class GroupObservation {
public:
    /// Records the group's members in a view that is complete up to `confirmedAt`, and the membership in that view. A
    /// view in which no member is listed, and a gap in which an entry may have come and gone, begin a new observation.
    void record(const GroupMembership&, const std::vector<TargetRecord>& members, TimePoint confirmedAt);
    /// True if a run that is neither in the membership nor in `unrecorded` holds no acknowledged commit.
    bool isComplete() const;
    /// Runs of the observation that an incomplete membership lacks, those of members that are gone again included.
    const std::set<MemberRun>& unrecorded() const { return this->missingRuns; }

private:
    // The first and the last view of the observation; the clock's epoch if there is none.
    TimePoint begunAt;
    TimePoint lastAt;
    std::set<MemberRun> missingRuns;
};

/// The membership that follows from the stored one: it has the runs of the present members and of those observed, and
/// lacks those that one of them continues.
GroupMembership nextMembership(
    const GroupMembership& stored, const std::vector<TargetRecord>& members, const GroupObservation&);

/// The runs of the membership that one of these members continues. They need not be kept.
std::set<MemberRun> continuedRuns(const GroupMembership&, const std::vector<TargetRecord>& members);

/// True if a member that was started later uses the run's id or address, so that the run has ended.
bool isSucceeded(const MemberRun&, const TargetDirectory&);

/// Reports of a group's members, by member id, that were requested one after the other.
struct MemberReports {
    std::map<std::string, MemberReport> earlier;
    std::map<std::string, MemberReport> later;
};

/// True if enough replicas hold every commit that had been acknowledged when the reports were requested: the primary in
/// use, `primary`, serves in `term` (0 if no term is recorded), and as many replicas as a commit waits for report all
/// that it had before. What a run that ended earlier held is then held without it.
bool haveEveryCommit(const MemberReports&, const std::string& primary, std::uint64_t term, std::size_t syncReplicas);

/// Measures for how long the runs of a group's membership have been without an entry of their member.
class AbsentRuns {
public:
    /// Records which runs of the membership are those of the group's present members.
    void observe(const GroupMembership&, const std::vector<TargetRecord>& members, TimePoint now);
    /// The runs without an entry, and since when.
    const std::map<MemberRun, TimePoint>& since() const { return this->absentSince; }

private:
    std::map<MemberRun, TimePoint> absentSince;
};

} // namespace catkinlock
