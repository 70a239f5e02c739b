#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/group_state.h"
#include <memory>
#include <vector>

namespace catkinlock {

/// Timeouts that decide when a primary is replaced, and the pacing of elections.
struct FailoverTimes {
    /// Starts an election when the primary has not responded to this instance for this long and a majority of the
    /// members report that they have received no message from the primary for as long.
    Milliseconds suspectAfter { 600 };
    /// Starts an election when a majority of the members have received no message from the primary for this long,
    /// although the primary still responds to this instance.
    Milliseconds stalledAfter { 1500 };
    /// Starts an election when the primary has not responded to this instance for this long and no other watcher
    /// reaches it, even if its replicas still receive messages from it.
    Milliseconds unreachableAfter { 3000 };
    /// Delay per rank before a watcher starts an election, so that watchers of lower rank start first.
    Milliseconds rankDelay { 250 };
    /// Timeout of each step of an election (fencing, promotion), and the base of the random delay before this watcher
    /// starts another election after a timeout.
    Milliseconds stepTimeout { 500 };
    /// Minimum interval between two Follow commands of the watcher of rank 0 to the same member; multiplied by
    /// `rank` + 1 for the others.
    Milliseconds followInterval { 500 };

    auto operator<=>(const FailoverTimes&) const = default;
};

/// A command to a member, which the caller sends through the adapter of the target.
struct FailoverAction {
    enum class Kind {
        /// Have the member promise `term` and refuse all older ones.
        Fence,
        /// Make the member the primary of `term`.
        Promote,
        /// Have the member replicate from `primary` in `term`.
        Follow,
    };
    Kind kind;
    /// Index of the member that receives the command.
    std::size_t member = 0;
    std::uint64_t term = 0;
    /// Index of the primary to follow; used for Follow only.
    std::size_t primary = 0;

    auto operator<=>(const FailoverAction&) const = default;
};

/// Detects the loss of the primary of one database group and elects a new one. An instance that runs this for a group
/// is one of its watchers. A group may have any number of watchers at the same time, since safety depends only on the
/// members: a member promises each term at most once, so at most one election obtains a majority of promises for a
/// term. The fenced majority accepts no more entries from older terms, and its member with the newest log becomes the
/// primary, so every entry that a majority held is kept.
class Failover {
public:
    Failover(std::size_t memberCount, FailoverTimes, TimePoint now);
    ~Failover();
    Failover(Failover&&) noexcept;
    Failover& operator=(Failover&&) noexcept;

    /// Call periodically. Returns the commands to send now: Fence if an election starts, Follow for members that do not
    /// yet follow the current primary. `rank` is the position of this watcher among the group's watchers, from 0.
    /// `reachedByOthers` is true if another watcher reached the primary recently. `jitter`, a random number from 0 to
    /// 1, spreads the retries of concurrent watchers. An election also starts if no primary is known, and never unless
    /// a majority of the members respond.
    std::vector<FailoverAction> tick(
        const GroupState&, TimePoint now, unsigned rank, bool reachedByOthers, double jitter);
    /// Handles the response of a member to Fence. Returns a Promote command when a majority of the members have
    /// accepted `term`, and an empty list otherwise. Responses to an earlier election are ignored.
    std::vector<FailoverAction> handleFenceResponse(
        std::size_t member, std::uint64_t term, bool accepted, const MemberStatus&, TimePoint now);
    /// Handles the response of a member to Promote. Returns true if the member accepted, which ends the election.
    bool handlePromoteResponse(std::size_t member, std::uint64_t term, bool accepted);

    /// True while an election is in progress.
    bool electing() const;

private:
    struct Machine;

    bool primaryIsLost(const GroupState&, TimePoint now, bool reachedByOthers);
    std::vector<FailoverAction> startElection(const GroupState&, TimePoint now);
    std::vector<FailoverAction> reconcile(const GroupState&, TimePoint now, unsigned rank);

    FailoverTimes times;
    std::unique_ptr<Machine> machine;
    std::size_t memberCount;
    // Term of the last election that this instance started.
    std::uint64_t term = 0;
    // End of the current election step.
    TimePoint stepDeadline;
    // No new election starts before this time. An election that times out sets it to the end of a random delay.
    TimePoint earliestElection;
    std::optional<TimePoint> primaryLostSince;
    // Term of the current primary and when this instance first observed it. The time without messages that a replica
    // reports may have begun under the previous primary, so it counts against the current primary only after this
    // instance has observed that primary for the whole timeout.
    std::uint64_t observedTerm = 0;
    TimePoint observedTermSince;
    // A primary from which a majority of the members receive nothing. It may have the newest log, but it can't
    // replicate, so the election ignores its promise and does not promote it.
    std::optional<std::size_t> excludedPrimary;
    // Members that accepted the fence in the current election, with their status.
    std::vector<std::pair<std::size_t, MemberStatus>> acceptances;
    // When each member was last sent a Follow command.
    std::vector<TimePoint> lastFollowAt;
};

} // namespace catkinlock
