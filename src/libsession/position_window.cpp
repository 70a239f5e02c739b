#include "libsession/position_window.h"

namespace catkinlock {

namespace {

    // Older samples serve no route's age; a later one does as well.
    constexpr std::size_t mostSamples = 128;
    constexpr Milliseconds leastSpacing { 20 };

} // namespace

void PositionWindow::note(const Position& position, TimePoint askedAt)
{
    if (!position.term)
        return;
    if (!this->samples.empty() && askedAt < this->samples.back().askedAt + leastSpacing)
        return;
    this->samples.push_back({ position, askedAt });
    if (this->samples.size() > mostSamples)
        this->samples.pop_front();
}

std::optional<Position> PositionWindow::covering(TimePoint since) const
{
    for (const Sample& sample : this->samples) {
        if (sample.askedAt >= since)
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
            return now - sample.askedAt;
    }
    return Duration(0);
}

} // namespace catkinlock
