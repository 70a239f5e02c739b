#include "catkinlock/membership.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <bit>

namespace catkinlock {

namespace {

    constexpr unsigned silencesUntilDead = 3;
    constexpr unsigned sendsPerDoubling = 3;

    // Dead instances are forgotten at different times, so they are not part of the digest.
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
    Known& known = this->records[record.name];
    if (!known.record.name.empty()) {
        this->digestValue ^= hashOf(known.record);
        for (std::uint32_t slot : known.record.slots) {
            auto holder = this->slotHolders.find(slot);
            if (holder != this->slotHolders.end() && holder->second == record.name)
                this->slotHolders.erase(holder);
        }
    }
    known.record = record;
    known.silences = 0;
    known.deadSince = deadSince;
    this->digestValue ^= hashOf(record);
    if (record.state != InstanceState::Dead) {
        for (std::uint32_t slot : record.slots)
            this->slotHolders[slot] = record.name;
    }
    if (!known.sendsLeft)
        this->updates.push_back(record.name);
    known.sendsLeft = this->sendsPerUpdate();
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
        // Somebody took this instance for dead, or an old message came back; a newer version puts it right.
        own.version = record.version + 1;
        this->store(own, std::nullopt);
        return true;
    }
    auto known = this->records.find(record.name);
    // A dead instance that was forgotten here comes back only alive.
    if (known == this->records.end() && record.state == InstanceState::Dead)
        return false;
    if (known != this->records.end() && !record.isNewerThan(known->second.record))
        return false;
    this->store(record, record.state == InstanceState::Dead ? std::optional(now) : std::nullopt);
    return true;
}

void Membership::noteAnswer(const std::string& name, TimePoint)
{
    auto known = this->records.find(name);
    if (known != this->records.end())
        known->second.silences = 0;
}

void Membership::noteSilence(const std::string& name, TimePoint now)
{
    auto known = this->records.find(name);
    if (known == this->records.end() || known->second.record.state == InstanceState::Dead)
        return;
    if (++known->second.silences < silencesUntilDead)
        return;
    InstanceRecord record = known->second.record;
    record.state = InstanceState::Dead;
    ++record.version;
    this->store(record, now);
}

void Membership::forgetDead(TimePoint now, Duration lifetime)
{
    std::vector<std::string> over;
    for (const auto& [name, known] : this->records) {
        if (known.deadSince && now - *known.deadSince >= lifetime)
            over.push_back(name);
    }
    for (const std::string& name : over) {
        this->digestValue ^= hashOf(this->records.at(name).record);
        std::erase(this->updates, name);
        this->records.erase(name);
    }
}

std::vector<InstanceRecord> Membership::takeUpdates(std::size_t most)
{
    std::vector<InstanceRecord> taken;
    std::size_t count = std::min(most, this->updates.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::string name = this->updates.front();
        this->updates.pop_front();
        Known& known = this->records.at(name);
        taken.push_back(known.record);
        if (--known.sendsLeft)
            this->updates.push_back(name);
    }
    return taken;
}

std::vector<InstanceRecord> Membership::all() const
{
    std::vector<InstanceRecord> result;
    for (const auto& [name, known] : this->records)
        result.push_back(known.record);
    return result;
}

std::vector<InstanceRecord> Membership::peers() const
{
    std::vector<InstanceRecord> result;
    for (const auto& [name, known] : this->records) {
        if (name != this->selfName && known.record.state != InstanceState::Dead)
            result.push_back(known.record);
    }
    return result;
}

const InstanceRecord* Membership::find(const std::string& name) const
{
    auto known = this->records.find(name);
    return known == this->records.end() ? nullptr : &known->second.record;
}

const InstanceRecord* Membership::holderOf(std::uint32_t slot) const
{
    auto holder = this->slotHolders.find(slot);
    return holder == this->slotHolders.end() ? nullptr : this->find(holder->second);
}

bool Membership::seesMajority() const
{
    std::size_t alive = 0;
    for (const auto& [name, known] : this->records)
        alive += known.record.state != InstanceState::Dead;
    return alive * 2 > this->records.size();
}

} // namespace catkinlock
