#include "catkinlock/caller_budget.h"

#include <algorithm>

namespace catkinlock {

namespace {

    constexpr std::uint64_t replyUnitBytes = 1 << 20;

    std::uint64_t chargedPart(std::uint64_t bytes) { return bytes - std::min(bytes, CallerBudget::freeBytes); }

} // namespace

CallerBudget::CallerBudget(CallerLimits limits)
    : limitValues(limits)
    , lineBudgets { LineBudget(maxLogLinesPerSecond), LineBudget(maxLogLinesPerSecond),
        LineBudget(maxLogLinesPerSecond), LineBudget(maxLogLinesPerSecond), LineBudget(maxLogLinesPerSecond),
        LineBudget(maxLogLinesPerSecond), LineBudget(maxLogLinesPerSecond) }
{
}

tl::expected<std::shared_ptr<CallerCharge>, CallerLimit> CallerBudget::admit(const std::string& address)
{
    std::lock_guard lock(this->mutex);
    const CallerLimits& limits = this->limitValues;
    if (limits.maxConnections && this->openConnections >= limits.maxConnections)
        return tl::unexpected(CallerLimit::Connections);
    auto found = this->connectionsByAddress.find(address);
    std::uint64_t ofAddress = found == this->connectionsByAddress.end() ? 0 : found->second;
    if (limits.maxConnectionsPerAddress && ofAddress >= limits.maxConnectionsPerAddress)
        return tl::unexpected(CallerLimit::ConnectionsPerAddress);
    ++this->connectionsByAddress[address];
    ++this->openConnections;
    return std::make_shared<CallerCharge>(this->shared_from_this(), address);
}

void CallerBudget::release(const std::string& address)
{
    std::lock_guard lock(this->mutex);
    --this->openConnections;
    auto found = this->connectionsByAddress.find(address);
    if (!--found->second)
        this->connectionsByAddress.erase(found);
}

bool CallerBudget::recordLimitMet(CallerLimit limit, TimePoint now)
{
    std::lock_guard lock(this->mutex);
    ++this->met[static_cast<std::size_t>(limit)];
    return this->lineBudgets[static_cast<std::size_t>(limit)].take(now);
}

Milliseconds CallerBudget::replyTime(std::uint64_t bytes) const
{
    return this->limitValues.replyTime * (1 + bytes / replyUnitBytes);
}

bool CallerBudget::replace(std::uint64_t before, std::uint64_t after, bool force)
{
    if (after <= before) {
        this->chargedBytes -= before - after;
        return true;
    }
    std::uint64_t added = after - before;
    std::uint64_t sum = this->chargedBytes += added;
    if (force || !this->limitValues.maxTotalBytes || sum <= this->limitValues.maxTotalBytes)
        return true;
    this->chargedBytes -= added;
    return false;
}

CallerCharge::CallerCharge(std::shared_ptr<CallerBudget> budget, std::string address)
    : owner(std::move(budget))
    , peerAddress(std::move(address))
{
}

CallerCharge::~CallerCharge()
{
    this->owner->replace(chargedPart(this->heldBytes), 0, true);
    this->owner->release(this->peerAddress);
}

std::optional<CallerLimit> CallerCharge::hold(Part part, std::uint64_t bytes)
{
    std::uint64_t& ofPart = this->bytesByPart[static_cast<std::size_t>(part)];
    std::uint64_t next = this->heldBytes - ofPart + bytes;
    std::uint64_t limit = this->owner->limits().maxConnectionBytes;
    if (bytes > ofPart && limit && next > limit)
        this->limitMet = CallerLimit::ConnectionBytes;
    else if (!this->owner->replace(chargedPart(this->heldBytes), chargedPart(next), false))
        this->limitMet = CallerLimit::TotalBytes;
    else {
        ofPart = bytes;
        this->heldBytes = next;
        return std::nullopt;
    }
    return this->limitMet;
}

void CallerCharge::record(Part part, std::uint64_t bytes)
{
    std::uint64_t& ofPart = this->bytesByPart[static_cast<std::size_t>(part)];
    std::uint64_t next = this->heldBytes - ofPart + bytes;
    this->owner->replace(chargedPart(this->heldBytes), chargedPart(next), true);
    ofPart = bytes;
    this->heldBytes = next;
}

std::optional<CallerLimit> CallerCharge::takeLimitMet()
{
    auto met = this->limitMet;
    this->limitMet.reset();
    return met;
}

} // namespace catkinlock
