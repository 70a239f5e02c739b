#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/group_record.h"
#include "catkinlock/tables.h"
#include "catkinlock/target_record.h"
#include "libsession/group_membership.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlock {

/// An instance that is registered in the metadata store.
struct RegisteredInstance {
    /// Address at which other instances send messages to it, "ip:port".
    std::string peerAddress;
    std::string dataCentre;
    /// Processor cores that the instance may use; 0 if that is not known.
    double cores = 0;

    bool operator==(const RegisteredInstance&) const = default;
};

/// An immutable snapshot of the contents of the metadata store, read by the request path.
struct FleetView {
    /// Number of the view within this process; views with the same number are identical.
    std::uint64_t serial = 0;
    /// Revision of the metadata store that the view reflects.
    std::int64_t revision = 0;
    std::shared_ptr<const Tables> tables = std::make_shared<const Tables>();
    TargetDirectory targets;
    /// The agreed primary of each group, by service. A group whose primary was never replaced has no entry.
    std::map<std::string, GroupRecord> groups;
    /// The membership of each group, by service. A group has none until an instance has written it.
    std::map<std::string, GroupMembership> memberships;
    /// Names of the data centres that operators have evacuated: no statement is sent to the members there.
    std::set<std::string> evacuated;
    /// All registered instances, by name.
    std::map<std::string, RegisteredInstance> instances;
    /// Names of instances that have left: they have ended their sessions and use no view.
    std::set<std::string> leftInstances;
    /// For members that are leaving, the time from which on this instance sends them no statement, by member id.
    std::map<std::string, TimePoint> sendEnds;

    /// True if an instance of this name is registered with this address.
    bool lists(const std::string& name, const std::string& peerAddress) const;
    /// Names of all registered instances.
    std::vector<std::string> instanceNames() const;
    /// Number of instances that come before this one in the order in which instances do the work on a service that one
    /// of them is enough for. The order is a hash that differs from service to service.
    std::size_t rankOf(const std::string& instance, const std::string& service) const;
    /// Number of replicas of the service that have received a commit before it is acknowledged.
    std::size_t syncReplicasOf(const std::string& service) const;
    /// Members of a service, sorted by id; empty if the service is unknown.
    std::vector<TargetRecord> membersOf(const std::string& service) const;
    /// The same for the choice of a primary: a member in an evacuated data centre counts as draining.
    std::vector<TargetRecord> promotionMembersOf(const std::string& service) const;
    /// True if the member is in an evacuated data centre.
    bool isEvacuated(const TargetRecord&) const;
    /// True if the primary is to hand its role over: it is draining, or it is in an evacuated data centre and a member
    /// is listed that is neither draining nor evacuated.
    bool isToHandOver(const std::string& service) const;
    /// The member to use as primary: the one that the group's record names, or without a record the only member that
    /// claims the role. std::nullopt while the primary is being replaced, if the named member is not listed, or if no
    /// member or several claim the role. The member may be leaving; see `maySendTo`.
    std::optional<TargetRecord> primaryOf(const std::string& service) const;
    /// True if a statement may still be sent to the member at `now`, as far as its leaving is concerned.
    bool maySendTo(const std::string& member, TimePoint now) const;
    /// The term in the group's record; 0 if the group has none.
    std::uint64_t termOf(const std::string& service) const;
    /// True if the group's record names a member that reports itself as a replica, while another member reports itself
    /// as the primary. The reports may be out of date.
    bool isDeposed(const std::string& service) const;
    /// True while the primary of a service is being replaced.
    bool isReplacing(const std::string& service) const;
};

} // namespace catkinlock
