#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace catkinlock {

class ServiceLevel;

/// One sample on the metrics page.
struct Metric {
    /// Name without the prefix "catkinlock_".
    std::string name;
    /// Help text. That of the first sample with the same name is rendered.
    std::string help;
    double value = 0;
    /// True for a counter, false for a gauge.
    bool isCounter = false;
    /// Label of the sample; none if the name is empty.
    std::string labelName = {};
    std::string labelValue = {};
};

/// Renders the samples and the counts of the service level in the text format of Prometheus.
std::string renderMetrics(const std::vector<Metric>&, const ServiceLevel&);

} // namespace catkinlock
