#include "libsession/gateway_clocks.h"

namespace catkinlock {

namespace {

    // Older requests are refused by a gateway. Long enough for a busy link between data centres.
    constexpr Milliseconds maxRequestAge { 500 };
    // An older sample is replaced even by a less exact one, since clocks run at slightly different speeds.
    constexpr std::chrono::seconds sampleLifetime { 30 };
    // More than the instances of a fleet. Addresses of instances that are gone are dropped, together with all others,
    // once there are as many.
    constexpr std::size_t maxSamples = 4096;

} // namespace

std::int64_t toClockMs(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

bool isCurrent(const GatewayTime& sentAt, const GatewayTime& now)
{
    return sentAt.run == now.run && now.clock - sentAt.clock <= maxRequestAge;
}

void GatewayClocks::record(
    const std::string& address, const GatewayTime& time, TimePoint requestedAt, TimePoint repliedAt)
{
    if (!time.run || repliedAt - requestedAt > Duration(maxExchange))
        return;
    Sample next { time.run, time.clock - Milliseconds(toClockMs(requestedAt)), requestedAt };
    if (this->samples.size() >= maxSamples && !this->samples.count(address))
        this->samples.clear();
    Sample& known = this->samples[address];
    bool isBetter = next.run != known.run || next.offset < known.offset
        || next.takenAt - known.takenAt > Duration(sampleLifetime);
    if (isBetter)
        known = next;
}

GatewayTime GatewayClocks::at(const std::string& address, TimePoint now) const
{
    auto found = this->samples.find(address);
    if (found == this->samples.end())
        return {};
    return { found->second.run, Milliseconds(toClockMs(now)) + found->second.offset };
}

} // namespace catkinlock
