#include "catkinlock/group_state.h"

#include <algorithm>

namespace catkinlock {

namespace {

    constexpr std::size_t maxSamples = 4096;

} // namespace

GroupState::GroupState(std::size_t memberCount, TimePoint now)
    : observations(memberCount, Observation { std::nullopt, now, now, 0 })
{
}

void GroupState::observe(std::size_t member, const MemberStatus& status, TimePoint requestedAt, TimePoint now)
{
    Observation& observation = this->observations[member];
    observation.lastResponseAt = now;
    observation.consecutiveFailures = 0;
    // Responses may arrive out of order; the status from an earlier request is outdated.
    if (observation.status && requestedAt < observation.requestedAt)
        return;
    observation.status = status;
    observation.requestedAt = requestedAt;
    bool isCurrentPrimary = status.isPrimary && status.promisedTerm == status.position.term;
    if (isCurrentPrimary && (this->samples.empty() || this->samples.back().requestedAt < requestedAt)) {
        this->samples.push_back({ requestedAt, status.position });
        if (this->samples.size() > maxSamples)
            this->samples.pop_front();
    }
    this->updateProvenSamples();
}

void GroupState::recordFailure(std::size_t member, TimePoint) { ++this->observations[member].consecutiveFailures; }

void GroupState::recordPosition(std::size_t member, const Position& position)
{
    auto& status = this->observations[member].status;
    if (status && status->position.term == position.term && status->position.lsn < position.lsn)
        status->position = position;
}

std::uint64_t GroupState::newestPromisedTerm() const
{
    std::uint64_t newest = 0;
    for (const Observation& observation : this->observations) {
        if (observation.status)
            newest = std::max(newest, observation.status->promisedTerm);
    }
    return newest;
}

std::optional<std::size_t> GroupState::primary() const
{
    std::uint64_t newest = this->newestPromisedTerm();
    for (std::size_t i = 0; i < this->observations.size(); ++i) {
        const auto& status = this->observations[i].status;
        if (status && status->isPrimary && status->position.term == newest)
            return i;
    }
    return std::nullopt;
}

bool GroupState::confirmed(const Position& position) const
{
    std::size_t holders = 0;
    for (const Observation& observation : this->observations) {
        bool holds = observation.status && observation.status->promisedTerm == position.term
            && observation.status->position.term == position.term && observation.status->position.lsn >= position.lsn;
        holders += holds;
    }
    return holders >= this->majority();
}

bool GroupState::readable(std::size_t member, const Position& floor) const
{
    const auto& status = this->observations[member].status;
    return status && Position { status->position.term, status->appliedLsn }.includes(floor);
}

void GroupState::updateProvenSamples()
{
    for (Sample& sample : this->samples) {
        if (sample.proven)
            continue;
        std::size_t confirming = 0;
        for (const Observation& observation : this->observations)
            confirming += observation.status && observation.status->promisedTerm == sample.position.term
                && observation.requestedAt >= sample.requestedAt;
        sample.proven = confirming >= this->majority();
    }
}

std::optional<Position> GroupState::freshnessFloor(Duration age, TimePoint now) const
{
    for (const Sample& sample : this->samples) {
        if (sample.proven && now - sample.requestedAt <= age)
            return sample.position;
    }
    return std::nullopt;
}

} // namespace catkinlock
