#include "bench/capacity.h"

#include "bench/figure.h"
#include "catkinlock/digest.h"
#include "standin/fleet.h"
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock::bench {

using standin::Caller;
using standin::Fleet;

namespace {

    // Warm-up of the fleets that differ in size. The gossip that newly started instances cause must have ended, so that
    // only the cost of an idle fleet is measured.
    constexpr double fleetSizeWarmUpSeconds = 45;
    // Warm-up of the fleets of 4 instances that differ in their number of databases.
    constexpr double databaseCountWarmUpSeconds = 12;
    constexpr double measurementSeconds = 10;

    // Calls that the stand-in platform has received since its start; 0 if its response can't be parsed.
    double platformCalls(const Fleet& fleet)
    {
        boost::json::error_code error;
        auto body = Caller(fleet.platformAddress()).post("/standin/calls", "{}", {}).body;
        auto value = boost::json::parse(body, error);
        double sum = 0;
        if (error)
            return sum;
        for (const auto& entry : value.as_object())
            sum += entry.value().to_number<double>();
        return sum;
    }

    // Cumulative counters, summed over the instances of a fleet.
    struct FleetCounters {
        double processorSeconds = 0;
        // Bytes sent to and received from peers.
        double peerBytes = 0;
        double platformCallCount = 0;
        // Time of the reading on the monotonic clock.
        double timeSeconds = 0;
    };

    FleetCounters readCounters(Fleet& fleet)
    {
        FleetCounters counters;
        counters.timeSeconds = now();
        for (std::size_t i = 0; i < fleet.instanceCount(); ++i) {
            counters.processorSeconds += cpuSeconds(fleet.instance(i).pid());
            counters.peerBytes
                += fleet.metric(i, "peer_bytes_sent_total") + fleet.metric(i, "peer_bytes_received_total");
        }
        counters.platformCallCount = platformCalls(fleet);
        return counters;
    }

    // Starts a fleet, lets it run idle for `warmUpSeconds`, and prints its costs over the next `measurementSeconds`:
    // means over the instances, but the platform calls of the whole fleet. `suffix` is appended to the names of the
    // results.
    void measureFleet(const Fleet::Options& fleetOptions, double warmUpSeconds, const std::string& suffix)
    {
        Fleet fleet(fleetOptions);
        if (!fleet.start()) {
            fmt::print(stderr, "the fleet of {} instances did not become ready in time; its measurement is skipped\n",
                fleetOptions.instances);
            return;
        }
        sleepFor(warmUpSeconds);
        FleetCounters before = readCounters(fleet);
        sleepFor(measurementSeconds);
        FleetCounters after = readCounters(fleet);
        double seconds = after.timeSeconds - before.timeSeconds;
        auto instances = static_cast<double>(fleet.instanceCount());
        double totalResidentBytes = 0;
        for (std::size_t i = 0; i < fleet.instanceCount(); ++i)
            totalResidentBytes += residentBytes(fleet.instance(i).pid());
        printFigure("control_cpu_percent" + suffix,
            100 * (after.processorSeconds - before.processorSeconds) / seconds / instances, "% of a core", "1.9");
        printFigure("control_rss_mb" + suffix, totalResidentBytes / instances / 1e6, "MB", "128");
        printFigure("control_bytes_per_second" + suffix, (after.peerBytes - before.peerBytes) / seconds / instances,
            "B/s", "6000");
        printFigure("platform_calls_per_second" + suffix,
            (after.platformCallCount - before.platformCallCount) / seconds, "1/s");
    }

} // namespace

void measureControlCost()
{
    for (std::size_t size : { 8u, 16u, 32u, 64u }) {
        Fleet::Options fleetOptions;
        fleetOptions.instances = size;
        fleetOptions.databases = 1;
        fleetOptions.slots = 256;
        measureFleet(fleetOptions, fleetSizeWarmUpSeconds, fmt::format(".n{}", size));
    }
}

void measureDatabaseCost()
{
    for (std::size_t databases : { 1u, 4u, 8u, 16u }) {
        Fleet::Options fleetOptions;
        fleetOptions.instances = 4;
        fleetOptions.databases = databases;
        fleetOptions.slots = 64;
        measureFleet(fleetOptions, databaseCountWarmUpSeconds, fmt::format(".databases{}", databases));
    }
}

} // namespace catkinlock::bench
