#include "libsession/warm_up_limit.h"

#include "libsession/fleet_view.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinlock {

namespace {

    // The bound holds for any span of this length.
    constexpr Milliseconds boundedSpan { 1000 };
    // Covers that views are looked at every few hundred milliseconds only.
    constexpr Milliseconds historyMargin { 500 };
    // More than any member runs, so that the number of statements can be represented.
    constexpr double maxBound = 1e9;

} // namespace

WarmUpLimit::WarmUpLimit(Terms given)
    : terms(std::move(given))
    , instances(this->terms.instance, this->terms.maxViewAge + boundedSpan + historyMargin)
{
}

void WarmUpLimit::recordView(const FleetView& view, bool usable, TimePoint now)
{
    this->instances.record(view, usable, now);
    if (view.serial == this->viewSerial)
        return;
    this->viewSerial = view.serial;
    std::erase_if(this->members, [&view](const auto& entry) { return !view.targets.contains(entry.first); });
    for (const auto& [id, target] : view.targets.all()) {
        auto service = view.tables->pools.find(target.service);
        this->recordMember(target, service == view.tables->pools.end() ? 0 : service->second.coldPerS, now);
    }
}

// An entry may be read long after it was written, so its time counts from when it was first seen.
void WarmUpLimit::recordMember(const TargetRecord& target, std::uint32_t coldPerS, TimePoint now)
{
    Member& member = this->members[target.id];
    member.coldPerS = coldPerS;
    bool isNew = std::exchange(member.warmUpMs, target.warmUpMs) != target.warmUpMs;
    isNew = std::exchange(member.startedAt, target.startedAt) != target.startedAt || isNew;
    if (isNew)
        member.warmUntil = now + Milliseconds(target.warmUpMs);
}

bool WarmUpLimit::isBounded(const Member& member, TimePoint now) const
{
    return member.coldPerS && member.warmUpMs && now < member.warmUntil;
}

// Statements that this instance may send the member in a second.
std::size_t WarmUpLimit::shareOf(const std::string& id, const Member& member) const
{
    double bound = std::floor(std::min(member.coldPerS * this->terms.excess + this->terms.slack, maxBound));
    auto statements = static_cast<std::size_t>(bound);
    std::size_t share = statements / std::max<std::size_t>(this->instances.size(), 1);
    if (share)
        return share;
    return this->instances.rankFor(id) < statements ? 1 : 0;
}

bool WarmUpLimit::allows(const std::string& id, TimePoint now) const
{
    auto found = this->members.find(id);
    if (found == this->members.end() || !this->isBounded(found->second, now))
        return true;
    if (!this->instances.isEstablished(now))
        return false;
    const std::deque<TimePoint>& sent = found->second.sent;
    auto lately = std::count_if(sent.begin(), sent.end(), [now](TimePoint at) { return now - at <= boundedSpan; });
    return static_cast<std::size_t>(lately) < this->shareOf(id, found->second);
}

void WarmUpLimit::recordStatement(const std::string& id, TimePoint now)
{
    auto found = this->members.find(id);
    if (found == this->members.end() || !this->isBounded(found->second, now))
        return;
    std::deque<TimePoint>& sent = found->second.sent;
    while (!sent.empty() && now - sent.front() > boundedSpan)
        sent.pop_front();
    sent.push_back(now);
}

} // namespace catkinlock
