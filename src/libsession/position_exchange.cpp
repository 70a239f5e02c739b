#include "libsession/position_exchange.h"

#include "catkinlock/peer_link.h"
#include "peer.pb.h"
#include <algorithm>

namespace catkinlock {

namespace {

    constexpr Milliseconds freshEnough { 400 };
    constexpr std::size_t peersAsked = 2;
    // Older positions cover no read's age.
    constexpr Milliseconds oldestTold { 5000 };
    constexpr std::size_t mostAsked = 64;

} // namespace

PositionExchange::PositionExchange(std::shared_ptr<PeerLink> link, Hooks hooks)
    : link(std::move(link))
    , hooks(std::move(hooks))
    , lastId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
    , random(std::random_device {}())
{
}

bool PositionExchange::isUpToDate(const std::vector<std::string>& services, TimePoint now) const
{
    return std::all_of(services.begin(), services.end(), [this, now](const std::string& service) {
        auto known = this->positions.find(service);
        return known != this->positions.end() && now - known->second.askedAt < freshEnough;
    });
}

void PositionExchange::look(
    const std::vector<std::string>& services, const std::vector<std::string>& peers, TimePoint now)
{
    if (peers.empty() || this->isUpToDate(services, now))
        return;
    for (std::size_t i = 0; i < peersAsked; ++i) {
        const std::string& peer = peers[this->random() % peers.size()];
        wire::Envelope envelope;
        envelope.mutable_positions_query()->set_id(++this->lastId);
        this->asked[this->lastId] = now;
        this->link->send(peer, envelope);
    }
    while (this->asked.size() > mostAsked)
        this->asked.erase(this->asked.begin());
}

void PositionExchange::receiveQuery(const std::string& sender, const wire::PositionsQuery& query)
{
    TimePoint now = Clock::now();
    wire::Envelope envelope;
    wire::PositionsReply& reply = *envelope.mutable_positions_reply();
    reply.set_id(query.id());
    for (const auto& [service, sample] : this->positions) {
        auto age = std::chrono::duration_cast<Milliseconds>(now - sample.askedAt);
        if (age > oldestTold)
            continue;
        wire::ServicePosition& position = *reply.add_positions();
        position.set_service(service);
        position.mutable_position()->set_term(sample.position.term);
        position.mutable_position()->set_lsn(sample.position.lsn);
        // Rounded up: a position may only look older than it is.
        position.set_age_ms(static_cast<std::uint64_t>(age.count()) + 1);
    }
    for (const auto& [member, sight] : this->lags) {
        wire::MemberLag& lag = *reply.add_lags();
        lag.set_member(member);
        lag.set_lag_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sight.lag).count()));
        auto age = std::chrono::duration_cast<Milliseconds>(now - sight.seenAt);
        lag.set_age_ms(static_cast<std::uint64_t>(age.count()) + 1);
    }
    this->link->send(sender, envelope);
}

void PositionExchange::receiveReply(const wire::PositionsReply& reply)
{
    auto found = this->asked.find(reply.id());
    if (found == this->asked.end())
        return;
    TimePoint askedAt = found->second;
    this->asked.erase(found);
    for (const wire::ServicePosition& position : reply.positions())
        this->hooks.learned(position.service(),
            { { position.position().term(), position.position().lsn() }, askedAt - Milliseconds(position.age_ms()) });
    for (const wire::MemberLag& lag : reply.lags())
        this->hooks.lagLearned(lag.member(), { Milliseconds(lag.lag_ms()), askedAt - Milliseconds(lag.age_ms()) });
}

} // namespace catkinlock
