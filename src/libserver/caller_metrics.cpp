#include "libserver/caller_metrics.h"

namespace catkinlock {

void appendCallerMetrics(std::vector<Metric>& metrics, const CallerBudget& budget)
{
    auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    metrics.push_back({ "caller_connections", "Open connections of callers", count(budget.connections()) });
    metrics.push_back({ "caller_bytes", "Bytes held for callers, without the first 16 KiB of each connection",
        count(budget.totalBytes()) });
    for (std::size_t i = 0; i < callerLimitCount; ++i) {
        auto limit = static_cast<CallerLimit>(i);
        metrics.push_back({ "caller_limits_met_total", "Connections refused or closed for a limit",
            count(budget.timesMet(limit)), true, "limit", callerLimitName(limit) });
    }
}

} // namespace catkinlock
