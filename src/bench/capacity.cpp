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

    // Time for the gossip of a start to end; the costs after it are what a quiet fleet pays.
    constexpr double gossipSettleSeconds = 45;
    constexpr double settleSeconds = 12;
    constexpr double measuredSeconds = 10;

    double platformCalls(const Fleet& fleet)
    {
        boost::json::error_code error;
        auto body = Caller(fleet.platformAddress()).post("/standin/calls", "{}", {}).body;
        auto value = boost::json::parse(body, error);
        double sum = 0;
        if (error)
            return sum;
        for (const auto& member : value.as_object())
            sum += member.value().to_number<double>();
        return sum;
    }

    struct Totals {
        double cpu = 0;
        double bytes = 0;
        double calls = 0;
        double at = 0;
    };

    Totals readTotals(Fleet& fleet)
    {
        Totals totals;
        totals.at = now();
        for (std::size_t i = 0; i < fleet.instanceCount(); ++i) {
            totals.cpu += cpuSeconds(fleet.instance(i).pid());
            totals.bytes += fleet.metric(i, "peer_bytes_sent_total") + fleet.metric(i, "peer_bytes_received_total");
        }
        totals.calls = platformCalls(fleet);
        return totals;
    }

    // Prints the costs of one fleet, as means over its instances.
    void measureFleet(const Fleet::Options& shape, double settle, const std::string& suffix)
    {
        Fleet fleet(shape);
        if (!fleet.start()) {
            fmt::print(stderr, "the fleet of {} did not start\n", shape.instances);
            return;
        }
        pause(settle);
        Totals before = readTotals(fleet);
        pause(measuredSeconds);
        Totals after = readTotals(fleet);
        double seconds = after.at - before.at;
        auto instances = static_cast<double>(fleet.instanceCount());
        double resident = 0;
        for (std::size_t i = 0; i < fleet.instanceCount(); ++i)
            resident += residentBytes(fleet.instance(i).pid());
        printFigure(
            "control_cpu_percent" + suffix, 100 * (after.cpu - before.cpu) / seconds / instances, "% of a core", "1.9");
        printFigure("control_rss_mb" + suffix, resident / instances / 1e6, "MB", "128");
        printFigure(
            "control_bytes_per_second" + suffix, (after.bytes - before.bytes) / seconds / instances, "B/s", "6000");
        printFigure("platform_calls_per_second" + suffix, (after.calls - before.calls) / seconds, "1/s");
    }

} // namespace

void measureControlCost()
{
    for (std::size_t size : { 8u, 16u, 32u, 64u }) {
        Fleet::Options shape;
        shape.instances = size;
        shape.databases = 1;
        shape.slots = 256;
        measureFleet(shape, gossipSettleSeconds, fmt::format(".n{}", size));
    }
}

void measureDatabaseCost()
{
    for (std::size_t databases : { 1u, 4u, 8u, 16u }) {
        Fleet::Options shape;
        shape.instances = 4;
        shape.databases = databases;
        shape.slots = 64;
        measureFleet(shape, settleSeconds, fmt::format(".databases{}", databases));
    }
}

} // namespace catkinlock::bench
