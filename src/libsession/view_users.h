#pragma once

#include "catkinlock/clock.h"
#include "libsession/fleet_view.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinlock {

/// Decides for which instances a leader waits before a new primary may serve: all that may still use a view from before
/// the old one was replaced. An instance uses only views that list it, for at most the maximum age of a view, so that
/// one whose registration ended is waited for as long as its last view may be in use, unless it left by itself.
/// Does no I/O.
class ViewUsers {
public:
    /// `maxViewAge`: time after its last confirmation for which an instance may use a view. `leaseTime`: time for which
    /// a registration lasts at least.
    ViewUsers(Milliseconds maxViewAge, Milliseconds leaseTime);

    /// Records that this instance uses this view from `now` on. `confirmedAt`: time as of which its view was confirmed
    /// before; the clock's epoch if it never was.
    void recordView(const FleetView&, TimePoint confirmedAt, TimePoint now);
    /// Records that the instance at this address uses a view of this revision of the store, or of a later one.
    void recordRevision(const std::string& address, std::int64_t revision);

    /// Peer addresses of the instances, but for `self`, that may use a view of before `revision`.
    std::vector<std::string> behind(std::int64_t revision, const std::string& self, TimePoint now) const;
    /// True if no instance but `self` uses a view of before `revision`. False as long as this instance's own view is of
    /// before it, or may lack an instance whose registration has ended.
    bool allHave(std::int64_t revision, const std::string& self, TimePoint now) const;

private:
    struct FormerInstance {
        std::string peerAddress;
        // Its last view is not used from then on.
        TimePoint viewEndsAt;
    };

    bool mayBeBehind(const std::string& address, std::int64_t revision) const;
    void recordEnded(const FleetView&, TimePoint now);

    Milliseconds maxViewAge;
    Milliseconds leaseTime;
    std::int64_t viewRevision = 0;
    // By name.
    std::map<std::string, RegisteredInstance> instances;
    // Instances whose registration ended, by name.
    std::map<std::string, FormerInstance> formerInstances;
    // Until then an instance may use a view whose registration ended without this instance having seen it.
    TimePoint unseenViewsEndAt;
    // Latest revision that each instance has reported, by its address.
    std::map<std::string, std::int64_t> revisions;
};

} // namespace catkinlock
