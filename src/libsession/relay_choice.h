#pragma once

#include "libsession/fleet_view.h"
#include <string>
#include <vector>

namespace catkinlock {

/// From whom an instance learns of changes of the metadata store.
struct RelayPlan {
    /// It asks the store itself, and follows others only while it can't.
    bool asksStore = false;
    /// Names of the instances to follow, the best first.
    std::vector<std::string> relays;
};

/// A few instances of each data centre ask the store, so that its calls grow slowly with the fleet; the others follow
/// one of their data centre, or of another if none is there.
RelayPlan planRelays(const FleetView&, const std::string& self);

} // namespace catkinlock
