#pragma once

#include "catkinlock/burn_meter.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/refusal.h"
#include "catkinlock/tables.h"
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace catkinlock {

/// Counts finished requests by route and by workspace on the request path, without a lock, and reports the burn of the
/// service level from them.
class ServiceLevel {
public:
    /// Upper bounds of the latency histogram, in milliseconds.
    static constexpr std::array<double, 12> latencyBoundsMs { 0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 5000 };

    struct Counters {
        std::atomic<std::uint64_t> total { 0 };
        std::atomic<std::uint64_t> failed { 0 };
    };

    /// Any thread. `refusal` is null for a request that is done.
    void observe(const std::string& route, const std::string& workspace, const Refusal* refusal, Duration latency);
    /// Control thread: gives every route and workspace of the tables its counters.
    void updateTables(const Tables&);
    /// Control thread: takes the counters into the windows.
    void sample(TimePoint now);
    /// Control thread.
    std::vector<BurnRow> report(TimePoint now) const { return this->meter.report(now); }

    std::array<std::atomic<std::uint64_t>, 3> outcomes {};
    std::array<std::atomic<std::uint64_t>, latencyBoundsMs.size() + 1> latencies {};
    std::atomic<std::uint64_t> latencySumMicroseconds { 0 };

private:
    using Subjects = std::map<std::string, std::shared_ptr<Counters>>;
    void count(const Subjects&, const std::string& subject, bool failed);

    RcuSnapshot<Subjects> subjects;
    BurnMeter meter;
};

} // namespace catkinlock
