#pragma once

#include "catkinlock/caller_charge.h"
#include "catkinlock/caller_limits.h"
#include "catkinlock/clock.h"
#include "catkinlock/line_budget.h"
#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

namespace catkinlock {

/// The connections to one listener and the bytes that they hold, within limits. Does no I/O; callable from any thread.
/// Made for some ten thousand connections and a charge for each read of a connection: opening and closing take a lock,
/// charging takes none.
class CallerBudget : public std::enable_shared_from_this<CallerBudget> {
public:
    /// Bytes of each connection that the limit of connections covers. They are not charged to the sum of all, so that
    /// ordinary statements are served also while other connections hold all of it.
    static constexpr std::uint64_t freeBytes = 16 << 10;
    /// Log lines about each limit.
    static constexpr std::uint32_t maxLogLinesPerSecond = 2;

    explicit CallerBudget(CallerLimits);

    /// Counts a new connection from an address. Returns the limit that is reached if it is to be refused.
    tl::expected<std::shared_ptr<CallerCharge>, CallerLimit> admit(const std::string& address);
    /// Counts that a limit was met. True if a log line about it is due.
    bool recordLimitMet(CallerLimit, TimePoint now);

    const CallerLimits& limits() const { return this->limitValues; }
    /// Time for a reply of this size to be taken; 0: no limit.
    Milliseconds replyTime(std::uint64_t bytes) const;
    std::uint64_t connections() const { return this->openConnections.load(); }
    /// Bytes charged to the sum of all connections.
    std::uint64_t totalBytes() const { return this->chargedBytes.load(); }
    std::uint64_t timesMet(CallerLimit limit) const { return this->met[static_cast<std::size_t>(limit)].load(); }

private:
    friend class CallerCharge;

    void release(const std::string& address);
    // Changes a connection's part of the sum. False if the sum would exceed its limit, unless `force` is set.
    bool replace(std::uint64_t before, std::uint64_t after, bool force);

    const CallerLimits limitValues;
    std::atomic<std::uint64_t> openConnections { 0 };
    std::atomic<std::uint64_t> chargedBytes { 0 };
    std::array<std::atomic<std::uint64_t>, callerLimitCount> met {};
    // Guards the members below.
    std::mutex mutex;
    std::unordered_map<std::string, std::uint64_t> connectionsByAddress;
    std::array<LineBudget, callerLimitCount> lineBudgets;
};

} // namespace catkinlock
