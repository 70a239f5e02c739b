#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/line_budget.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/fleet_view.h"
#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace catkinlock {

class Admission;
class CallerProtocol;
class ServiceLevel;
class TargetGroups;
class ViewFreshness;

inline constexpr std::uint32_t doneLinesPerSecond = 50;
inline constexpr std::uint32_t failedLinesPerSecond = 300;

/// What all sessions of an instance share.
struct SessionContext {
    boost::asio::any_io_executor executor;
    std::shared_ptr<const CallerProtocol> protocol;
    std::shared_ptr<RcuSnapshot<FleetView>> view;
    std::shared_ptr<ViewFreshness> freshness;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<TargetGroups> groups;
    std::shared_ptr<ServiceLevel> level;
    /// The instance leaves: sessions end as soon as nothing is open in them.
    std::atomic<bool> leaving { false };
    std::atomic<std::uint64_t> sessions { 0 };
    std::atomic<std::uint64_t> statements { 0 };
    std::atomic<std::uint64_t> failures { 0 };
    /// Lines about statements that succeeded go first when there are too many; those about failures have a larger
    /// budget of their own.
    LineBudget doneLines { doneLinesPerSecond };
    LineBudget failedLines { failedLinesPerSecond };
};

} // namespace catkinlock
