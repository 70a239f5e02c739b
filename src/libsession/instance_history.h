#pragma once

#include "catkinlock/clock.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace catkinlock {

struct FleetView;

/// The instances that may be sending statements now, as one instance knows them: those that its usable views have
/// listed within `retention`. If `retention` is longer than the maximum age of a view by at least the time that is
/// looked at, and registrations last longer than views, every instance for which `isEstablished` holds is among those
/// that every other such instance knows. Does no I/O. Made for 1,600 instances and a few views a second.
class InstanceHistory {
public:
    InstanceHistory(std::string self, Duration retention);

    /// Records the view in use. `usable`: statements may be sent on it. Call it at least every `maxGap`.
    void record(const FleetView&, bool usable, TimePoint now);
    /// True if the usable views have listed this instance for `retention` without a gap.
    bool isEstablished(TimePoint now) const;
    /// Number of known instances.
    std::size_t size() const { return this->listed.size() + this->gone.size(); }
    /// Number of known instances that come before this one in a hash order that differs from member to member.
    std::size_t rankFor(const std::string& member) const;

    /// Longest time between two records. After a longer one this instance counts as new.
    static constexpr Milliseconds maxGap { 1000 };

private:
    void takeNames(const FleetView&, TimePoint now);

    std::string self;
    Duration retention;
    // Instances that the last view lists.
    std::set<std::string> listed;
    // Instances that an earlier view listed, and until when one did.
    std::map<std::string, TimePoint> gone;
    std::uint64_t viewSerial = 0;
    TimePoint recordedAt;
    // Since when the usable views have listed this instance; the clock's epoch if the last one doesn't.
    TimePoint listedSince;
};

} // namespace catkinlock
