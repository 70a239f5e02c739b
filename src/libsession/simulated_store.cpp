#include "libsession/simulated_store.h"

#include "libsession/leader_record.h"
#include <algorithm>

namespace catkinlock::simulation {

Milliseconds VirtualTime::elapsed() const { return std::chrono::duration_cast<Milliseconds>(this->current - start); }

void VirtualTime::at(TimePoint when, std::function<void()> run)
{
    this->events.push({ std::max(when, this->current), ++this->added, std::move(run) });
}

bool VirtualTime::runNext(TimePoint end)
{
    if (this->events.empty() || this->events.top().at > end)
        return false;
    Event event = std::move(const_cast<Event&>(this->events.top()));
    this->events.pop();
    this->current = event.at;
    event.run();
    return true;
}

const KeyChange* SimulatedStore::read(const std::string& key, TimePoint at) const
{
    auto found = this->keys.find(key);
    if (found == this->keys.end())
        return nullptr;
    for (auto change = found->second.rbegin(); change != found->second.rend(); ++change) {
        if (change->at <= at)
            return change->deleted ? nullptr : &*change;
    }
    return nullptr;
}

std::int64_t SimulatedStore::revisionAt(TimePoint at) const
{
    auto after = std::upper_bound(this->changeTimes.begin(), this->changeTimes.end(), at);
    return firstRevision - 1 + (after - this->changeTimes.begin());
}

void SimulatedStore::append(const std::string& key, KeyChange change)
{
    change.at = this->time.now();
    change.revision = ++this->revision;
    if (key == leaderLeaseKey)
        change.leader = { parseLeaderRecord(change.value), change.revision };
    else
        change.group = parseGroupRecord(change.value).value_or(GroupRecord());
    this->changeTimes.push_back(change.at);
    this->keys[key].push_back(std::move(change));
}

std::int64_t SimulatedStore::swap(const std::string& key, std::int64_t expected, std::string value, std::int64_t lease)
{
    const KeyChange* found = this->read(key);
    if ((found ? found->revision : 0) != expected || (lease && !this->leases.contains(lease)))
        return 0;
    KeyChange change;
    change.value = std::move(value);
    change.lease = lease;
    this->append(key, std::move(change));
    return this->revision;
}

std::int64_t SimulatedStore::grant()
{
    std::int64_t lease = ++this->lastLease;
    this->leases[lease] = {};
    this->keepAlive(lease);
    return lease;
}

bool SimulatedStore::keepAlive(std::int64_t lease)
{
    auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return false;
    TimePoint expiry = this->time.now() + leaderLeaseDuration;
    found->second = expiry;
    this->time.at(expiry, [this, lease, expiry] {
        auto same = this->leases.find(lease);
        if (same != this->leases.end() && same->second == expiry)
            this->revoke(lease);
    });
    return true;
}

void SimulatedStore::revoke(std::int64_t lease)
{
    if (!this->leases.erase(lease))
        return;
    for (auto& [key, changes] : this->keys) {
        if (changes.back().deleted || changes.back().lease != lease)
            continue;
        KeyChange change;
        change.deleted = true;
        this->append(key, std::move(change));
    }
}

} // namespace catkinlock::simulation
