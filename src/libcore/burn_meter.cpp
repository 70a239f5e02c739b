#include "catkinlock/burn_meter.h"

namespace catkinlock {

namespace {

    // Minimum time between two stored samples. A sample that follows sooner replaces the previous one.
    constexpr std::chrono::seconds sampleInterval { 30 };

} // namespace

void BurnMeter::sample(const std::string& subject, const ServiceCounts& counts, TimePoint now)
{
    auto& series = this->samples[subject];
    if (series.empty())
        series.push_back({ now, {} });
    if (series.size() > 1 && now - series[series.size() - 2].at < sampleInterval)
        series.back() = { now, counts };
    else
        series.push_back({ now, counts });
    while (series.size() > 2 && now - series[1].at > windows.back())
        series.pop_front();
}

std::vector<BurnRow> BurnMeter::report(TimePoint now) const
{
    std::vector<BurnRow> rows;
    for (const auto& [subject, series] : this->samples) {
        for (std::chrono::minutes window : windows) {
            // The window's counts are relative to the newest sample that is at least as old as the window.
            const Sample* start = &series.front();
            for (const Sample& sample : series) {
                if (now - sample.at >= window)
                    start = &sample;
            }
            const ServiceCounts& end = series.back().counts;
            BurnRow row { subject, window, { end.total - start->counts.total, end.failed - start->counts.failed }, 0 };
            if (row.counts.total)
                row.burnRate
                    = static_cast<double>(row.counts.failed) / static_cast<double>(row.counts.total) / errorBudget;
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace catkinlock
