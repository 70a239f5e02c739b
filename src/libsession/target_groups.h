#pragma once

#include "catkinlock/line_budget.h"
#include "catkinlock/position.h"
#include "catkinlock/tables.h"
#include "libsession/capacity_level.h"
#include "libsession/fleet_view.h"
#include "libsession/member_demand.h"
#include "libsession/position_window.h"
#include "libsession/slowness_watch.h"
#include "libsession/target_pool.h"
#include "libsession/view_freshness.h"
#include "libsession/warm_up_limit.h"
#include "libsession/work_kind.h"
#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlock {

/// The member that a statement is sent to, and the position that it must have.
struct Placement {
    std::shared_ptr<TargetPool> pool;
    /// The member refuses the statement unless its log has reached this position; std::nullopt for the primary.
    std::optional<Position> after;
    bool isPrimary = false;
    /// The member is the primary, but a replica can serve the statement too.
    bool isReplaceable = false;
};

/// A request that was sent to a member.
struct SentRequest {
    std::shared_ptr<TargetPool> pool;
    TimePoint sentAt;
    /// The member was the primary in use when the request was sent.
    bool toPrimary = false;
};

/// What a read requires of the member that serves it.
struct ReadRequirements {
    std::string service;
    std::string workspace;
    ReadConsistency consistency = ReadConsistency::Primary;
    /// The read must see every commit acknowledged longer ago than this.
    Milliseconds maxAge { 0 };
    /// Position of the session's last commit; term 0 if it made none.
    Position lastCommit;
    WorkKind work;
};

/// Latest position of each group's primary, by service.
using PrimaryPositions = std::map<std::string, PositionWindow::Sample>;

/// Lags of members, by member id.
using MemberLags = std::map<std::string, LagObservation>;

/// Health of one member as this instance observes it, copied for the control thread.
struct MemberObservation {
    std::string id;
    std::string service;
    MemberHealth health;
};

/// Log lines about members that turned slow or have recovered.
inline constexpr std::uint32_t maxSlownessLinesPerSecond = 2;

/// Connections, health and log positions of the members of all groups. Chooses the member for each statement. Runs on
/// the request thread.
class TargetGroups {
public:
    /// `instance`, `dataCentre`: name and location of this instance.
    TargetGroups(boost::asio::any_io_executor, std::shared_ptr<const TargetProtocol>, std::shared_ptr<ViewFreshness>,
        std::string instance, std::string dataCentre);

    /// Bounds the statements to members that warm up. Without a call they are not bounded.
    void limitWarmUp(WarmUpLimit::Terms);
    /// Creates, updates and closes pools to match the view, and starts the health of the primaries of new terms anew.
    /// Does nothing of that if the view was applied already. Call it every few hundred milliseconds, for the bound on
    /// members that warm up.
    void refresh(const FleetView&, TimePoint now);
    /// The member for a read, other than those in `tried` (member ids); std::nullopt if no member can serve it now.
    std::optional<Placement> placeRead(
        const FleetView&, const ReadRequirements&, const std::set<std::string>& tried, TimePoint now);
    /// The primary, for writes and transactions that may write. std::nullopt if there is none, if the view is too old
    /// to confirm it, or if nothing more may be sent to it now: its data centre is evacuated, it has been leaving for
    /// too long, or it warms up.
    std::optional<Placement> placeWrite(const FleetView&, const std::string& service, TimePoint now);

    /// False if nothing may be sent to the member, because its data centre is evacuated or it has been leaving for too
    /// long. To be asked again just before a statement is sent, because the view may have changed since the placement.
    static bool mayUse(const FleetView&, const TargetPool&, TimePoint now);

    /// Notes that a request is sent to a member now.
    SentRequest requestTo(const FleetView&, std::shared_ptr<TargetPool>, TimePoint now) const;
    /// Records the position in the reply to a request as the primary's, if the member was the primary when the request
    /// was sent and is now.
    void recordReplyPosition(const FleetView&, const SentRequest&, const Position&, TimePoint now);
    /// Records the position in a reply of the primary to a request that was sent at `requestedAt`.
    void recordPrimaryPosition(const std::string& service, const Position&, TimePoint requestedAt);
    /// The latest known position of each group's primary.
    PrimaryPositions latestPositions() const;
    /// Members with a recent observation of a lag that is worth reporting to other instances.
    MemberLags laggingMembers(TimePoint now) const;
    /// Records a member's lag that another instance observed. Ignored if the member is unknown.
    void recordLag(const std::string& member, const LagObservation&);
    /// Records the lag of a member that replied with this position of its log.
    void recordMemberPosition(TargetPool&, const Position&, TimePoint now);
    /// Records that a commit was acknowledged at this position.
    void recordAcknowledged(const std::string& service, const Position&);
    /// Highest position, by service, at which this instance acknowledged a commit.
    std::map<std::string, Position> acknowledged() const { return this->highestAcknowledged; }
    std::vector<MemberObservation> observations() const;
    /// True if operations of the service go through gateways, because there are too few connections for all instances.
    bool usesGateways(const std::string& service) const { return this->gatewayServices.count(service) != 0; }
    /// The demand of this instance at the members of the services that it is a gateway of.
    std::vector<ServiceDemand> demands(TimePoint now) const;
    /// Records the demand that another gateway reported. `sender`: its address.
    void recordDemand(const std::string& sender, const DemandReport&, TimePoint now);
    /// Closes connections that have been idle for long, logs members that turned slow or recovered, and updates
    /// `capacity`. To be called several times a second.
    void runMaintenance(TimePoint now);
    const CapacityLevel& capacity() const { return this->capacityLevel; }
    void closeAll();
    const std::map<std::string, std::shared_ptr<TargetPool>>& pools() const { return this->poolById; }

private:
    void shareConnections(const FleetView&, const std::string& service, std::size_t connections, TimePoint now);
    std::optional<GatewayShare> gatewayShare(
        const FleetView&, const std::string& service, std::size_t connections) const;
    void shareSpeed(const FleetView&, const std::string& service);
    std::shared_ptr<TargetPool> poolOf(const std::string& id) const;
    bool mayPlaceOn(const TargetPool&, TimePoint now) const;
    Placement countPlacement(Placement, TimePoint now);
    std::optional<Placement> usablePrimary(const FleetView&, const std::string& service, TimePoint now) const;
    std::optional<Placement> primaryInUse(const FleetView&, const std::string& service, TimePoint now) const;
    void watchSpeeds(TimePoint now);
    void updateCapacity(TimePoint now);

    boost::asio::any_io_executor executor;
    std::shared_ptr<const TargetProtocol> protocol;
    std::shared_ptr<ViewFreshness> freshness;
    std::string instance;
    std::string dataCentre;
    // Makes the choice between equal members differ from other instances.
    std::uint64_t choiceSeed;
    std::set<std::string> gatewayServices;
    // Null if the statements to members that warm up are not bounded.
    std::unique_ptr<WarmUpLimit> warmUp;
    // Addresses of the other gateways of the services that this instance is a gateway of, by service.
    std::map<std::string, std::vector<std::string>> gatewayPeers;
    // Speeds of the members of these services, by service.
    std::map<std::string, std::shared_ptr<MemberSpeed>> speeds;
    SlownessWatch slownessWatch;
    LineBudget slownessLines { maxSlownessLinesPerSecond };
    CapacityLevel capacityLevel;
    // Early refusals at members that are no longer listed.
    std::uint64_t refusedEarlyBefore = 0;
    // Serial of the view that was applied last.
    std::uint64_t viewSerial = 0;
    std::map<std::string, std::shared_ptr<TargetPool>> poolById;
    // Positions of each group's primary, by service.
    std::map<std::string, PositionWindow> windows;
    std::map<std::string, Position> highestAcknowledged;
};

} // namespace catkinlock
