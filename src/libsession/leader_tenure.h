#pragma once

#include "catkinlock/clock.h"
#include "libsession/leader_record.h"
#include <cstdint>
#include <optional>
#include <string>

namespace catkinlock {

/// Duration of the leader lease in the store.
inline constexpr std::chrono::seconds leaderLeaseDuration { 4 };
/// The holder stops acting this long before its lease expires, because a request to promote may take that long.
inline constexpr Milliseconds leaderLeaseMargin { 1200 };
/// The holder keeps its lease for this long after its last order. The platform takes two instances that order
/// promotions in turn within 3 s for a fleet without one leader.
inline constexpr Milliseconds leaderTenure { 3200 };
/// Time that a request to promote a member usually takes at most.
inline constexpr Milliseconds orderAllowance { 300 };
/// A holder that has not replied to urgent queries for this long is taken for dead if its record is idle.
inline constexpr Milliseconds holderReplyTimeout { 400 };
/// Queries that follow the one before more closely are not counted, because one disturbance would lose them all.
inline constexpr Milliseconds minQuerySpacing { 100 };
/// Queries without a reply before a holder is taken for dead; a single one may have been lost.
inline constexpr unsigned minUnansweredQueries { 2 };
/// A query is forgotten if no other followed it for this long. Longer than the way from a query to the decision: the
/// wait for the rank, a status request to the primary, a read of the store.
inline constexpr Milliseconds holderQueryLifetime { 2000 };

/// The stored leader lease and the revision at which it was written.
struct StoredLeader {
    LeaderRecord record;
    std::int64_t revision = 0;

    auto operator<=>(const StoredLeader&) const = default;
};

/// What the holder of one lease replied to this instance's queries.
class HolderContact {
public:
    void recordQuery(TimePoint now);
    /// Records a reply: whether the sender holds the lease. If it does not, an earlier run of it acquired the lease.
    void recordReply(bool holds, TimePoint now);
    /// When the holder first replied that it does not hold the lease; std::nullopt if it did not.
    std::optional<TimePoint> disclaimedAt() const { return this->disclaimed; }
    /// True if the holder is taken for dead.
    bool isUnresponsive(TimePoint now) const;

private:
    unsigned unansweredQueries = 0;
    TimePoint unansweredSince;
    TimePoint lastQueryAt;
    std::optional<TimePoint> disclaimed;
};

/// What an instance that wants to replace a primary does about the leader lease.
enum class LeaderStep {
    /// It holds the lease and may act.
    Act,
    /// It holds the lease and writes to the store that it acts again.
    Resume,
    /// Nobody holds the lease: acquire it.
    Acquire,
    /// The holder is gone: put this instance's record in the place of the stored one.
    TakeOver,
    /// Another instance holds the lease: leave the replacement to it.
    Defer,
};

/// What the holder does about its lease while it has no replacement in progress.
enum class TenureStep {
    Keep,
    /// Renew the lease, so that it lasts to the end of the tenure.
    Renew,
    /// End the lease.
    Release,
};

/// Decides when one instance may act as the leader, the only instance that orders promotions. A holder keeps the lease
/// for `leaderTenure` after its last order, so that no two live instances order promotions in turn; it replaces the
/// primaries of all groups meanwhile. Takes events and the time as values.
class LeaderTenure {
public:
    /// `startedAt`: when this run of the instance started.
    LeaderTenure(std::string instance, TimePoint startedAt)
        : instance(std::move(instance))
        , startedAt(startedAt)
    {
    }

    /// The step towards a replacement. `urgent`: the group has no usable primary.
    LeaderStep next(const std::optional<StoredLeader>&, const HolderContact&, bool urgent, TimePoint now) const;

    /// The store wrote this instance's record with the state Acting. `requestedAt`: when the lease was requested, or
    /// its last renewal.
    void recordActing(const StoredLeader&, TimePoint requestedAt);
    /// This instance's record has replaced another one, whose holder may have ordered a moment before. Its own tenure
    /// begins, so that the lease does not end inside that holder's.
    void recordTakeOver(TimePoint now) { this->lastOrderAt = now; }
    /// The store wrote this instance's record with the state Acting again, under the same lease.
    void recordResumed(std::int64_t revision);
    /// The store wrote this instance's record with the state Idle.
    void recordIdle(std::int64_t revision);
    /// The store renewed the lease `leaseId`; the request was sent at `requestedAt`. Ignored for another lease.
    void recordRenewal(std::int64_t leaseId, TimePoint requestedAt);
    /// The lease has ended in the store, or another instance has replaced the record, or it is not known what the
    /// store holds.
    void recordLoss();
    /// A request to promote a member has ended, with or without an answer.
    void recordOrder(TimePoint now) { this->lastOrderAt = now; }

    /// True if this instance may act at `now`.
    bool mayAct(TimePoint now) const;
    /// True if less than a third of the lease's duration is left.
    bool needsRenewal(TimePoint now) const;
    /// True if the lease lasts to the end of the tenure of an order that ends at `now`. An order without that could be
    /// followed too early by another instance's.
    bool coversOrder(TimePoint now) const { return this->validUntil + leaderLeaseMargin >= now + leaderTenure; }
    /// What to do while no replacement is in progress.
    TenureStep idleStep(TimePoint now) const;
    /// True if the tenure of the last order is over, so that another instance may order promotions.
    bool isOver(TimePoint now) const { return !this->lastOrderAt || now >= *this->lastOrderAt + leaderTenure; }
    /// True if this instance acquired the lease `leaseId` and still holds it, or lost it before the end of its tenure.
    bool holds(std::int64_t leaseId, TimePoint now) const
    {
        return leaseId == this->lastLeaseId && (this->current || !this->isOver(now));
    }
    /// The record that this instance wrote last; std::nullopt if it does not hold the lease.
    const std::optional<StoredLeader>& held() const { return this->current; }
    /// The store's revision at which the holder acquired the lease or resumed, so that later holders have greater ones.
    std::int64_t fencingToken() const { return this->token; }

private:
    // The time from which no run that wrote the record is left; std::nullopt if it is not known to be gone.
    std::optional<TimePoint> goneSince(const LeaderRecord&, const HolderContact&, TimePoint now) const;

    std::string instance;
    TimePoint startedAt;
    std::optional<StoredLeader> current;
    std::int64_t token = 0;
    // No step of a replacement starts after this time.
    TimePoint validUntil;
    std::optional<TimePoint> lastOrderAt;
    // The store's lease of the latest record that this instance wrote; 0 if it wrote none.
    std::int64_t lastLeaseId = 0;
};

} // namespace catkinlock
