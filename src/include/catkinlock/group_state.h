#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/member_status.h"
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace catkinlock {

/// What one instance knows of a database group, from the answers of its members, and what follows from it: which member
/// is the primary, what a majority holds, and which members are fresh enough for a read. Members are numbered as in the
/// pool's table. No clock is read here and no member's clock is trusted: the age of data is counted from the moment
/// this instance sent the question.
class GroupState {
public:
    struct View {
        std::optional<MemberStatus> status;
        /// When the question that `status` answers was sent.
        TimePoint askedAt;
        /// When the member last answered anything.
        TimePoint answeredAt;
        /// Questions without an answer since then.
        unsigned failures = 0;
    };

    GroupState() = default;
    GroupState(std::size_t memberCount, TimePoint now);

    /// Takes in an answer of a member to a question that was sent at `askedAt`.
    void observe(std::size_t member, const MemberStatus&, TimePoint askedAt, TimePoint now);
    /// Takes in that a question to a member had no answer.
    void noteFailure(std::size_t member, TimePoint now);
    /// Takes in a position that a member is known to hold, such as that of a commit on the primary.
    void notePosition(std::size_t member, const Position&);

    std::size_t size() const { return this->views.size(); }
    std::size_t majority() const { return this->views.size() / 2 + 1; }
    const View& view(std::size_t member) const { return this->views[member]; }
    /// The newest term that any member has promised.
    std::uint64_t newestPromise() const;
    /// The member that says it is the primary of the newest promised term.
    std::optional<std::size_t> primary() const;
    /// True if a majority of the members durably hold `position` in the log of its own term and have promised no newer
    /// one. Such a position survives every later election.
    bool confirmed(const Position&) const;
    /// True if reads on the member see everything up to `floor`.
    bool readable(std::size_t member, const Position& floor) const;
    /// The position that data must reach to be at most `age` old at `now`; nothing if this can't be proved, as when the
    /// primary is not known or no majority has answered since.
    std::optional<Position> freshnessFloor(Duration age, TimePoint now) const;

private:
    // A position of the primary at the moment of `askedAt`. It is proved once a majority has answered a later question
    // with the same promise, since no newer primary can have acknowledged anything before.
    struct Sample {
        TimePoint askedAt;
        Position position;
        bool proved = false;
    };

    void proveSamples();

    std::vector<View> views;
    std::deque<Sample> samples;
};

} // namespace catkinlock
