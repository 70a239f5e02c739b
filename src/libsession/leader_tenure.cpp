#include "libsession/leader_tenure.h"

namespace catkinlock {

void HolderContact::recordQuery(TimePoint now)
{
    if (this->unansweredQueries && now - this->lastQueryAt < minQuerySpacing)
        return;
    if (!this->unansweredQueries || now - this->lastQueryAt > holderQueryLifetime) {
        this->unansweredQueries = 0;
        this->unansweredSince = now;
    }
    ++this->unansweredQueries;
    this->lastQueryAt = now;
}

void HolderContact::recordReply(bool holds, TimePoint now)
{
    this->unansweredQueries = 0;
    if (holds)
        this->disclaimed.reset();
    else if (!this->disclaimed)
        this->disclaimed = now;
}

bool HolderContact::isUnresponsive(TimePoint now) const
{
    bool asked = this->unansweredQueries >= minUnansweredQueries && now - this->lastQueryAt <= holderQueryLifetime;
    return asked && now - this->unansweredSince >= holderReplyTimeout;
}

LeaderStep LeaderTenure::next(
    const std::optional<StoredLeader>& stored, const HolderContact& contact, bool urgent, TimePoint now) const
{
    if (this->mayAct(now))
        return LeaderStep::Act;
    if (this->current && now < this->validUntil)
        return LeaderStep::Resume;
    if (!stored)
        return LeaderStep::Acquire;
    bool idle = stored->record.state == LeaderRecord::State::Idle;
    auto goneSince = this->goneSince(stored->record, contact, now);
    // The last order of a run that is gone may still be on its way.
    if (goneSince && (idle || now >= *goneSince + leaderLeaseMargin))
        return LeaderStep::TakeOver;
    return idle && urgent && contact.isUnresponsive(now) ? LeaderStep::TakeOver : LeaderStep::Defer;
}

std::optional<TimePoint> LeaderTenure::goneSince(
    const LeaderRecord& record, const HolderContact& contact, TimePoint now) const
{
    if (record.holder != this->instance)
        return contact.disclaimedAt();
    // This run wrote the record before it lost the lease, and has no order in progress.
    if (record.leaseId == this->lastLeaseId)
        return now - leaderLeaseMargin;
    return this->startedAt;
}

void LeaderTenure::recordActing(const StoredLeader& written, TimePoint requestedAt)
{
    this->current = written;
    this->token = written.revision;
    this->lastLeaseId = written.record.leaseId;
    this->recordRenewal(written.record.leaseId, requestedAt);
}

void LeaderTenure::recordResumed(std::int64_t revision)
{
    if (!this->current)
        return;
    this->current->record.state = LeaderRecord::State::Acting;
    this->current->revision = revision;
    this->token = revision;
}

void LeaderTenure::recordIdle(std::int64_t revision)
{
    if (!this->current)
        return;
    this->current->record.state = LeaderRecord::State::Idle;
    this->current->revision = revision;
}

void LeaderTenure::recordRenewal(std::int64_t leaseId, TimePoint requestedAt)
{
    if (!this->current || this->current->record.leaseId != leaseId)
        return;
    this->validUntil = requestedAt + leaderLeaseDuration - leaderLeaseMargin;
}

void LeaderTenure::recordLoss() { this->current.reset(); }

bool LeaderTenure::mayAct(TimePoint now) const
{
    return this->current && this->current->record.state == LeaderRecord::State::Acting && now < this->validUntil;
}

bool LeaderTenure::needsRenewal(TimePoint now) const
{
    return this->validUntil - now <= Milliseconds(leaderLeaseDuration) / 3;
}

TenureStep LeaderTenure::idleStep(TimePoint now) const
{
    if (this->isOver(now))
        return TenureStep::Release;
    bool endsBeforeTenure = this->validUntil + leaderLeaseMargin < *this->lastOrderAt + leaderTenure;
    return endsBeforeTenure ? TenureStep::Renew : TenureStep::Keep;
}

} // namespace catkinlock
