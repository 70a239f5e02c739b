#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/member_status.h"
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace catkinlock {

/// State of a database group as one instance observes it through status responses of the members. Derives which member
/// is the primary, which positions a majority holds, and which members are fresh enough for a read. Members are indexed
/// as in the pool's table. The caller passes the current time, and clocks of members are not trusted: the age of data
/// is counted from the moment at which this instance sent the status request.
class GroupState {
public:
    /// What is known about one member.
    struct Observation {
        /// Status from the most recently sent request that got a response; empty before the first one.
        std::optional<MemberStatus> status;
        /// When the request whose response is `status` was sent.
        TimePoint requestedAt;
        /// When a response of the member last arrived; before the first one, when this state was created.
        TimePoint lastResponseAt;
        /// Failed requests since the last response.
        unsigned consecutiveFailures = 0;
    };

    GroupState() = default;
    GroupState(std::size_t memberCount, TimePoint now);

    /// Records the status that a member returned to a request sent at `requestedAt`. `now` is the time of arrival.
    void observe(std::size_t member, const MemberStatus&, TimePoint requestedAt, TimePoint now);
    /// Records that a request to a member failed or timed out.
    void recordFailure(std::size_t member, TimePoint now);
    /// Records a position that a member is known to hold, such as that of a commit on the primary. Ignored if it
    /// belongs to another term than the member's status or is older.
    void recordPosition(std::size_t member, const Position&);

    std::size_t size() const { return this->observations.size(); }
    std::size_t majority() const { return this->observations.size() / 2 + 1; }
    const Observation& observation(std::size_t member) const { return this->observations[member]; }
    /// The newest term that any member has promised; 0 if no status is known.
    std::uint64_t newestPromisedTerm() const;
    /// The member that reports itself as primary of the newest promised term; std::nullopt if there is none.
    std::optional<std::size_t> primary() const;
    /// True if a majority of the members durably hold `position` in the log of that position's term and have promised
    /// no newer term. Such a position survives every later election.
    bool confirmed(const Position&) const;
    /// True if a read on the member sees everything up to `floor`, according to its last status.
    bool readable(std::size_t member, const Position& floor) const;
    /// A position such that data which includes it is at most `age` old at `now`. Returns std::nullopt if no such
    /// position can be proven, for example because the primary is unknown or no majority of the members has responded
    /// within `age`.
    std::optional<Position> freshnessFloor(Duration age, TimePoint now) const;

private:
    // Position that the primary reported to a request sent at `requestedAt`. It is proven once a majority of the
    // members have responded to a request sent at that time or later with the same promised term: then no newer primary
    // can have acknowledged anything before `requestedAt`.
    struct Sample {
        TimePoint requestedAt;
        Position position;
        bool proven = false;
    };

    void updateProvenSamples();

    std::vector<Observation> observations;
    // In order of `requestedAt`.
    std::deque<Sample> samples;
};

} // namespace catkinlock
