#pragma once

#include "catkinlock/membership.h"
#include "catkinlock/peer_link.h"
#include "libserver/config_follower.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace catkinlock::wire {
class Ping;
class Ack;
class MembershipUpdate;
}

namespace catkinlock {

/// Spreads membership records and the newest revision of the tables between instances. In each interval an instance
/// pings one peer in random order; the ping and its acknowledgement carry a bounded number of changed records. A new
/// revision is sent at once to a few random peers; each peer requests the changed entries and, once it has applied
/// them, sends the revision on in the same way. Used on the control thread only.
class Gossip : public std::enable_shared_from_this<Gossip> {
public:
    struct Hooks {
        /// Called after the record of at least one instance has changed.
        std::function<void()> membershipChanged;
    };

    Gossip(boost::asio::io_context&, std::shared_ptr<PeerLink>, std::shared_ptr<Membership>,
        std::shared_ptr<ConfigFollower>, std::shared_ptr<ConfigFreshness>, Hooks);

    void start();
    void stop() { this->stopped = true; }
    /// Sends this instance's revision and pending record updates to a few random peers at once.
    void pushUpdates();

    /// Applies the records in a ping, acknowledges it to the address `sender`, and requests the changed entries of the
    /// tables from there if the sender's revision is newer.
    void receivePing(const std::string& sender, const wire::Ping&);
    /// Applies the records and the confirmation of the tables in an acknowledgement, and requests the changed entries
    /// as `receivePing` does. Ignored if its ping is not pending.
    void receiveAck(const std::string& sender, const wire::Ack&);
    /// Applies a peer's complete membership.
    void receiveMembershipUpdate(const wire::MembershipUpdate&);
    /// Sends all membership records to the address `sender`.
    void receiveMembershipRequest(const std::string& sender);

private:
    struct PendingPing {
        // Name of the pinged instance.
        std::string name;
        TimePoint sentAt;
    };

    boost::asio::awaitable<void> run();
    // Pings the next peer of the round.
    void pingNext(TimePoint now);
    void ping(const InstanceRecord&, TimePoint now);
    // Records a missed response for each ping that has timed out, and queues its peer for another ping unless the peer
    // counts as dead.
    void expirePings(TimePoint now);
    void applyRecords(const std::vector<InstanceRecord>&, TimePoint now);
    // Requests the sender's complete membership after several differing digests in a row.
    void compareDigests(const std::string& sender, std::uint64_t digest, TimePoint now);
    void requestTables(const std::string& address);

    boost::asio::io_context& context;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<Membership> membership;
    std::shared_ptr<ConfigFollower> config;
    std::shared_ptr<ConfigFreshness> freshness;
    Hooks hooks;
    std::minstd_rand random;
    // Pings without an acknowledgement, by their id.
    std::map<std::uint64_t, PendingPing> pendingPings;
    // Peers still to be pinged in this round, in random order, so that each is pinged once a round.
    std::vector<std::string> roundPeers;
    // Peers whose last ping timed out; they are pinged again before the others.
    std::vector<std::string> retryPeers;
    std::uint64_t nextId;
    // Consecutive membership digests received from peers that differed from this instance's digest.
    unsigned digestMismatches = 0;
    // Earliest time of the next request for a peer's complete membership.
    TimePoint nextMembershipRequestAt;
    bool stopped = false;
};

} // namespace catkinlock
