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

/// Gets the positions of primaries and the lags of members from other instances. In a large fleet each instance sends a
/// primary so few statements that it often has no position recent enough for the maximum age of a read, and such a read
/// has to go to the primary. The ages in a reply are counted from the time at which this instance sent its query, so
/// that a delayed reply makes a position look older but never newer. Runs on the control thread.
class PositionExchange {
public:
    struct Hooks {
        /// Another instance reported this position of a service's primary. The primary sent it in reply to a request
        /// that left at `requestedAt` or later.
        std::function<void(const std::string& service, const PositionWindow::Sample&)> positionReceived;
        /// Another instance reported this lag of a member.
        std::function<void(const std::string& member, const LagObservation&)> lagReceived;
    };

    PositionExchange(std::shared_ptr<PeerLink>, Hooks);

    /// Sets the positions and lags that this instance knows, from members and from other instances. They decide whether
    /// a query is needed and are reported to other instances.
    void update(PrimaryPositions knownPositions, MemberLags knownLags)
    {
        this->positions = std::move(knownPositions);
        this->lags = std::move(knownLags);
    }
    /// Sends a query to a few of `peers` (addresses) if the latest position of any of `services` is missing or older
    /// than a few hundred milliseconds. Call it every few hundred milliseconds.
    void queryIfStale(const std::vector<std::string>& services, const std::vector<std::string>& peers, TimePoint now);
    /// Replies with the positions of the last few seconds and the lags that this instance knows.
    void receiveQuery(const std::string& sender, const wire::PositionsQuery&);
    /// Passes the positions and lags of a reply to the hooks. A reply to an unknown query is ignored.
    void receiveReply(const wire::PositionsReply&);

private:
    bool isUpToDate(const std::vector<std::string>& services, TimePoint now) const;

    std::shared_ptr<PeerLink> link;
    Hooks hooks;
    PrimaryPositions positions;
    MemberLags lags;
    // Time at which each query was sent, by query id.
    std::map<std::uint64_t, TimePoint> pendingQueries;
    std::uint64_t lastQueryId;
    std::minstd_rand random;
};

} // namespace catkinlock
