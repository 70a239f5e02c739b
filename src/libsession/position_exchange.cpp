#include "libsession/position_exchange.h"

#include "catkinlock/peer_link.h"
#include "peer.pb.h"
#include <algorithm>

namespace catkinlock {

namespace {

    // A service whose latest position is older than this needs a query.
    constexpr Milliseconds maxUpToDateAge { 400 };
    // Peers, chosen at random, that are queried at once.
    constexpr std::size_t peersPerQuery = 2;
    // Older positions are not reported, because they are too old for any read.
    constexpr Milliseconds maxReportedAge { 5000 };
    // The oldest queries beyond this count are dropped; a reply to them is ignored.
    constexpr std::size_t maxPendingQueries = 64;

} // namespace

PositionExchange::PositionExchange(std::shared_ptr<PeerLink> link, Hooks hooks)
    : link(std::move(link))
    , hooks(std::move(hooks))
    , lastQueryId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
    , random(std::random_device {}())
{
}

bool PositionExchange::isUpToDate(const std::vector<std::string>& services, TimePoint now) const
{
    return std::all_of(services.begin(), services.end(), [this, now](const std::string& service) {
        auto known = this->positions.find(service);
        return known != this->positions.end() && now - known->second.requestedAt < maxUpToDateAge;
    });
}

void PositionExchange::queryIfStale(
    const std::vector<std::string>& services, const std::vector<std::string>& peers, TimePoint now)
{
    if (peers.empty() || this->isUpToDate(services, now))
        return;
    for (std::size_t i = 0; i < peersPerQuery; ++i) {
        const std::string& peer = peers[this->random() % peers.size()];
        wire::Envelope envelope;
        envelope.mutable_positions_query()->set_id(++this->lastQueryId);
        this->pendingQueries[this->lastQueryId] = now;
        this->link->send(peer, envelope);
    }
    while (this->pendingQueries.size() > maxPendingQueries)
        this->pendingQueries.erase(this->pendingQueries.begin());
}

void PositionExchange::receiveQuery(const std::string& sender, const wire::PositionsQuery& query)
{
    TimePoint now = Clock::now();
    wire::Envelope envelope;
    wire::PositionsReply& reply = *envelope.mutable_positions_reply();
    reply.set_id(query.id());
    for (const auto& [service, sample] : this->positions) {
        auto age = std::chrono::duration_cast<Milliseconds>(now - sample.requestedAt);
        if (age > maxReportedAge)
            continue;
        wire::ServicePosition& position = *reply.add_positions();
        position.set_service(service);
        position.mutable_position()->set_term(sample.position.term);
        position.mutable_position()->set_lsn(sample.position.lsn);
        // Rounded up, so that the position may look older than it is but never newer.
        position.set_age_ms(static_cast<std::uint64_t>(age.count()) + 1);
    }
    for (const auto& [member, observation] : this->lags) {
        wire::MemberLag& lag = *reply.add_lags();
        lag.set_member(member);
        lag.set_lag_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(observation.lag).count()));
        auto age = std::chrono::duration_cast<Milliseconds>(now - observation.observedAt);
        lag.set_age_ms(static_cast<std::uint64_t>(age.count()) + 1);
    }
    this->link->send(sender, envelope);
}

void PositionExchange::receiveReply(const wire::PositionsReply& reply)
{
    auto found = this->pendingQueries.find(reply.id());
    if (found == this->pendingQueries.end())
        return;
    TimePoint requestedAt = found->second;
    this->pendingQueries.erase(found);
    for (const wire::ServicePosition& position : reply.positions())
        this->hooks.positionReceived(position.service(),
            { { position.position().term(), position.position().lsn() },
                requestedAt - Milliseconds(position.age_ms()) });
    for (const wire::MemberLag& lag : reply.lags())
        this->hooks.lagReceived(lag.member(), { Milliseconds(lag.lag_ms()), requestedAt - Milliseconds(lag.age_ms()) });
}

} // namespace catkinlock
