#pragma once

#include "catkinlock/group_record.h"
#include "catkinlock/tables.h"
#include "catkinlock/target_record.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// An instance that has registered itself.
struct RegisteredInstance {
    /// Where the others reach it, "ip:port".
    std::string peerAddress;
    std::string dataCentre;

    bool operator==(const RegisteredInstance&) const = default;
};

/// An immutable picture of what the metadata store holds, for the request path.
struct FleetView {
    /// Counts the views of this process; two with the same number are the same.
    std::uint64_t serial = 0;
    /// Revision of the store that this shows.
    std::int64_t revision = 0;
    std::shared_ptr<const Tables> tables = std::make_shared<const Tables>();
    TargetDirectory targets;
    /// What the fleet agreed on, by service.
    std::map<std::string, GroupRecord> groups;
    /// All registered instances, by name.
    std::map<std::string, RegisteredInstance> instances;

    /// Names of all registered instances.
    std::vector<std::string> instanceNames() const;
    /// Members of a service, by id.
    std::vector<TargetRecord> membersOf(const std::string& service) const;
    /// The member to be used as primary; nothing while it is being replaced or unknown.
    std::optional<TargetRecord> primaryOf(const std::string& service) const;
    /// True while the primary of a service is being replaced.
    bool isReplacing(const std::string& service) const;
};

} // namespace catkinlock
