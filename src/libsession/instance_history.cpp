#include "libsession/instance_history.h"

#include "catkinlock/rendezvous.h"
#include "libsession/fleet_view.h"
#include <utility>

namespace catkinlock {

InstanceHistory::InstanceHistory(std::string self, Duration retention)
    : self(std::move(self))
    , retention(retention)
{
}

void InstanceHistory::record(const FleetView& view, bool usable, TimePoint now)
{
    bool hadGap = now - std::exchange(this->recordedAt, now) > maxGap;
    if (view.serial != this->viewSerial)
        this->takeNames(view, now);
    std::erase_if(this->gone, [this, now](const auto& entry) { return now - entry.second > this->retention; });
    if (!usable || !this->listed.count(this->self))
        this->listedSince = TimePoint();
    else if (hadGap || this->listedSince == TimePoint())
        this->listedSince = now;
}

void InstanceHistory::takeNames(const FleetView& view, TimePoint now)
{
    this->viewSerial = view.serial;
    std::set<std::string> names;
    for (const auto& [name, instance] : view.instances) {
        names.insert(names.end(), name);
        this->gone.erase(name);
    }
    for (const std::string& name : this->listed) {
        if (!names.count(name))
            this->gone[name] = now;
    }
    this->listed = std::move(names);
}

bool InstanceHistory::isEstablished(TimePoint now) const
{
    bool isListed = this->listedSince != TimePoint();
    return isListed && now - this->recordedAt <= maxGap && now - this->listedSince > this->retention;
}

std::size_t InstanceHistory::rankFor(const std::string& member) const
{
    std::uint64_t seed = stableHash(member);
    auto own = std::pair(stableHash(this->self, seed), this->self);
    std::size_t before = 0;
    for (const std::string& name : this->listed)
        before += std::pair(stableHash(name, seed), name) < own;
    for (const auto& [name, until] : this->gone)
        before += std::pair(stableHash(name, seed), name) < own;
    return before;
}

} // namespace catkinlock
