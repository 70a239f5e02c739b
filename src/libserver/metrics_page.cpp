#include "libserver/metrics_page.h"

#include "catkinlock/refusal.h"
#include "libserver/service_level.h"
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace catkinlock {

namespace {

    // The family of a sample's metric, added if there is none yet.
    prometheus::MetricFamily& familyOf(std::vector<prometheus::MetricFamily>& families, const Metric& metric)
    {
        std::string name = "catkinlock_" + metric.name;
        for (auto& family : families) {
            if (family.name == name)
                return family;
        }
        auto type = metric.isCounter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
        families.push_back({ name, metric.help, type, {} });
        return families.back();
    }

    prometheus::MetricFamily outcomeFamily(const ServiceLevel& level)
    {
        prometheus::MetricFamily family { "catkinlock_requests_total", "Finished requests by outcome",
            prometheus::MetricType::Counter, {} };
        for (Outcome outcome : { Outcome::Unknown, Outcome::Done, Outcome::NotRun }) {
            prometheus::ClientMetric metric;
            metric.label.push_back({ "outcome", outcomeName(outcome) });
            metric.counter.value = static_cast<double>(level.outcomes[static_cast<std::size_t>(outcome)].load());
            family.metric.push_back(metric);
        }
        return family;
    }

    prometheus::MetricFamily latencyFamily(const ServiceLevel& level)
    {
        prometheus::MetricFamily family { "catkinlock_request_duration_milliseconds",
            "Time from a request to its answer", prometheus::MetricType::Histogram, {} };
        prometheus::ClientMetric metric;
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < level.latencies.size(); ++i) {
            cumulative += level.latencies[i].load();
            bool last = i == ServiceLevel::latencyBoundsMs.size();
            double bound = last ? std::numeric_limits<double>::infinity() : ServiceLevel::latencyBoundsMs[i];
            metric.histogram.bucket.push_back({ cumulative, bound });
        }
        metric.histogram.sample_count = cumulative;
        metric.histogram.sample_sum = static_cast<double>(level.latencySumMicroseconds.load()) / 1000;
        family.metric.push_back(metric);
        return family;
    }

} // namespace

std::string renderMetrics(const std::vector<Metric>& metrics, const ServiceLevel& level)
{
    std::vector<prometheus::MetricFamily> families { outcomeFamily(level), latencyFamily(level) };
    for (const Metric& metric : metrics) {
        prometheus::ClientMetric sample;
        if (!metric.labelName.empty())
            sample.label.push_back({ metric.labelName, metric.labelValue });
        (metric.isCounter ? sample.counter.value : sample.gauge.value) = metric.value;
        familyOf(families, metric).metric.push_back(sample);
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace catkinlock
