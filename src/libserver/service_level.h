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

/// Counts finished requests by route and by workspace, without a lock on the request path, and reports from these
/// counts the burn: how fast each route and workspace uses up its error budget. Refusals that the caller caused are not
/// part of these counts, but of `outcomes` and `latencies`.
class ServiceLevel {
public:
    /// Upper bounds of the latency histogram, in milliseconds.
    static constexpr std::array<double, 12> latencyBoundsMs { 0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 5000 };

    struct Counters {
        std::atomic<std::uint64_t> total { 0 };
        std::atomic<std::uint64_t> failed { 0 };
    };

    /// Counts a finished request. `refusal` is null if it succeeded. May be called on any thread.
    void observe(const std::string& route, const std::string& workspace, const Refusal* refusal, Duration latency);
    /// Keeps one pair of counters for each route and workspace of the tables, and discards those of others. Called on
    /// the control thread.
    void updateTables(const Tables&);
    /// Adds the current counts to the burn windows. Called on the control thread.
    void sample(TimePoint now);
    /// One row for each subject and window. Called on the control thread.
    std::vector<BurnRow> report(TimePoint now) const { return this->meter.report(now); }

    /// Finished requests by `Outcome`.
    std::array<std::atomic<std::uint64_t>, 3> outcomes {};
    /// Finished requests by latency: one count for each upper bound, and a last one for requests above all bounds.
    std::array<std::atomic<std::uint64_t>, latencyBoundsMs.size() + 1> latencies {};
    std::atomic<std::uint64_t> latencySumMicroseconds { 0 };

private:
    using Subjects = std::map<std::string, std::shared_ptr<Counters>>;
    void count(const Subjects&, const std::string& subject, bool failed);

    RcuSnapshot<Subjects> subjects;
    BurnMeter meter;
};

} // namespace catkinlock
