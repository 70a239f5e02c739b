#include "libserver/gossip.h"

#include "catkinlock/wire_convert.h"
#include "peer.pb.h"
#include <algorithm>
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds pingInterval { 500 };
    // A ping without an acknowledgement after this time counts as a missed response.
    constexpr Milliseconds pingTimeout { 1000 };
    // Maximum number of membership records in a ping or an acknowledgement.
    constexpr std::size_t maxUpdatesPerMessage = 6;
    // Number of random peers that receive a pushed update.
    constexpr std::size_t pushFanout = 4;
    // After this many consecutive differing digests, an instance requests the peer's complete membership.
    constexpr unsigned digestMismatchThreshold = 4;
    // Minimum interval between two requests for a complete membership.
    constexpr Milliseconds membershipRequestInterval { 10000 };
    // Time for which the record of a dead instance is kept.
    constexpr std::chrono::hours deadRecordRetention { 1 };

} // namespace

Gossip::Gossip(asio::io_context& context, std::shared_ptr<PeerLink> link, std::shared_ptr<Membership> membership,
    std::shared_ptr<ConfigFollower> config, std::shared_ptr<ConfigFreshness> freshness, Hooks hooks)
    : context(context)
    , link(std::move(link))
    , membership(std::move(membership))
    , config(std::move(config))
    , freshness(std::move(freshness))
    , hooks(std::move(hooks))
    , random(std::random_device {}())
    , nextId(static_cast<std::uint64_t>(this->random()) << 32)
    , nextMembershipRequestAt(Clock::now())
{
}

void Gossip::start()
{
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->context, [self] { return self->run(); }, asio::detached);
}

asio::awaitable<void> Gossip::run()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->context);
    while (!this->stopped) {
        double jitter = std::uniform_real_distribution<double>(0.9, 1.1)(this->random);
        timer.expires_after(std::chrono::duration_cast<Milliseconds>(pingInterval * jitter));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        TimePoint now = Clock::now();
        this->expirePings(now);
        this->pingNext(now);
        this->membership->removeDead(now, deadRecordRetention);
        this->freshness->recordLiveMajority(this->membership->hasLiveMajority());
    }
}

void Gossip::expirePings(TimePoint now)
{
    bool changed = false;
    for (auto it = this->pendingPings.begin(); it != this->pendingPings.end();) {
        if (now - it->second.sentAt < pingTimeout) {
            ++it;
            continue;
        }
        this->membership->recordTimeout(it->second.name, now);
        const InstanceRecord* record = this->membership->find(it->second.name);
        bool dead = !record || record->state == InstanceState::Dead;
        if (!dead)
            this->retryPeers.push_back(it->second.name);
        changed = changed || dead;
        it = this->pendingPings.erase(it);
    }
    if (changed)
        this->hooks.membershipChanged();
}

void Gossip::pingNext(TimePoint now)
{
    // Peers whose last ping timed out are pinged again before the others.
    auto& source = this->retryPeers.empty() ? this->roundPeers : this->retryPeers;
    if (source.empty()) {
        for (const InstanceRecord& peer : this->membership->peers())
            this->roundPeers.push_back(peer.name);
        std::shuffle(this->roundPeers.begin(), this->roundPeers.end(), this->random);
    }
    if (source.empty())
        return;
    std::string name = source.back();
    source.pop_back();
    const InstanceRecord* record = this->membership->find(name);
    if (record && record->state != InstanceState::Dead)
        this->ping(*record, now);
}

void Gossip::ping(const InstanceRecord& peer, TimePoint now)
{
    wire::Envelope envelope;
    wire::Ping& message = *envelope.mutable_ping();
    message.set_id(++this->nextId);
    message.set_revision(this->config->revision());
    message.set_membership_digest(this->membership->digest());
    for (const InstanceRecord& record : this->membership->takeUpdates(maxUpdatesPerMessage))
        writeRecord(record, *message.add_records());
    this->pendingPings[this->nextId] = { peer.name, now };
    this->link->send(peer.address, envelope);
}

void Gossip::pushUpdates()
{
    TimePoint now = Clock::now();
    auto peers = this->membership->peers();
    std::shuffle(peers.begin(), peers.end(), this->random);
    peers.resize(std::min(peers.size(), pushFanout));
    for (const InstanceRecord& peer : peers)
        this->ping(peer, now);
}

void Gossip::receivePing(const std::string& sender, const wire::Ping& ping)
{
    TimePoint now = Clock::now();
    std::vector<InstanceRecord> records;
    for (const wire::InstanceRecord& record : ping.records())
        records.push_back(readRecord(record));
    this->applyRecords(records, now);
    wire::Envelope envelope;
    wire::Ack& ack = *envelope.mutable_ack();
    ack.set_id(ping.id());
    ack.set_revision(this->config->revision());
    ack.set_membership_digest(this->membership->digest());
    TimePoint confirmed = this->freshness->confirmed();
    if (confirmed != TimePoint()) {
        auto age = std::chrono::ceil<Milliseconds>(now - confirmed).count();
        ack.set_confirmed_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)));
    }
    for (const InstanceRecord& record : this->membership->takeUpdates(maxUpdatesPerMessage))
        writeRecord(record, *ack.add_records());
    this->link->send(sender, envelope);
    if (this->config->recordPeerRevision(ping.revision(), std::nullopt))
        this->requestTables(sender);
    this->compareDigests(sender, ping.membership_digest(), now);
}

void Gossip::receiveAck(const std::string& sender, const wire::Ack& ack)
{
    auto pending = this->pendingPings.find(ack.id());
    if (pending == this->pendingPings.end())
        return;
    TimePoint now = Clock::now();
    this->membership->recordResponse(pending->second.name, now);
    this->freshness->recordPeerResponse(now);
    std::vector<InstanceRecord> records;
    for (const wire::InstanceRecord& record : ack.records())
        records.push_back(readRecord(record));
    // The peer computed the age after the ping was sent. Subtracting it from the send time can only make the
    // confirmation look older than it is, never newer.
    std::optional<TimePoint> confirmed;
    if (ack.has_confirmed_age_ms())
        confirmed = pending->second.sentAt - Milliseconds(ack.confirmed_age_ms());
    this->pendingPings.erase(pending);
    this->applyRecords(records, now);
    if (this->config->recordPeerRevision(ack.revision(), confirmed))
        this->requestTables(sender);
    this->compareDigests(sender, ack.membership_digest(), now);
}

void Gossip::applyRecords(const std::vector<InstanceRecord>& records, TimePoint now)
{
    bool changed = false;
    for (const InstanceRecord& record : records)
        changed = this->membership->apply(record, now) || changed;
    if (changed)
        this->hooks.membershipChanged();
}

void Gossip::compareDigests(const std::string& sender, std::uint64_t digest, TimePoint now)
{
    if (digest == this->membership->digest()) {
        this->digestMismatches = 0;
        return;
    }
    if (++this->digestMismatches < digestMismatchThreshold || now < this->nextMembershipRequestAt)
        return;
    this->digestMismatches = 0;
    this->nextMembershipRequestAt = now + membershipRequestInterval;
    wire::Envelope envelope;
    envelope.mutable_membership_request();
    this->link->send(sender, envelope);
}

void Gossip::receiveMembershipRequest(const std::string& sender)
{
    wire::Envelope envelope;
    for (const InstanceRecord& record : this->membership->all())
        writeRecord(record, *envelope.mutable_membership_update()->add_records());
    this->link->send(sender, envelope);
}

void Gossip::receiveMembershipUpdate(const wire::MembershipUpdate& update)
{
    std::vector<InstanceRecord> records;
    for (const wire::InstanceRecord& record : update.records())
        records.push_back(readRecord(record));
    this->applyRecords(records, Clock::now());
}

void Gossip::requestTables(const std::string& address)
{
    wire::Envelope envelope;
    envelope.mutable_table_request()->set_since_revision(this->config->revision());
    this->link->send(address, envelope);
}

} // namespace catkinlock
