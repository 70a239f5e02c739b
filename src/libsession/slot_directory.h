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

} // namespace catkinlock
