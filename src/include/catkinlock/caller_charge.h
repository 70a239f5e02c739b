#pragma once

#include "catkinlock/caller_limits.h"
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace catkinlock {

class CallerBudget;

/// What one connection is charged for in its budget. Gives everything back when it is destroyed. Used by one thread at
/// a time.
class CallerCharge {
public:
    /// What the bytes are held for.
    enum class Part {
        /// Received and not parsed.
        Received,
        /// The statement that runs.
        Statement,
        /// The reply that arrives or is written.
        Reply,
        /// What the session keeps until its end.
        Session,
    };
    static constexpr std::size_t partCount = 4;

    /// Made by `CallerBudget::admit` only, which has counted the connection.
    CallerCharge(std::shared_ptr<CallerBudget>, std::string address);
    ~CallerCharge();
    CallerCharge(const CallerCharge&) = delete;
    CallerCharge& operator=(const CallerCharge&) = delete;

    /// Sets the bytes held for a part. Returns the limit that this would exceed; the charge is then as before. Fewer
    /// bytes than before are never refused.
    std::optional<CallerLimit> hold(Part, std::uint64_t bytes);
    /// Sets the bytes held for a part that are held in any case, such as those of a reply that is ready.
    void record(Part, std::uint64_t bytes);
    /// Limit that `hold` has returned since the last call.
    std::optional<CallerLimit> takeLimitMet();
    std::uint64_t bytes() const { return this->heldBytes; }
    const std::string& address() const { return this->peerAddress; }
    const std::shared_ptr<CallerBudget>& budget() const { return this->owner; }

private:
    std::shared_ptr<CallerBudget> owner;
    std::string peerAddress;
    std::array<std::uint64_t, partCount> bytesByPart {};
    std::uint64_t heldBytes = 0;
    std::optional<CallerLimit> limitMet;
};

} // namespace catkinlock
