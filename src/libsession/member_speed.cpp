#include "libsession/member_speed.h"

#include <algorithm>
#include <cmath>

namespace catkinlock {

namespace {

    // Least weight of a sample in a member's factor, from 0 to 1.
    constexpr double minMemberWeight = 0.1;
    // Greatest weight. A single long statement must not make a member look slow that is rarely sampled.
    constexpr double maxMemberWeight = 0.5;
    // Samples further apart than this have more weight, so that rare samples also show a change within a second or two.
    constexpr double memberMemorySeconds = 0.5;
    // The level of a kind of work follows the average of this many replies. They are more than for a member, so that a
    // change is attributed to the member first.
    constexpr unsigned workSamples = 50;
    // A sample counts as at most this many times the expected time, and a failure as exactly this: the caller has to
    // wait for another attempt, and the place was used for nothing.
    constexpr double maxRatio = 8;
    // Part of the members' common factor that is moved to the kinds of work with each sample.
    constexpr double centering = 0.02;
    // From this slowness on, a member gets few statements by itself.
    constexpr double probedSlowness = 1.5;
    // Between two probes. Several have to fit into the two seconds in which a recovered member gets its load back.
    constexpr Milliseconds probeInterval { 300 };
    // Response times count as at least this, so that their logarithm is bounded.
    constexpr double minMilliseconds = 0.1;

    double logOf(Duration took)
    {
        return std::log(std::max(std::chrono::duration<double, std::milli>(took).count(), minMilliseconds));
    }

} // namespace

// Moves what all members have in common to the kinds of work, so that the factors stay around 0.
void MemberSpeed::center()
{
    double sum = 0;
    for (const auto& [id, member] : this->members)
        sum += member.factor;
    double common = centering * sum / static_cast<double>(this->members.size());
    for (auto& [id, member] : this->members)
        member.factor -= common;
    for (auto& [kind, work] : this->works)
        work.level += common;
}

void MemberSpeed::record(Member& member, Work& work, double logTime, TimePoint now)
{
    double error = logTime - work.level - member.factor;
    double bounded = std::clamp(error, -std::log(maxRatio), std::log(maxRatio));
    double memberWeight = minMemberWeight;
    if (member.sampled) {
        double seconds = std::chrono::duration<double>(now - member.sampledAt).count();
        memberWeight = std::clamp(1 - std::exp(-seconds / memberMemorySeconds), minMemberWeight, maxMemberWeight);
    }
    member.sampled = true;
    member.sampledAt = now;
    member.factor += memberWeight * bounded;
    work.samples = std::min(work.samples + 1, workSamples);
    double workWeight = 1.0 / work.samples;
    work.level += workWeight * bounded;
    work.meanRatio += workWeight * (std::exp(bounded) - work.meanRatio);
    this->center();
}

void MemberSpeed::recordReply(const std::string& id, const WorkKind& kind, Duration took, TimePoint now)
{
    Member& member = this->members[id];
    auto [entry, added] = this->works.try_emplace(kind);
    if (added)
        entry->second.level = logOf(took) - member.factor;
    this->record(member, entry->second, logOf(took), now);
}

void MemberSpeed::recordFailure(const std::string& id, const WorkKind& kind, Duration took, TimePoint now)
{
    auto work = this->works.find(kind);
    if (work == this->works.end())
        return;
    double slowest = work->second.level + std::log(maxRatio);
    Member& member = this->members[id];
    // A failure shows nothing of the time that the work takes.
    Work copy = work->second;
    this->record(member, copy, std::max(slowest, logOf(took)), now);
}

void MemberSpeed::recordSent(const std::string& id, TimePoint now) { this->members[id].sentAt = now; }

double MemberSpeed::leastFactor() const
{
    double least = 0;
    bool found = false;
    for (const auto& [id, member] : this->members) {
        if (!member.sampled || (found && member.factor >= least))
            continue;
        least = member.factor;
        found = true;
    }
    return least;
}

std::optional<Duration> MemberSpeed::expectedTime(const std::string& id, const WorkKind& kind) const
{
    auto work = this->works.find(kind);
    if (work == this->works.end())
        return std::nullopt;
    auto member = this->members.find(id);
    double factor = member == this->members.end() ? 0 : member->second.factor;
    double ms = std::exp(work->second.level + factor) * work->second.meanRatio;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

double MemberSpeed::slowness(const std::string& id) const
{
    auto member = this->members.find(id);
    if (member == this->members.end() || !member->second.sampled)
        return 1;
    return std::exp(member->second.factor - this->leastFactor());
}

bool MemberSpeed::needsProbe(const std::string& id, TimePoint now) const
{
    auto member = this->members.find(id);
    return member != this->members.end() && now - member->second.sentAt >= probeInterval
        && this->slowness(id) >= probedSlowness;
}

void MemberSpeed::keepOnly(const std::set<std::string>& kept)
{
    for (auto it = this->members.begin(); it != this->members.end();)
        it = kept.count(it->first) ? std::next(it) : this->members.erase(it);
}

} // namespace catkinlock
