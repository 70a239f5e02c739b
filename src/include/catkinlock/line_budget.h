#pragma once

#include "catkinlock/clock.h"
#include <algorithm>
#include <atomic>
#include <cstdint>

namespace catkinlock {

/// Bounds the lines of one kind that a process logs, by a rate and a burst, and counts those left out. On one thread,
/// but for the count.
class LineBudget {
public:
    /// `perSecond`: lines a second; as many may come at once.
    explicit LineBudget(std::uint32_t perSecond)
        : perSecond(perSecond)
        , left(perSecond)
    {
    }

    /// True if a line may be written at `now`.
    bool take(TimePoint now)
    {
        double seconds = std::chrono::duration<double>(now - this->filledAt).count();
        this->filledAt = now;
        this->left = std::min<double>(this->perSecond, this->left + seconds * this->perSecond);
        if (this->left < 1) {
            ++this->leftOut;
            return false;
        }
        this->left -= 1;
        return true;
    }
    /// Lines that were left out. Any thread.
    std::uint64_t omitted() const { return this->leftOut.load(); }

private:
    double perSecond;
    double left;
    TimePoint filledAt;
    std::atomic<std::uint64_t> leftOut { 0 };
};

} // namespace catkinlock
