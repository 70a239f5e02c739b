#pragma once

#include "catkinlock/membership.h"
#include "catkinlock/metadata_store.h"
#include "libsession/fleet_view.h"
#include <map>
#include <string>
#include <vector>

namespace catkinlock {

/// The instances that hold slots by the metadata store, as records that replace older ones.
std::vector<InstanceRecord> holdersOfSlots(const std::map<std::string, KeyValue>& values, const FleetView&);

/// Records that end those of `known` that are not among the holders any more: what they held is free.
std::vector<InstanceRecord> recordsOfVanished(
    const std::vector<InstanceRecord>& known, const std::vector<InstanceRecord>& holders, std::uint64_t version);

/// Slots that the store lists under an instance's name.
std::vector<std::uint32_t> slotsListedFor(const std::map<std::string, KeyValue>&, const std::string& instance);

} // namespace catkinlock
