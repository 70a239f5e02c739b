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

/// Spreads the membership and the newest revision of the tables between instances. Each period an instance asks one
/// random peer for a sign of life, with bounded news on the message; a new revision goes at once to a few peers, each
/// of which passes it on once. On the control thread.
class Gossip : public std::enable_shared_from_this<Gossip> {
public:
    struct Hooks {
        std::function<void()> membershipChanged;
    };

    Gossip(boost::asio::io_context&, std::shared_ptr<PeerLink>, std::shared_ptr<Membership>,
        std::shared_ptr<ConfigFollower>, std::shared_ptr<ConfigFreshness>, Hooks);

    void start();
    void stop() { this->stopped = true; }
    /// Tells a few random peers of this instance's revision and news at once.
    void pushNews();

    void receivePing(const std::string& sender, const wire::Ping&);
    void receiveAck(const std::string& sender, const wire::Ack&);
    void receiveMembershipUpdate(const wire::MembershipUpdate&);
    void answerMembershipRequest(const std::string& sender);

private:
    struct Waiting {
        std::string name;
        TimePoint sentAt;
    };

    boost::asio::awaitable<void> run();
    void pingOne(TimePoint now);
    void ping(const InstanceRecord&, TimePoint now);
    void endSilentPings(TimePoint now);
    void applyRecords(const std::vector<InstanceRecord>&, TimePoint now);
    void compareDigests(const std::string& sender, std::uint64_t digest, TimePoint now);
    void requestTables(const std::string& address);

    boost::asio::io_context& context;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<Membership> membership;
    std::shared_ptr<ConfigFollower> config;
    std::shared_ptr<ConfigFreshness> freshness;
    Hooks hooks;
    std::minstd_rand random;
    std::map<std::uint64_t, Waiting> waiting;
    // Peers still to be asked in this round, in random order, so that each is asked once a round.
    std::vector<std::string> round;
    std::vector<std::string> retry;
    std::uint64_t nextId;
    unsigned mismatches = 0;
    TimePoint fullRequestAt;
    bool stopped = false;
};

} // namespace catkinlock
