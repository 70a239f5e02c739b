#include "catkinlock/group_state.h"

#include <algorithm>

namespace catkinlock {

namespace {

    constexpr std::size_t mostSamples = 4096;

} // namespace

GroupState::GroupState(std::size_t memberCount, TimePoint now)
    : views(memberCount, View { std::nullopt, now, now, 0 })
{
}

void GroupState::observe(std::size_t member, const MemberStatus& status, TimePoint askedAt, TimePoint now)
{
    View& view = this->views[member];
    view.answeredAt = now;
    view.failures = 0;
    // Answers may overtake each other; the older one says nothing new.
    if (view.status && askedAt < view.askedAt)
        return;
    view.status = status;
    view.askedAt = askedAt;
    bool speaksForTerm = status.isPrimary && status.promised == status.position.term;
    if (speaksForTerm && (this->samples.empty() || this->samples.back().askedAt < askedAt)) {
        this->samples.push_back({ askedAt, status.position });
        if (this->samples.size() > mostSamples)
            this->samples.pop_front();
    }
    this->proveSamples();
}

void GroupState::noteFailure(std::size_t member, TimePoint) { ++this->views[member].failures; }

void GroupState::notePosition(std::size_t member, const Position& position)
{
    auto& status = this->views[member].status;
    if (status && status->position.term == position.term && status->position.lsn < position.lsn)
        status->position = position;
}

std::uint64_t GroupState::newestPromise() const
{
    std::uint64_t newest = 0;
    for (const View& view : this->views) {
        if (view.status)
            newest = std::max(newest, view.status->promised);
    }
    return newest;
}

std::optional<std::size_t> GroupState::primary() const
{
    std::uint64_t newest = this->newestPromise();
    for (std::size_t i = 0; i < this->views.size(); ++i) {
        const auto& status = this->views[i].status;
        if (status && status->isPrimary && status->position.term == newest)
            return i;
    }
    return std::nullopt;
}

bool GroupState::confirmed(const Position& position) const
{
    std::size_t holders = 0;
    for (const View& view : this->views) {
        bool holds = view.status && view.status->promised == position.term
            && view.status->position.term == position.term && view.status->position.lsn >= position.lsn;
        holders += holds;
    }
    return holders >= this->majority();
}

bool GroupState::readable(std::size_t member, const Position& floor) const
{
    const auto& status = this->views[member].status;
    return status && Position { status->position.term, status->appliedLsn }.reaches(floor);
}

void GroupState::proveSamples()
{
    for (Sample& sample : this->samples) {
        if (sample.proved)
            continue;
        std::size_t agreeing = 0;
        for (const View& view : this->views)
            agreeing += view.status && view.status->promised == sample.position.term && view.askedAt >= sample.askedAt;
        sample.proved = agreeing >= this->majority();
    }
}

std::optional<Position> GroupState::freshnessFloor(Duration age, TimePoint now) const
{
    for (const Sample& sample : this->samples) {
        if (sample.proved && now - sample.askedAt <= age)
            return sample.position;
    }
    return std::nullopt;
}

} // namespace catkinlock
