#include "catkinlock/burn_meter.h"

namespace catkinlock {

namespace {

    // Samples closer together than this replace each other.
    constexpr std::chrono::seconds sampleInterval { 30 };

} // namespace

void BurnMeter::sample(const std::string& subject, const ServiceCounts& counts, TimePoint now)
{
    auto& line = this->samples[subject];
    if (line.empty())
        line.push_back({ now, {} });
    if (line.size() > 1 && now - line[line.size() - 2].at < sampleInterval)
        line.back() = { now, counts };
    else
        line.push_back({ now, counts });
    while (line.size() > 2 && now - line[1].at > windows.back())
        line.pop_front();
}

std::vector<BurnRow> BurnMeter::report(TimePoint now) const
{
    std::vector<BurnRow> rows;
    for (const auto& [subject, line] : this->samples) {
        for (std::chrono::minutes window : windows) {
            // The last sample from before the window is what its counts start from.
            const Sample* start = &line.front();
            for (const Sample& sample : line) {
                if (now - sample.at >= window)
                    start = &sample;
            }
            const ServiceCounts& end = line.back().counts;
            BurnRow row { subject, window, { end.total - start->counts.total, end.failed - start->counts.failed }, 0 };
            if (row.counts.total)
                row.burn = static_cast<double>(row.counts.failed) / static_cast<double>(row.counts.total) / errorBudget;
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace catkinlock
