#include "libsession/fleet_view.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>

namespace catkinlock {

bool FleetView::lists(const std::string& name, const std::string& peerAddress) const
{
    auto found = this->instances.find(name);
    return found != this->instances.end() && found->second.peerAddress == peerAddress;
}

std::vector<std::string> FleetView::instanceNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, instance] : this->instances)
        names.push_back(name);
    return names;
}

std::size_t FleetView::rankOf(const std::string& instance, const std::string& service) const
{
    std::uint64_t seed = stableHash(service);
    std::uint64_t ownHash = stableHash(instance, seed);
    return static_cast<std::size_t>(std::count_if(this->instances.begin(), this->instances.end(),
        [&](const auto& entry) { return stableHash(entry.first, seed) < ownHash; }));
}

std::size_t FleetView::syncReplicasOf(const std::string& service) const
{
    auto pool = this->tables->pools.find(service);
    return pool == this->tables->pools.end() ? 1 : pool->second.syncReplicas;
}

std::vector<TargetRecord> FleetView::membersOf(const std::string& service) const
{
    std::vector<TargetRecord> members;
    for (const std::string& id : this->targets.idsOf(service))
        members.push_back(*this->targets.find(id));
    return members;
}

bool FleetView::maySendTo(const std::string& member, TimePoint now) const
{
    auto end = this->sendEnds.find(member);
    return end == this->sendEnds.end() || now < end->second;
}

std::vector<TargetRecord> FleetView::promotionMembersOf(const std::string& service) const
{
    auto members = this->membersOf(service);
    for (TargetRecord& member : members)
        member.draining = member.draining || this->isEvacuated(member);
    return members;
}

bool FleetView::isEvacuated(const TargetRecord& member) const { return this->evacuated.count(member.dataCentre) != 0; }

bool FleetView::isToHandOver(const std::string& service) const
{
    auto primary = this->primaryOf(service);
    if (!primary || primary->draining)
        return primary.has_value();
    auto members = this->promotionMembersOf(service);
    bool otherStays
        = std::any_of(members.begin(), members.end(), [](const TargetRecord& member) { return !member.draining; });
    return this->isEvacuated(*primary) && otherStays;
}

std::uint64_t FleetView::termOf(const std::string& service) const
{
    auto record = this->groups.find(service);
    return record == this->groups.end() ? 0 : record->second.term;
}

bool FleetView::isDeposed(const std::string& service) const
{
    auto primary = this->primaryOf(service);
    if (!primary || primary->primary)
        return false;
    auto members = this->membersOf(service);
    return std::any_of(members.begin(), members.end(), [](const TargetRecord& member) { return member.primary; });
}

bool FleetView::isReplacing(const std::string& service) const
{
    auto record = this->groups.find(service);
    return record != this->groups.end() && record->second.state == GroupRecord::State::Replacing;
}

std::optional<TargetRecord> FleetView::primaryOf(const std::string& service) const
{
    auto record = this->groups.find(service);
    if (record != this->groups.end()) {
        const TargetRecord* target = this->targets.find(record->second.primary);
        bool usable = record->second.state == GroupRecord::State::Serving && target;
        return usable ? std::optional(*target) : std::nullopt;
    }
    // The fleet never replaced this group's primary, so the member that claims the role is used, provided that only one
    // does.
    std::optional<TargetRecord> found;
    for (const TargetRecord& target : this->membersOf(service)) {
        if (!target.primary)
            continue;
        if (found)
            return std::nullopt;
        found = target;
    }
    return found;
}

} // namespace catkinlock
