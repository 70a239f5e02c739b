#pragma once

#include "catkinlock/caller_budget.h"
#include "libserver/metrics_page.h"
#include <vector>

namespace catkinlock {

/// Appends what the callers' connections use, and how often each of their limits was met.
void appendCallerMetrics(std::vector<Metric>&, const CallerBudget&);

} // namespace catkinlock
