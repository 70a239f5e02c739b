#pragma once

#include "catkinlock/caller_budget.h"
#include "catkinlock/caller_limits.h"
#include <string>

namespace catkinlock {

/// Counts that a connection has met a limit, and logs it as `caller_limit_reached` at a limited rate. `listener` names
/// the address that the caller connected to: "callers", "ready", "metrics" or "http".
void reportCallerLimit(
    CallerBudget&, CallerLimit, const std::string& listener, const std::string& address, std::uint64_t bytes);

} // namespace catkinlock
