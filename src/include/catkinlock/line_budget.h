#pragma once

#include "catkinlock/clock.h"
#include <algorithm>
#include <atomic>
#include <cstdint>

namespace catkinlock {

/// Limits the rate of one kind of log line with a token bucket and counts the lines that it suppresses. Not
/// thread-safe, except for `omitted`.
class LineBudget {
public:
    /// `linesPerSecond`: rate in lines per second, and also the largest burst in lines.
    explicit LineBudget(std::uint32_t linesPerSecond)
        : linesPerSecond(linesPerSecond)
        , tokens(linesPerSecond)
    {
    }

    /// Takes one token. Returns false, and counts the line as omitted, if none is left at `now`, which must not
    /// decrease from one call to the next.
    bool take(TimePoint now)
    {
        double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
        this->refilledAt = now;
        this->tokens = std::min<double>(this->linesPerSecond, this->tokens + seconds * this->linesPerSecond);
        if (this->tokens < 1) {
            ++this->omittedLines;
            return false;
        }
        this->tokens -= 1;
        return true;
    }
    /// Number of lines suppressed since construction. Callable from any thread.
    std::uint64_t omitted() const { return this->omittedLines.load(); }

private:
    double linesPerSecond;
    double tokens;
    TimePoint refilledAt;
    std::atomic<std::uint64_t> omittedLines { 0 };
};

} // namespace catkinlock
