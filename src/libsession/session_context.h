#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/line_budget.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/drain_schedule.h"
#include "libsession/fleet_view.h"
#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>

namespace catkinlock {

class Admission;
class CallerBudget;
class CallerProtocol;
class ReadForwarder;
class ServiceLevel;
class StatementForwarder;
class TargetGroups;
class ViewFreshness;

/// Log lines about statements that succeeded.
inline constexpr std::uint32_t maxSuccessLinesPerSecond = 50;
/// Log lines about statements that failed.
inline constexpr std::uint32_t maxFailureLinesPerSecond = 300;

/// State and services that all sessions of an instance share.
struct SessionContext {
    boost::asio::any_io_executor executor;
    std::shared_ptr<const CallerProtocol> protocol;
    /// The callers' connections are charged to it.
    std::shared_ptr<CallerBudget> budget;
    std::shared_ptr<RcuSnapshot<FleetView>> view;
    std::shared_ptr<ViewFreshness> freshness;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<TargetGroups> groups;
    std::shared_ptr<ServiceLevel> level;
    /// Sends reads to gateways; null if this instance runs all of them itself.
    std::shared_ptr<ReadForwarder> reads;
    /// Sends writes and transactions to gateways; null if this instance runs all of them itself.
    std::shared_ptr<StatementForwarder> statementForwarder;
    /// Set once the instance drains: each session then ends after its next operation.
    /// Request thread only.
    std::optional<DrainSchedule> drain;
    /// Sessions that are open now.
    std::atomic<std::uint64_t> sessions { 0 };
    /// Statements received since the start.
    std::atomic<std::uint64_t> statements { 0 };
    /// Statements that failed since the start.
    std::atomic<std::uint64_t> failures { 0 };
    /// Limits the log lines about successful statements.
    LineBudget successLineBudget { maxSuccessLinesPerSecond };
    /// Limits the log lines about failed statements. Separate from the other budget and larger, so that lines about
    /// successful statements never displace those about failures.
    LineBudget failureLineBudget { maxFailureLinesPerSecond };
};

/// True if this instance's view may be used now and contains the caller's key, by which a gateway decides whether it
/// may run a statement. `keyDigest`: empty for a caller of an open route, who needs no key.
bool confirmsKey(const SessionContext&, const std::string& keyDigest);

} // namespace catkinlock
