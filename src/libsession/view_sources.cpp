#include "libsession/view_sources.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // An instance that failed is skipped for this long.
    constexpr Milliseconds peerBackoff { 3000 };
    // After this many failed calls in a row, other sources are preferred to the store for `storeBackoff`.
    constexpr unsigned failuresUntilBackoff = 2;
    constexpr Milliseconds storeBackoff { 1000 };
    // Delay after a failed call to the store; it doubles with each further failure in a row.
    constexpr Milliseconds minRetryDelay { 100 };
    constexpr Milliseconds maxRetryDelay { 800 };
    constexpr unsigned maxDoublings = 3;

} // namespace

bool ViewSources::isAvailable(const std::string& address, TimePoint now) const
{
    auto retryAt = this->peerRetryAt.find(address);
    return retryAt == this->peerRetryAt.end() || retryAt->second <= now;
}

ViewSources::Source ViewSources::next(const RelayPlan& plan, TimePoint now) const
{
    const Source store { Source::Kind::Store, "" };
    bool storeAvailable = now >= this->storeRetryAt;
    if (plan.pollsStore && storeAvailable)
        return store;
    for (const std::string& address : plan.relays) {
        if (this->isAvailable(address, now))
            return { Source::Kind::Peer, address };
    }
    if (storeAvailable)
        return store;
    for (const std::string& address : plan.others) {
        if (this->isAvailable(address, now))
            return { Source::Kind::Peer, address };
    }
    return store;
}

std::string ViewSources::nextForOverdue(
    const RelayPlan& plan, const std::string& polled, unsigned attempt, TimePoint now) const
{
    auto relay = std::find_if(plan.relays.begin(), plan.relays.end(),
        [&](const std::string& address) { return address != polled && this->isAvailable(address, now); });
    if (!attempt && relay != plan.relays.end())
        return *relay;
    if (plan.others.empty())
        return plan.relays.empty() ? "" : plan.relays[attempt % plan.relays.size()];
    std::size_t index = attempt / 2 % plan.others.size();
    // Instances of the same data centre are at the front.
    return attempt % 2 ? plan.others[plan.others.size() - 1 - index] : plan.others[index];
}

void ViewSources::recordPeerFailure(const std::string& address, TimePoint now)
{
    std::erase_if(this->peerRetryAt, [now](const auto& entry) { return entry.second <= now; });
    this->peerRetryAt[address] = now + peerBackoff;
}

void ViewSources::recordStoreFailure(TimePoint now)
{
    ++this->failures;
    if (this->failures >= failuresUntilBackoff)
        this->storeRetryAt = now + storeBackoff;
}

Milliseconds ViewSources::storeRetryDelay() const
{
    unsigned doublings = std::min(std::max(this->failures, 1u) - 1, maxDoublings);
    return std::min(minRetryDelay * (1 << doublings), maxRetryDelay);
}

void ViewSources::recordStoreReply()
{
    this->failures = 0;
    this->storeRetryAt = TimePoint();
}

} // namespace catkinlock
