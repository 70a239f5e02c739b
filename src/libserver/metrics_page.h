#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace catkinlock {

class ServiceLevel;

/// One figure for the metrics page.
struct Metric {
    std::string name;
    std::string help;
    double value = 0;
    bool isCounter = false;
    std::string labelName = {};
    std::string labelValue = {};
};

/// The metrics page in the text format of Prometheus.
std::string renderMetrics(const std::vector<Metric>&, const ServiceLevel&);

} // namespace catkinlock
