#include "libsession/target_groups.h"

#include "libsession/target_link.h"

namespace catkinlock {

namespace {

    // Lags that others are told of, and how old that may be.
    constexpr Milliseconds longLag { 500 };
    constexpr Milliseconds oldestLag { 600 };
    // A position is counted as this much older than its question, for clocks that run at different speeds.
    constexpr Milliseconds ageMargin { 50 };
    // Connections to a member that the fleet leaves free, for the instances that change the primary.
    constexpr std::size_t reservedConnections = 4;

} // namespace

TargetGroups::TargetGroups(boost::asio::any_io_executor executor, std::shared_ptr<const TargetProtocol> protocol,
    std::shared_ptr<ViewFreshness> freshness, std::string dataCentre)
    : executor(std::move(executor))
    , protocol(std::move(protocol))
    , freshness(std::move(freshness))
    , dataCentre(std::move(dataCentre))
{
}

void TargetGroups::refresh(const FleetView& view)
{
    if (view.serial == this->viewSerial)
        return;
    this->viewSerial = view.serial;
    for (auto it = this->poolById.begin(); it != this->poolById.end();) {
        if (view.targets.count(it->first)) {
            ++it;
            continue;
        }
        it->second->closeAll();
        it = this->poolById.erase(it);
    }
    std::size_t instances = std::max<std::size_t>(view.instances.size(), 1);
    for (const auto& [id, target] : view.targets) {
        auto& pool = this->poolById[id];
        if (!pool)
            pool = std::make_shared<TargetPool>(this->executor, this->protocol, target);
        pool->setTarget(target);
        auto service = view.tables->pools.find(target.service);
        std::size_t bound = service == view.tables->pools.end() ? 1 : service->second.databases.front().connections;
        pool->setShare((bound - std::min(bound, reservedConnections)) / instances);
    }
}

std::shared_ptr<TargetPool> TargetGroups::poolOf(const std::string& id) const
{
    auto found = this->poolById.find(id);
    return found == this->poolById.end() ? nullptr : found->second;
}

std::optional<Placement> TargetGroups::placeWrite(
    const FleetView& view, const std::string& service, TimePoint now) const
{
    auto primary = view.primaryOf(service);
    auto pool = primary ? this->poolOf(primary->id) : nullptr;
    if (!pool || !this->freshness->isFresh(now))
        return std::nullopt;
    return Placement { pool, std::nullopt, true };
}

std::optional<Placement> TargetGroups::placeRead(
    const FleetView& view, const ReadNeed& need, const std::set<std::string>& tried, TimePoint now) const
{
    auto primary = this->placeWrite(view, need.service, now);
    std::optional<Position> floor;
    auto window = this->windows.find(need.service);
    if (need.consistency != ReadConsistency::Primary && window != this->windows.end())
        floor = window->second.covering(now - need.maxAge + ageMargin);
    if (!floor) {
        bool usable = primary && !tried.count(primary->pool->target().id);
        return usable ? primary : std::nullopt;
    }
    if (need.consistency == ReadConsistency::ReadYourWrites)
        floor = std::max(*floor, need.own);
    std::vector<std::shared_ptr<TargetPool>> pools;
    std::vector<MemberLoad> loads;
    for (const TargetRecord& target : view.membersOf(need.service)) {
        bool isPrimary = primary && primary->pool->target().id == target.id;
        auto pool = this->poolOf(target.id);
        if (!pool || target.draining)
            continue;
        MemberLoad load = pool->load(need.workspace, now);
        load.isPrimary = isPrimary;
        load.sameDataCentre = target.dataCentre == this->dataCentre;
        load.wasTried = tried.count(target.id) != 0;
        load.seemsBehind = !isPrimary && (pool->seemsBehind(*floor, now) || pool->lagsBeyond(need.maxAge, now));
        loads.push_back(load);
        pools.push_back(pool);
    }
    auto choice = chooseMember(loads);
    if (!choice)
        return std::nullopt;
    bool isPrimary = loads[*choice].isPrimary;
    return Placement { pools[*choice], isPrimary ? std::nullopt : floor, isPrimary };
}

void TargetGroups::notePrimaryPosition(const std::string& service, const Position& position, TimePoint askedAt)
{
    this->windows[service].note(position, askedAt);
}

PrimaryPositions TargetGroups::latestPositions() const
{
    PrimaryPositions latest;
    for (const auto& [service, window] : this->windows) {
        if (auto sample = window.latest())
            latest.emplace(service, *sample);
    }
    return latest;
}

MemberLags TargetGroups::laggingMembers(TimePoint now) const
{
    MemberLags lags;
    for (const auto& [id, pool] : this->poolById) {
        LagSight sight = pool->lastLag();
        if (sight.lag >= longLag && now - sight.seenAt < oldestLag)
            lags.emplace(id, sight);
    }
    return lags;
}

void TargetGroups::noteLag(const std::string& member, const LagSight& sight)
{
    if (auto pool = this->poolOf(member))
        pool->noteLag(sight.lag, sight.seenAt);
}

void TargetGroups::noteMemberPosition(TargetPool& pool, const Position& position, TimePoint now)
{
    auto window = this->windows.find(pool.target().service);
    if (position.term && window != this->windows.end())
        pool.noteLag(window->second.lagOf(position, now), now);
}

void TargetGroups::noteAcknowledged(const std::string& service, const Position& position)
{
    Position& highest = this->highestAcknowledged[service];
    highest = std::max(highest, position);
}

std::vector<MemberSight> TargetGroups::sights() const
{
    std::vector<MemberSight> sights;
    for (const auto& [id, pool] : this->poolById)
        sights.push_back({ id, pool->target().service, pool->health() });
    return sights;
}

void TargetGroups::keepHouse(TimePoint now)
{
    for (const auto& [id, pool] : this->poolById)
        pool->closeIdle(now);
}

void TargetGroups::closeAll()
{
    for (const auto& [id, pool] : this->poolById)
        pool->closeAll();
}

} // namespace catkinlock
