#include "catkinlock/caller_limit_log.h"

#include "catkinlock/log.h"
#include <fmt/format.h>

namespace catkinlock {

void reportCallerLimit(CallerBudget& budget, CallerLimit limit, const std::string& listener, const std::string& address,
    std::uint64_t bytes)
{
    if (!budget.recordLimitMet(limit, Clock::now()))
        return;
    writeLog(LogLevel::Warning, "caller_limit_reached",
        { { "limit", callerLimitName(limit) }, { "listener", listener }, { "caller", address },
            { "connection_bytes", fmt::format("{}", bytes) }, { "total_bytes", fmt::format("{}", budget.totalBytes()) },
            { "connections", fmt::format("{}", budget.connections()) },
            { "times", fmt::format("{}", budget.timesMet(limit)) } });
}

} // namespace catkinlock
