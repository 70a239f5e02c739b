#include "libsession/position_window.h"

namespace catkinlock {

namespace {

    // The oldest samples beyond this count are dropped. A read whose maximum age reaches further back uses the oldest
    // one that is left, since a later position includes the same commits.
    constexpr std::size_t maxSamples = 128;
    // A sample that follows the last one sooner than this is not recorded.
    constexpr Milliseconds minSampleSpacing { 20 };

} // namespace

void PositionWindow::record(const Position& position, TimePoint requestedAt)
{
    if (!position.term)
        return;
    if (!this->samples.empty() && requestedAt < this->samples.back().requestedAt + minSampleSpacing)
        return;
    this->samples.push_back({ position, requestedAt });
    if (this->samples.size() > maxSamples)
        this->samples.pop_front();
}

std::optional<Position> PositionWindow::covering(TimePoint since) const
{
    for (const Sample& sample : this->samples) {
        if (sample.requestedAt >= since)
            return sample.position;
    }
    return std::nullopt;
}

std::optional<PositionWindow::Sample> PositionWindow::latest() const
{
    return this->samples.empty() ? std::nullopt : std::optional(this->samples.back());
}

Duration PositionWindow::lagOf(const Position& position, TimePoint now) const
{
    for (const Sample& sample : this->samples) {
        if (sample.position > position)
            return now - sample.requestedAt;
    }
    return Duration(0);
}

} // namespace catkinlock
