#include "libsession/view_users.h"

#include "catkinlock/store_revision.h"
#include <algorithm>

namespace catkinlock {

ViewUsers::ViewUsers(Milliseconds maxViewAge, Milliseconds leaseTime)
    : maxViewAge(maxViewAge)
    , leaseTime(leaseTime)
{
}

// Records the instances that the view before listed and this one doesn't.
void ViewUsers::recordEnded(const FleetView& view, TimePoint now)
{
    for (const auto& [name, instance] : this->instances) {
        if (!view.instances.count(name) && !view.leftInstances.count(name))
            this->formerInstances[name] = { instance.peerAddress, now + this->maxViewAge };
    }
    std::erase_if(this->formerInstances,
        [&](const auto& former) { return former.second.viewEndsAt <= now || view.instances.count(former.first); });
}

void ViewUsers::recordView(const FleetView& view, TimePoint confirmedAt, TimePoint now)
{
    // An instance may have been registered and have lost its registration between the two views.
    bool mayLackInstances
        = now - confirmedAt >= this->leaseTime || !StoreRevision::sameEra(this->viewRevision, view.revision);
    if (mayLackInstances)
        this->unseenViewsEndAt = now + this->maxViewAge;
    this->recordEnded(view, now);
    this->instances = view.instances;
    this->viewRevision = view.revision;
}

void ViewUsers::recordRevision(const std::string& address, std::int64_t revision)
{
    std::int64_t& latest = this->revisions[address];
    latest = std::max(latest, revision);
}

bool ViewUsers::mayBeBehind(const std::string& address, std::int64_t revision) const
{
    auto reported = this->revisions.find(address);
    return reported == this->revisions.end() || reported->second < revision;
}

std::vector<std::string> ViewUsers::behind(std::int64_t revision, const std::string& self, TimePoint now) const
{
    std::vector<std::string> addresses;
    for (const auto& [name, instance] : this->instances) {
        if (name != self && this->mayBeBehind(instance.peerAddress, revision))
            addresses.push_back(instance.peerAddress);
    }
    for (const auto& [name, former] : this->formerInstances) {
        if (name != self && now < former.viewEndsAt && this->mayBeBehind(former.peerAddress, revision))
            addresses.push_back(former.peerAddress);
    }
    return addresses;
}

bool ViewUsers::allHave(std::int64_t revision, const std::string& self, TimePoint now) const
{
    return this->viewRevision >= revision && now >= this->unseenViewsEndAt && this->behind(revision, self, now).empty();
}

} // namespace catkinlock
