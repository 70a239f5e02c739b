#include "catkinlock/membership.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <bit>

namespace catkinlock {

namespace {

    constexpr unsigned missedResponsesUntilDead = 3;
    // A change is sent this many times per binary digit of the number of instances.
    constexpr unsigned sendsPerDoubling = 3;

    // Instances remove the records of dead ones at different times, so these are not part of the digest.
    std::uint64_t hashOf(const InstanceRecord& record)
    {
        if (record.state == InstanceState::Dead)
            return 0;
        std::uint64_t hash = stableHash(record.name, record.incarnation);
        hash = stableHash(record.name, hash ^ record.version);
        return stableHash(record.name, hash + static_cast<std::uint64_t>(record.state));
    }

} // namespace

const char* instanceStateName(InstanceState state)
{
    switch (state) {
    case InstanceState::Live:
        return "live";
    case InstanceState::Leaving:
        return "leaving";
    case InstanceState::Dead:
        break;
    }
    return "dead";
}

Membership::Membership(InstanceRecord self)
    : selfName(self.name)
{
    this->store(self, std::nullopt);
}

unsigned Membership::sendsPerUpdate() const
{
    return sendsPerDoubling * static_cast<unsigned>(std::bit_width(this->records.size()));
}

void Membership::store(const InstanceRecord& record, std::optional<TimePoint> deadSince)
{
    Entry& entry = this->records[record.name];
    if (!entry.record.name.empty()) {
        this->digestValue ^= hashOf(entry.record);
        for (std::uint32_t slot : entry.record.slots) {
            auto holder = this->slotHolders.find(slot);
            if (holder != this->slotHolders.end() && holder->second == record.name)
                this->slotHolders.erase(holder);
        }
    }
    entry.record = record;
    entry.missedResponses = 0;
    entry.deadSince = deadSince;
    this->digestValue ^= hashOf(record);
    if (record.state != InstanceState::Dead) {
        for (std::uint32_t slot : record.slots)
            this->slotHolders[slot] = record.name;
    }
    if (!entry.sendsLeft)
        this->updates.push_back(record.name);
    entry.sendsLeft = this->sendsPerUpdate();
}

void Membership::setSelf(InstanceState state, std::vector<std::uint32_t> slots)
{
    InstanceRecord record = this->self();
    if (record.state == state && record.slots == slots)
        return;
    record.state = state;
    record.slots = std::move(slots);
    ++record.version;
    this->store(record, std::nullopt);
}

bool Membership::apply(const InstanceRecord& record, TimePoint now)
{
    if (record.name == this->selfName) {
        InstanceRecord own = this->self();
        if (!record.isNewerThan(own) || record.incarnation > own.incarnation)
            return false;
        // A peer has marked this instance dead, or an outdated record of it is in circulation. A higher version makes
        // the peers accept the correct record.
        own.version = record.version + 1;
        this->store(own, std::nullopt);
        return true;
    }
    auto entry = this->records.find(record.name);
    // The dead record of an instance that was removed here must not be added again. A record in any other state is
    // added.
    if (entry == this->records.end() && record.state == InstanceState::Dead)
        return false;
    if (entry != this->records.end() && !record.isNewerThan(entry->second.record))
        return false;
    this->store(record, record.state == InstanceState::Dead ? std::optional(now) : std::nullopt);
    return true;
}

void Membership::recordResponse(const std::string& name, TimePoint)
{
    auto entry = this->records.find(name);
    if (entry != this->records.end())
        entry->second.missedResponses = 0;
}

void Membership::recordTimeout(const std::string& name, TimePoint now)
{
    auto entry = this->records.find(name);
    if (entry == this->records.end() || entry->second.record.state == InstanceState::Dead)
        return;
    if (++entry->second.missedResponses < missedResponsesUntilDead)
        return;
    InstanceRecord record = entry->second.record;
    record.state = InstanceState::Dead;
    ++record.version;
    this->store(record, now);
}

void Membership::removeDead(TimePoint now, Duration retention)
{
    std::vector<std::string> expired;
    for (const auto& [name, entry] : this->records) {
        if (entry.deadSince && now - *entry.deadSince >= retention)
            expired.push_back(name);
    }
    for (const std::string& name : expired) {
        this->digestValue ^= hashOf(this->records.at(name).record);
        std::erase(this->updates, name);
        this->records.erase(name);
    }
}

std::vector<InstanceRecord> Membership::takeUpdates(std::size_t maxCount)
{
    std::vector<InstanceRecord> taken;
    std::size_t count = std::min(maxCount, this->updates.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::string name = this->updates.front();
        this->updates.pop_front();
        Entry& entry = this->records.at(name);
        taken.push_back(entry.record);
        if (--entry.sendsLeft)
            this->updates.push_back(name);
    }
    return taken;
}

std::vector<InstanceRecord> Membership::all() const
{
    std::vector<InstanceRecord> result;
    for (const auto& [name, entry] : this->records)
        result.push_back(entry.record);
    return result;
}

std::vector<InstanceRecord> Membership::peers() const
{
    std::vector<InstanceRecord> result;
    for (const auto& [name, entry] : this->records) {
        if (name != this->selfName && entry.record.state != InstanceState::Dead)
            result.push_back(entry.record);
    }
    return result;
}

const InstanceRecord* Membership::find(const std::string& name) const
{
    auto entry = this->records.find(name);
    return entry == this->records.end() ? nullptr : &entry->second.record;
}

const InstanceRecord* Membership::holderOf(std::uint32_t slot) const
{
    auto holder = this->slotHolders.find(slot);
    return holder == this->slotHolders.end() ? nullptr : this->find(holder->second);
}

bool Membership::hasLiveMajority() const
{
    std::size_t live = 0;
    for (const auto& [name, entry] : this->records)
        live += entry.record.state != InstanceState::Dead;
    return live * 2 > this->records.size();
}

} // namespace catkinlock
