#pragma once

#include "catkinlock/position.h"
#include "catkinlock/tables.h"
#include "libsession/fleet_view.h"
#include "libsession/position_window.h"
#include "libsession/target_pool.h"
#include "libsession/view_freshness.h"
#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlock {

/// Where a statement goes, and what the member must hold.
struct Placement {
    std::shared_ptr<TargetPool> pool;
    /// The member refuses unless it has this position; nothing for the primary.
    std::optional<Position> after;
    bool isPrimary = false;
};

/// What a read asks for.
struct ReadNeed {
    std::string service;
    std::string workspace;
    ReadConsistency consistency = ReadConsistency::Primary;
    Milliseconds maxAge { 0 };
    /// Position of the session's last commit; term 0 if it made none.
    Position own;
};

/// Latest samples by service.
using PrimaryPositions = std::map<std::string, PositionWindow::Sample>;

/// Members that lag, by id.
using MemberLags = std::map<std::string, LagSight>;

/// What this instance saw of one member lately, for the control thread.
struct MemberSight {
    std::string id;
    std::string service;
    MemberHealth health;
};

/// The members of all groups as the request thread knows them: connections, health, positions. Places statements. On
/// the request thread.
class TargetGroups {
public:
    TargetGroups(boost::asio::any_io_executor, std::shared_ptr<const TargetProtocol>, std::shared_ptr<ViewFreshness>,
        std::string dataCentre);

    /// Takes in a new view; cheap if its revision is the last one's.
    void refresh(const FleetView&);
    /// The member for a read, but none of `tried`. Nothing if no member may serve it now.
    std::optional<Placement> placeRead(
        const FleetView&, const ReadNeed&, const std::set<std::string>& tried, TimePoint now) const;
    /// The primary, for writes and transactions that may write; nothing if there is none to be used.
    std::optional<Placement> placeWrite(const FleetView&, const std::string& service, TimePoint now) const;

    /// An answer of a member that was believed to be the primary when it was asked.
    void notePrimaryPosition(const std::string& service, const Position&, TimePoint askedAt);
    /// The latest position of each group's primary that is known here.
    PrimaryPositions latestPositions() const;
    /// Members that were far behind when they were asked last.
    MemberLags laggingMembers(TimePoint now) const;
    /// Another instance saw a member's lag.
    void noteLag(const std::string& member, const LagSight&);
    /// A member answered with this position of its log.
    void noteMemberPosition(TargetPool&, const Position&, TimePoint now);
    /// A commit was acknowledged at this position.
    void noteAcknowledged(const std::string& service, const Position&);
    std::map<std::string, Position> acknowledged() const { return this->highestAcknowledged; }
    std::vector<MemberSight> sights() const;
    void keepHouse(TimePoint now);
    void closeAll();
    const std::map<std::string, std::shared_ptr<TargetPool>>& pools() const { return this->poolById; }

private:
    std::shared_ptr<TargetPool> poolOf(const std::string& id) const;

    boost::asio::any_io_executor executor;
    std::shared_ptr<const TargetProtocol> protocol;
    std::shared_ptr<ViewFreshness> freshness;
    std::string dataCentre;
    std::uint64_t viewSerial = 0;
    std::map<std::string, std::shared_ptr<TargetPool>> poolById;
    std::map<std::string, PositionWindow> windows;
    std::map<std::string, Position> highestAcknowledged;
};

} // namespace catkinlock
