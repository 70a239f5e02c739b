#include "libsession/concurrency_limit.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // The mean follows this many replies.
    constexpr unsigned meanReplies = 32;
    // Length of the periods whose least response times count.
    constexpr Milliseconds leastPeriod { 10000 };
    // The least of fewer response times says little about the time on the way.
    constexpr unsigned minSamples = 32;
    // After a refusal the member gets no more statements than it runs for this time.
    constexpr Milliseconds refusalMemory { 1000 };

    double toMs(Duration took) { return std::chrono::duration<double, std::milli>(took).count(); }

} // namespace

void ConcurrencyLimit::recordLeast(double ms, TimePoint now)
{
    if (now - this->periodBeganAt >= leastPeriod) {
        bool recent = now - this->periodBeganAt < 2 * leastPeriod;
        this->lastLeastMs = this->leastMs;
        this->lastSamples = recent ? this->samples : 0;
        this->samples = 0;
        this->periodBeganAt = now;
    }
    this->leastMs = this->samples ? std::min(this->leastMs, ms) : ms;
    ++this->samples;
}

void ConcurrencyLimit::recordReply(Duration took, TimePoint now)
{
    this->replies = std::min(this->replies + 1, meanReplies);
    this->meanMs += (toMs(took) - this->meanMs) / this->replies;
    this->recordLeast(toMs(took), now);
}

void ConcurrencyLimit::recordExchange(Duration took, TimePoint now) { this->recordLeast(toMs(took), now); }

double ConcurrencyLimit::stretch(TimePoint now) const
{
    if (this->samples + this->lastSamples < minSamples)
        return 1;
    if (this->refusedAt != TimePoint() && now - this->refusedAt < refusalMemory)
        return 1;
    double onTheWay = this->samples ? this->leastMs : this->lastLeastMs;
    if (this->samples && this->lastSamples)
        onTheWay = std::min(this->leastMs, this->lastLeastMs);
    if (this->meanMs <= onTheWay * maxStretch / (maxStretch - 1))
        return maxStretch;
    return this->meanMs / (this->meanMs - onTheWay);
}

Duration ConcurrencyLimit::meanResponse() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(this->meanMs));
}

} // namespace catkinlock
