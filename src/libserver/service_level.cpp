#include "libserver/service_level.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // Codes of refusals that the caller caused. They do not count as failures of the service level, nor in its total.
    constexpr std::array<std::string_view, 16> callerErrorCodes { "bad_request", "bad_session", "foreign_session",
        "key_missing", "key_refused", "route_refused", "unknown_route", "unknown_pool", "unknown_workspace",
        "rate_exceeded", "statement_failed", "answer_too_large", "body_too_large", "key_reused", "settled_not_run",
        "deadline" };

} // namespace

void ServiceLevel::count(const Subjects& all, const std::string& subject, bool failed)
{
    auto found = all.find(subject);
    if (found == all.end())
        return;
    ++found->second->total;
    if (failed)
        ++found->second->failed;
}

void ServiceLevel::observe(
    const std::string& route, const std::string& workspace, const Refusal* refusal, Duration latency)
{
    Outcome outcome = refusal ? refusal->outcome : Outcome::Done;
    ++this->outcomes[static_cast<std::size_t>(outcome)];
    double milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    auto bound = std::lower_bound(latencyBoundsMs.begin(), latencyBoundsMs.end(), milliseconds);
    ++this->latencies[static_cast<std::size_t>(bound - latencyBoundsMs.begin())];
    this->latencySumMicroseconds += static_cast<std::uint64_t>(milliseconds * 1000);
    bool isCallerError = refusal && outcome == Outcome::NotRun
        && std::find(callerErrorCodes.begin(), callerErrorCodes.end(), refusal->code) != callerErrorCodes.end();
    if (isCallerError)
        return;
    auto all = this->subjects.read();
    this->count(*all, "route " + route, refusal);
    this->count(*all, "workspace " + workspace, refusal);
}

void ServiceLevel::updateTables(const Tables& tables)
{
    auto before = this->subjects.read();
    Subjects after;
    auto keepCounters = [&](const std::string& subject) {
        auto found = before->find(subject);
        after[subject] = found == before->end() ? std::make_shared<Counters>() : found->second;
    };
    for (const auto& [name, route] : tables.routes)
        keepCounters("route " + name);
    for (const auto& [name, workspace] : tables.workspaces)
        keepCounters("workspace " + name);
    this->subjects.replace(after);
}

void ServiceLevel::sample(TimePoint now)
{
    auto all = this->subjects.read();
    for (const auto& [subject, counters] : *all)
        this->meter.sample(subject, { counters->total.load(), counters->failed.load() }, now);
}

} // namespace catkinlock
