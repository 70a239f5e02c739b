#pragma once

#include "libsession/fleet_view.h"
#include <string>
#include <vector>

namespace catkinlock {

/// The sources from which an instance receives changes of the metadata store.
struct RelayPlan {
    /// True if the instance polls the store itself and follows relays only while the store is unavailable to it. The
    /// other instances poll the store only while no relay is available.
    bool pollsStore = false;
    /// The relays to follow, in order of preference.
    std::vector<std::string> relays;
    /// The other instances, in order of preference; they reply to requests as relays do.
    std::vector<std::string> others;
};

/// Returns the sources of changes for instance `self`. Only a few instances of each data centre (the relays) poll the
/// store, which limits the load on the store in a large fleet. The others prefer the relays of their own data centre to
/// those of other ones.
RelayPlan planRelays(const FleetView&, const std::string& self);

} // namespace catkinlock
