#pragma once

#include "catkinlock/clock.h"
#include <cstdint>
#include <map>
#include <string>

namespace catkinlock {

/// A time by the clock of one run of a gateway's process.
struct GatewayTime {
    /// Random number of the run; 0 if it is not known.
    std::uint64_t run = 0;
    /// Time by the run's clock.
    Milliseconds clock { 0 };

    bool operator==(const GatewayTime&) const = default;
};

/// A time of this process as its replies give it.
std::int64_t toClockMs(TimePoint);

/// True if a request that was sent at `sentAt` is for the run of `now` and is at most as old as a gateway accepts.
/// Requests that the link delivered late are thereby refused.
bool isCurrent(const GatewayTime& sentAt, const GatewayTime& now);

/// Estimates the clocks of gateways from their replies. Does no I/O.
///
/// The estimate is never below the gateway's clock, and above it by no more than a request was under way, so that a
/// request may appear younger than it is, never older. Samples of exchanges that took longer than `maxExchange` are not
/// used, which bounds how much younger.
class GatewayClocks {
public:
    static constexpr Milliseconds maxExchange { 1000 };

    /// Records that the gateway at this address received a request at the given time by its clock. The request was sent
    /// at `requestedAt`, and its reply arrived at `repliedAt`.
    void record(const std::string& address, const GatewayTime&, TimePoint requestedAt, TimePoint repliedAt);
    /// The time at the gateway when it is `now` here; run 0 if no reply of it is known.
    GatewayTime at(const std::string& address, TimePoint now) const;

private:
    struct Sample {
        std::uint64_t run = 0;
        // Upper limit of the gateway's clock less this instance's.
        Milliseconds offset { 0 };
        TimePoint takenAt;
    };
    std::map<std::string, Sample> samples;
};

} // namespace catkinlock
