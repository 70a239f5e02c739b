#pragma once

#include "catkinlock/clock.h"
#include "libsession/target_groups.h"
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace catkinlock::wire {
class PositionsQuery;
class PositionsReply;
}

namespace catkinlock {

class PeerLink;

/// Learns positions of primaries, and which members lag, from other instances. In a large fleet an instance asks a
/// primary so seldom that it knows no position which covers a read's age, and without one a read has to go to the
/// primary. Ages are counted from when this instance asked, so that an answer that was held up looks older and never
/// newer. On the control thread.
class PositionExchange {
public:
    struct Hooks {
        /// A primary answered with this position to a question that left at that time, or later.
        std::function<void(const std::string& service, const PositionWindow::Sample&)> learned;
        /// A member lagged when another instance saw it.
        std::function<void(const std::string& member, const LagSight&)> lagLearned;
    };

    PositionExchange(std::shared_ptr<PeerLink>, Hooks);

    /// What this instance knows itself, from answers and from others.
    void update(PrimaryPositions known, MemberLags seen)
    {
        this->positions = std::move(known);
        this->lags = std::move(seen);
    }
    /// Asks a few of `peers` (their addresses) if one of `services` has no position that is newer than a few hundred
    /// milliseconds. Call it often.
    void look(const std::vector<std::string>& services, const std::vector<std::string>& peers, TimePoint now);
    void receiveQuery(const std::string& sender, const wire::PositionsQuery&);
    void receiveReply(const wire::PositionsReply&);

private:
    bool isUpToDate(const std::vector<std::string>& services, TimePoint now) const;

    std::shared_ptr<PeerLink> link;
    Hooks hooks;
    PrimaryPositions positions;
    MemberLags lags;
    // When each question left, by its number.
    std::map<std::uint64_t, TimePoint> asked;
    std::uint64_t lastId;
    std::minstd_rand random;
};

} // namespace catkinlock
