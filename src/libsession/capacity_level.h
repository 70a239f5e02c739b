#pragma once

#include <atomic>
#include <cstdint>

namespace catkinlock {

/// Use of the members' capacity by this instance as a gateway, for the metrics. Written on the request thread, read on
/// any.
struct CapacityLevel {
    /// Places in use, and places that this instance may use now, at all members of its services.
    std::atomic<std::uint64_t> placesInUse { 0 };
    std::atomic<std::uint64_t> places { 0 };
    std::atomic<std::uint64_t> waiting { 0 };
    /// Statements since the start that were refused at once because they would not have been served in time.
    std::atomic<std::uint64_t> refusedEarly { 0 };
    /// The greatest slowness of a member (`MemberSpeed::slowness`), in hundredths.
    std::atomic<std::uint64_t> maxSlownessPercent { 100 };
};

} // namespace catkinlock
