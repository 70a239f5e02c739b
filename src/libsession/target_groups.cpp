#include "libsession/target_groups.h"

#include "catkinlock/log.h"
#include "catkinlock/rendezvous.h"
#include "libsession/gateway_choice.h"
#include "libsession/member_speed.h"
#include "libsession/target_link.h"
#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace catkinlock {

namespace {

    // Shorter lags are not reported to other instances.
    constexpr Milliseconds minReportedLag { 500 };
    // Older observations of a lag are not reported.
    constexpr Milliseconds maxReportedLagAge { 600 };
    // A position is taken to be older than its request by this margin, because clocks run at different speeds.
    constexpr Milliseconds positionAgeMargin { 50 };
    // Connections to each member that the pools leave free for promotions, which connect to the members separately.
    constexpr std::size_t reservedConnections = 4;
    // Part of the other connections that the gateways of a service divide. Instances that run operations without a
    // gateway use the rest.
    constexpr double gatewayFraction = 0.8;

} // namespace

TargetGroups::TargetGroups(boost::asio::any_io_executor executor, std::shared_ptr<const TargetProtocol> protocol,
    std::shared_ptr<ViewFreshness> freshness, std::string instance, std::string dataCentre)
    : executor(std::move(executor))
    , protocol(std::move(protocol))
    , freshness(std::move(freshness))
    , instance(std::move(instance))
    , dataCentre(std::move(dataCentre))
    , choiceSeed(std::random_device {}())
{
}

void TargetGroups::limitWarmUp(WarmUpLimit::Terms terms)
{
    this->warmUp = std::make_unique<WarmUpLimit>(std::move(terms));
}

void TargetGroups::refresh(const FleetView& view, TimePoint now)
{
    if (this->warmUp)
        this->warmUp->recordView(view, this->freshness->isFresh(now), now);
    if (view.serial == this->viewSerial)
        return;
    this->viewSerial = view.serial;
    for (auto it = this->poolById.begin(); it != this->poolById.end();) {
        if (view.targets.contains(it->first)) {
            ++it;
            continue;
        }
        it->second->closeAll();
        this->refusedEarlyBefore += it->second->refusedEarly();
        it = this->poolById.erase(it);
    }
    std::size_t instances = std::max<std::size_t>(view.instances.size(), 1);
    for (const auto& [id, target] : view.targets.all()) {
        auto& pool = this->poolById[id];
        if (!pool)
            pool = std::make_shared<TargetPool>(this->executor, this->protocol, target);
        pool->setTarget(target);
        if (!mayUse(view, *pool, now))
            pool->closeAll();
    }
    this->gatewayServices.clear();
    this->gatewayPeers.clear();
    for (const auto& [service, pool] : view.tables->pools) {
        if (needsGateways(pool.databases.front().connections, instances))
            this->gatewayServices.insert(service);
        this->shareConnections(view, service, pool.databases.front().connections, now);
        this->shareSpeed(view, service);
        if (auto primary = view.primaryOf(service))
            this->poolById[primary->id]->beginTerm(view.termOf(service), now);
    }
}

// Divides the connections that each member of a service accepts: among its gateways if it has them, else among all
// instances.
void TargetGroups::shareConnections(
    const FleetView& view, const std::string& service, std::size_t connections, TimePoint now)
{
    std::size_t available = connections - std::min(connections, reservedConnections);
    auto gatewayShare = this->gatewayShare(view, service, available);
    if (gatewayShare)
        this->gatewayPeers[service] = gatewayShare->peers;
    std::size_t share = this->usesGateways(service) ? 0 : available / std::max<std::size_t>(view.instances.size(), 1);
    for (const std::string& id : view.targets.idsOf(service)) {
        TargetPool& pool = *this->poolById[id];
        if (gatewayShare)
            pool.setGatewayShare(*gatewayShare, now);
        else
            pool.setShare(share);
    }
}

// This instance's share of the connections as a gateway of the service; std::nullopt if it is none.
std::optional<GatewayShare> TargetGroups::gatewayShare(
    const FleetView& view, const std::string& service, std::size_t connections) const
{
    if (!this->usesGateways(service))
        return std::nullopt;
    std::vector<std::string> gateways = gatewaysOf(view, service);
    if (!std::count(gateways.begin(), gateways.end(), this->instance))
        return std::nullopt;
    GatewayShare share;
    share.connections = static_cast<std::size_t>(connections * gatewayFraction) / gateways.size();
    for (const std::string& gateway : gateways) {
        const std::string& address = view.instances.at(gateway).peerAddress;
        if (gateway == this->instance)
            share.self = address;
        else
            share.peers.push_back(address);
    }
    return share;
}

std::vector<ServiceDemand> TargetGroups::demands(TimePoint now) const
{
    std::vector<ServiceDemand> demands;
    demands.reserve(this->gatewayPeers.size());
    for (const auto& [service, peers] : this->gatewayPeers) {
        demands.push_back({ peers, {} });
        for (const auto& [id, pool] : this->poolById) {
            if (pool->target().service == service)
                demands.back().members.push_back(pool->demand(now));
        }
    }
    return demands;
}

void TargetGroups::recordDemand(const std::string& sender, const DemandReport& report, TimePoint now)
{
    for (const auto& [id, pool] : this->poolById) {
        if (!pool->isGateway())
            continue;
        MemberDemand demand;
        demand.member = pool->demand(now).member;
        auto reported = std::find_if(report.members.begin(), report.members.end(),
            [&demand](const MemberDemand& each) { return each.member == demand.member; });
        pool->recordDemand(sender, report.sentAtMs, reported == report.members.end() ? demand : *reported, now);
        pool->serveWaiting();
    }
}

// Compares the members of a service that uses gateways by their speeds. In others an instance sees too few statements
// of a member.
void TargetGroups::shareSpeed(const FleetView& view, const std::string& service)
{
    if (!this->usesGateways(service))
        this->speeds.erase(service);
    std::shared_ptr<MemberSpeed> speed;
    if (this->usesGateways(service)) {
        auto& entry = this->speeds[service];
        if (!entry)
            entry = std::make_shared<MemberSpeed>();
        speed = entry;
        speed->keepOnly(view.targets.idsOf(service));
    }
    for (const std::string& id : view.targets.idsOf(service))
        this->poolById[id]->setSpeed(speed);
}

std::shared_ptr<TargetPool> TargetGroups::poolOf(const std::string& id) const
{
    auto found = this->poolById.find(id);
    return found == this->poolById.end() ? nullptr : found->second;
}

// The primary that the view names, also if nothing may be sent to it: its replies to earlier statements still count.
std::optional<Placement> TargetGroups::primaryInUse(
    const FleetView& view, const std::string& service, TimePoint now) const
{
    auto primary = view.primaryOf(service);
    auto pool = primary ? this->poolOf(primary->id) : nullptr;
    if (!pool || !this->freshness->isFresh(now))
        return std::nullopt;
    return Placement { pool, std::nullopt, true };
}

bool TargetGroups::mayUse(const FleetView& view, const TargetPool& pool, TimePoint now)
{
    return !view.isEvacuated(pool.target()) && view.maySendTo(pool.target().id, now);
}

// False if the member warms up and this instance's share of the statements to it is used up.
bool TargetGroups::mayPlaceOn(const TargetPool& pool, TimePoint now) const
{
    return !this->warmUp || this->warmUp->allows(pool.target().id, now);
}

Placement TargetGroups::countPlacement(Placement placement, TimePoint now)
{
    if (this->warmUp)
        this->warmUp->recordStatement(placement.pool->target().id, now);
    return placement;
}

// The primary if a statement may be placed on it now.
std::optional<Placement> TargetGroups::usablePrimary(
    const FleetView& view, const std::string& service, TimePoint now) const
{
    auto primary = this->primaryInUse(view, service, now);
    bool usable = primary && mayUse(view, *primary->pool, now) && this->mayPlaceOn(*primary->pool, now);
    return usable ? primary : std::nullopt;
}

std::optional<Placement> TargetGroups::placeWrite(const FleetView& view, const std::string& service, TimePoint now)
{
    auto primary = this->usablePrimary(view, service, now);
    return primary ? std::optional(this->countPlacement(*primary, now)) : std::nullopt;
}

std::optional<Placement> TargetGroups::placeRead(
    const FleetView& view, const ReadRequirements& requirements, const std::set<std::string>& tried, TimePoint now)
{
    auto primary = this->usablePrimary(view, requirements.service, now);
    std::optional<Position> minPosition;
    auto window = this->windows.find(requirements.service);
    if (requirements.consistency != ReadConsistency::Primary && window != this->windows.end())
        minPosition = window->second.covering(now - requirements.maxAge + positionAgeMargin);
    if (!minPosition) {
        bool usable = primary && !tried.count(primary->pool->target().id);
        return usable ? std::optional(this->countPlacement(*primary, now)) : std::nullopt;
    }
    if (requirements.consistency == ReadConsistency::ReadYourWrites)
        minPosition = std::max(*minPosition, requirements.lastCommit);
    // A workspace's reads stay at one of the equal members, so that its connections are used again.
    std::uint64_t workspaceSeed = stableHash(requirements.workspace, this->choiceSeed);
    std::vector<std::shared_ptr<TargetPool>> pools;
    std::vector<MemberLoad> loads;
    for (const TargetRecord& target : view.membersOf(requirements.service)) {
        bool isPrimary = primary && primary->pool->target().id == target.id;
        auto pool = this->poolOf(target.id);
        if (!pool || target.draining || view.isEvacuated(target) || !this->mayPlaceOn(*pool, now))
            continue;
        MemberLoad load = pool->load(requirements.workspace, requirements.work, now);
        load.isPrimary = isPrimary;
        load.isReserved = isPrimary && pool->isReserved(now);
        load.sameDataCentre = target.dataCentre == this->dataCentre;
        load.wasTried = tried.count(target.id) != 0;
        load.tieBreak = stableHash(target.id, workspaceSeed);
        load.seemsBehind
            = !isPrimary && (pool->seemsBehind(*minPosition, now) || pool->lagsBeyond(requirements.maxAge, now));
        loads.push_back(load);
        pools.push_back(pool);
    }
    auto choice = chooseMember(loads);
    if (!choice)
        return std::nullopt;
    pools[*choice]->recordSent(now);
    bool isPrimary = loads[*choice].isPrimary;
    Placement placement { pools[*choice], isPrimary ? std::nullopt : minPosition, isPrimary,
        isPrimary && replicaServes(loads) };
    return this->countPlacement(std::move(placement), now);
}

SentRequest TargetGroups::requestTo(const FleetView& view, std::shared_ptr<TargetPool> pool, TimePoint now) const
{
    auto primary = this->primaryInUse(view, pool->target().service, now);
    bool toPrimary = primary && primary->pool == pool;
    pool->recordSent(now);
    return { std::move(pool), now, toPrimary };
}

void TargetGroups::recordReplyPosition(
    const FleetView& view, const SentRequest& request, const Position& position, TimePoint now)
{
    const std::string& service = request.pool->target().service;
    auto primary = this->primaryInUse(view, service, now);
    if (request.toPrimary && primary && primary->pool == request.pool)
        this->recordPrimaryPosition(service, position, request.sentAt);
}

void TargetGroups::recordPrimaryPosition(const std::string& service, const Position& position, TimePoint requestedAt)
{
    this->windows[service].record(position, requestedAt);
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
        LagObservation observation = pool->lastLag();
        if (observation.lag >= minReportedLag && now - observation.observedAt < maxReportedLagAge)
            lags.emplace(id, observation);
    }
    return lags;
}

void TargetGroups::recordLag(const std::string& member, const LagObservation& observation)
{
    if (auto pool = this->poolOf(member))
        pool->recordLag(observation.lag, observation.observedAt);
}

void TargetGroups::recordMemberPosition(TargetPool& pool, const Position& position, TimePoint now)
{
    auto window = this->windows.find(pool.target().service);
    if (position.term && window != this->windows.end())
        pool.recordLag(window->second.lagOf(position, now), now);
}

void TargetGroups::recordAcknowledged(const std::string& service, const Position& position)
{
    Position& highest = this->highestAcknowledged[service];
    highest = std::max(highest, position);
}

std::vector<MemberObservation> TargetGroups::observations() const
{
    std::vector<MemberObservation> observations;
    for (const auto& [id, pool] : this->poolById)
        observations.push_back({ id, pool->target().service, pool->health() });
    return observations;
}

void TargetGroups::runMaintenance(TimePoint now)
{
    for (const auto& [id, pool] : this->poolById)
        pool->closeIdle(now);
    this->watchSpeeds(now);
    this->updateCapacity(now);
}

void TargetGroups::watchSpeeds(TimePoint now)
{
    double greatest = 1;
    std::set<std::string> watched;
    for (const auto& [id, pool] : this->poolById) {
        auto speed = this->speeds.find(pool->target().service);
        if (speed == this->speeds.end())
            continue;
        watched.insert(id);
        double slowness = speed->second->slowness(id);
        greatest = std::max(greatest, slowness);
        auto change = this->slownessWatch.record(id, slowness, now);
        if (change && this->slownessLines.take(now))
            writeLog(LogLevel::Info, *change ? "member_slowed" : "member_recovered",
                { { "member", id }, { "service", pool->target().service },
                    { "slowness", fmt::format("{:.1f}", slowness) },
                    { "lines_left_out", fmt::format("{}", this->slownessLines.omitted()) } });
    }
    this->slownessWatch.keepOnly(watched);
    constexpr double percent = 100;
    this->capacityLevel.maxSlownessPercent = static_cast<std::uint64_t>(greatest * percent);
}

void TargetGroups::updateCapacity(TimePoint now)
{
    std::uint64_t inUse = 0;
    std::uint64_t places = 0;
    std::uint64_t waiting = 0;
    std::uint64_t refusedEarly = this->refusedEarlyBefore;
    for (const auto& [id, pool] : this->poolById) {
        refusedEarly += pool->refusedEarly();
        if (!pool->isGateway())
            continue;
        MemberDemand demand = pool->demand(now);
        inUse += demand.running;
        waiting += demand.waiting;
        places += pool->places(now);
    }
    this->capacityLevel.placesInUse = inUse;
    this->capacityLevel.places = places;
    this->capacityLevel.waiting = waiting;
    this->capacityLevel.refusedEarly = refusedEarly;
}

void TargetGroups::closeAll()
{
    for (const auto& [id, pool] : this->poolById)
        pool->closeAll();
}

} // namespace catkinlock
