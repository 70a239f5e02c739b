#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/group_state.h"
#include <memory>
#include <vector>

namespace catkinlock {

/// Times of a failover.
struct FailoverTimes {
    /// Silence of a primary, both here and at a majority of its replicas, that starts an election.
    Milliseconds suspectAfter { 600 };
    /// Silence of a primary at its replicas alone, while it still answers here.
    Milliseconds stalledAfter { 1500 };
    /// Silence of a primary here alone, while its replicas still hear it and no other watcher reaches it.
    Milliseconds unreachableAfter { 3000 };
    /// How long each watcher of higher rank lets those before it go first.
    Milliseconds rankDelay { 250 };
    /// Longest time for each step of an election.
    Milliseconds stepTimeout { 500 };
    /// Least time between two orders to the same member to follow.
    Milliseconds followInterval { 500 };

    auto operator<=>(const FailoverTimes&) const = default;
};

/// An order to a member, for the adapter to carry out.
struct FailoverAction {
    enum class Kind {
        Fence,
        Promote,
        Follow,
    };
    Kind kind;
    std::size_t member = 0;
    std::uint64_t term = 0;
    /// For Follow: the primary to follow.
    std::size_t primary = 0;

    auto operator<=>(const FailoverAction&) const = default;
};

/// Replaces the primary of one database group. Any number of instances may run one for the same group: safety rests on
/// the members alone. A member promises each term at most once, so at most one election gathers a majority for a term.
/// The majority that is fenced takes nothing more from older terms, and the one of it with the newest log becomes the
/// primary, so that everything that a majority held is kept.
class Failover {
public:
    Failover(std::size_t memberCount, FailoverTimes, TimePoint now);
    ~Failover();
    Failover(Failover&&) noexcept;
    Failover& operator=(Failover&&) noexcept;

    /// Advances by time. `rank` is this watcher's place among the group's watchers, from 0. `reachedByOthers` tells
    /// whether another watcher reached the primary lately. `jitter` from 0 to 1 spreads retries.
    std::vector<FailoverAction> tick(
        const GroupState&, TimePoint now, unsigned rank, bool reachedByOthers, double jitter);
    /// Takes in a member's answer to Fence.
    std::vector<FailoverAction> fenced(
        std::size_t member, std::uint64_t term, bool accepted, const MemberStatus&, TimePoint now);
    /// Takes in a member's answer to Promote. True if the election is won.
    bool promoted(std::size_t member, std::uint64_t term, bool accepted);

    /// True while an election is under way.
    bool electing() const;

private:
    struct Machine;

    bool primaryIsLost(const GroupState&, TimePoint now, bool reachedByOthers);
    std::vector<FailoverAction> startElection(const GroupState&, TimePoint now);
    std::vector<FailoverAction> reconcile(const GroupState&, TimePoint now, unsigned rank);

    FailoverTimes times;
    std::unique_ptr<Machine> machine;
    std::size_t memberCount;
    std::uint64_t term = 0;
    TimePoint stepEnd;
    TimePoint notBefore;
    std::optional<TimePoint> lostSince;
    // The primary's term and when it was first seen. Silence from before a primary's time is not its own.
    std::uint64_t seenTerm = 0;
    TimePoint seenSince;
    // A primary that a majority of its replicas can't hear. It may have the newest log and still be of no use.
    std::optional<std::size_t> avoided;
    std::vector<std::pair<std::size_t, MemberStatus>> acceptances;
    std::vector<TimePoint> followedAt;
};

} // namespace catkinlock
