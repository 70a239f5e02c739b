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

/// Requests counted towards the service level: those that it covers, and those of them that it failed.
struct ServiceCounts {
    std::uint64_t total = 0;
    std::uint64_t failed = 0;

    auto operator<=>(const ServiceCounts&) const = default;
};

/// How fast a subject uses up its error budget in one window. 1 uses the whole budget in the budget's period.
struct BurnRow {
    /// "route NAME" or "workspace NAME".
    std::string subject;
    std::chrono::minutes window;
    ServiceCounts counts;
    double burn = 0;

    auto operator<=>(const BurnRow&) const = default;
};

/// Share of the covered requests that the service level lets fail.
inline constexpr double errorBudget = 0.001;

/// Gathers counts that only grow into windows, and reports the burn of each. No clock is read here.
class BurnMeter {
public:
    static constexpr std::array<std::chrono::minutes, 3> windows { std::chrono::minutes(5), std::chrono::minutes(60),
        std::chrono::minutes(360) };

    /// Takes in a subject's counts since the start of the process.
    void sample(const std::string& subject, const ServiceCounts&, TimePoint now);
    /// One row a subject and window, subjects in order.
    std::vector<BurnRow> report(TimePoint now) const;

private:
    struct Sample {
        TimePoint at;
        ServiceCounts counts;
    };
    std::map<std::string, std::deque<Sample>> samples;
};

} // namespace catkinlock
