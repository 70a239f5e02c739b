#include "libsession/demand_share.h"

#include "catkinlock/rendezvous.h"
#include "libsession/concurrency_limit.h"
#include <algorithm>
#include <cmath>

namespace catkinlock {

namespace {

    // A report is used for this long. Several reports in a row have to be lost for it to expire.
    constexpr Milliseconds reportLifetime { 500 };

    double stretchOf(const MemberDemand& demand)
    {
        return std::clamp(demand.stretchPercent / 100.0, 1.0, ConcurrencyLimit::maxStretch);
    }

    // A gateway that asks for its share has a statement to place.
    double demandOf(const MemberDemand& own) { return std::max<double>(1, own.running + own.waiting); }

} // namespace

std::uint32_t memberKey(std::string_view memberId) { return static_cast<std::uint32_t>(stableHash(memberId)); }

bool DemandShare::Peer::isSilent(TimePoint now) const
{
    bool recent = now - this->reportedAt < reportLifetime;
    return this->reported ? this->demand > 0 && !recent : recent;
}

void DemandShare::setGateways(const std::string& address, const std::vector<std::string>& addresses, TimePoint now)
{
    std::vector<Peer> next;
    next.reserve(addresses.size());
    for (const std::string& each : addresses) {
        auto known = std::find_if(
            this->peers.begin(), this->peers.end(), [&each](const Peer& peer) { return peer.address == each; });
        if (known != this->peers.end())
            next.push_back(*known);
        else
            next.push_back({ each, 0, now, false, 0, 1 });
    }
    this->self = address;
    this->peers = std::move(next);
}

void DemandShare::recordReport(
    const std::string& sender, std::int64_t sentAtMs, const MemberDemand& report, TimePoint now)
{
    for (Peer& peer : this->peers) {
        if (peer.address != sender)
            continue;
        // The clock of a machine that was started again begins anew.
        if (peer.reported && sentAtMs <= peer.sentAtMs && now - peer.reportedAt < reportLifetime)
            return;
        peer.sentAtMs = sentAtMs;
        peer.reportedAt = now;
        peer.reported = true;
        peer.demand = report.running + report.waiting;
        peer.stretch = stretchOf(report);
    }
}

DemandShare::Sum DemandShare::sum(const MemberDemand& own, TimePoint now) const
{
    Sum sum { demandOf(own), demandOf(own) * stretchOf(own), 0 };
    for (const Peer& peer : this->peers) {
        if (peer.isSilent(now)) {
            ++sum.silent;
            continue;
        }
        sum.demand += peer.demand;
        sum.weight += peer.weight();
    }
    return sum;
}

double DemandShare::limit(std::size_t slots, const MemberDemand& own, TimePoint now) const
{
    Sum all = this->sum(own, now);
    return static_cast<double>(slots) * all.weight / all.demand;
}

std::size_t DemandShare::places(std::size_t slots, const MemberDemand& own, TimePoint now) const
{
    Sum all = this->sum(own, now);
    auto gateways = static_cast<double>(this->peers.size() + 1);
    double divided = this->limit(slots, own, now) * (1 - static_cast<double>(all.silent) / gateways);
    double unit = divided / all.weight;
    double share = demandOf(own) * stretchOf(own) * unit;
    // Whole places: what is left after rounding down goes to the greatest remainders, so that the shares add up.
    double remainder = share - std::floor(share);
    double left = std::round(divided) - std::floor(share);
    std::size_t before = 0;
    for (const Peer& peer : this->peers) {
        if (peer.isSilent(now))
            continue;
        double other = peer.weight() * unit;
        double otherRemainder = other - std::floor(other);
        left -= std::floor(other);
        before += otherRemainder > remainder || (otherRemainder == remainder && peer.address < this->self);
    }
    auto whole = static_cast<std::size_t>(std::floor(share));
    return std::max<std::size_t>(1, whole + (static_cast<double>(before) + 1 <= left ? 1 : 0));
}

} // namespace catkinlock
