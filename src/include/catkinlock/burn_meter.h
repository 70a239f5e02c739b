#pragma once

#include "catkinlock/clock.h"
#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace catkinlock {

/// Cumulative counts of the requests that the service level objective covers, and of those among them that failed.
struct ServiceCounts {
    std::uint64_t total = 0;
    std::uint64_t failed = 0;

    auto operator<=>(const ServiceCounts&) const = default;
};

/// Burn rate of a subject's error budget in one window.
struct BurnRow {
    /// "route NAME" or "workspace NAME".
    std::string subject;
    /// Length of the window.
    std::chrono::minutes window;
    /// Requests within the window, as far as the subject's samples reach back.
    ServiceCounts counts;
    /// Failure ratio of the window divided by `errorBudget`. At a constant 1, the budget is used up exactly at the end
    /// of the objective's period. 0 if the window has no requests.
    double burnRate = 0;

    auto operator<=>(const BurnRow&) const = default;
};

/// Fraction of the covered requests that may fail under the service level objective (99.9 % succeed).
inline constexpr double errorBudget = 0.001;

/// Computes burn rates over sliding windows from samples of cumulative counters. Reads no clock.
class BurnMeter {
public:
    static constexpr std::array<std::chrono::minutes, 3> windows { std::chrono::minutes(5), std::chrono::minutes(60),
        std::chrono::minutes(360) };

    /// Records a subject's cumulative counts, which must not decrease from one call to the next. All requests in the
    /// first sample count as made at that time.
    void sample(const std::string& subject, const ServiceCounts&, TimePoint now);
    /// Returns one row per subject and window, ordered by subject and then as in `windows`.
    std::vector<BurnRow> report(TimePoint now) const;

private:
    struct Sample {
        TimePoint at;
        ServiceCounts counts;
    };
    std::map<std::string, std::deque<Sample>> samples;
};

} // namespace catkinlock
