#pragma once

#include "catkinlock/database_request.h"
#include "catkinlock/peer_link.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/routing_view.h"
#include "libserver/gateway_registry.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace catkinlock::wire {
class ForwardRequest;
class ForwardReply;
}

namespace catkinlock {

/// Sends an admitted request to a gateway of its database, on this instance or on a peer, and retries it at the next
/// gateway where a retry is safe. Also serves the requests that peers forward to this instance.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
    Forwarder(boost::asio::io_context& control, boost::asio::any_io_executor requests, std::shared_ptr<PeerLink>,
        std::shared_ptr<GatewayRegistry>, std::shared_ptr<RcuSnapshot<RoutingView>>);

    /// Runs a request, and repeats it while another attempt is safe, may improve the outcome and fits the deadline.
    /// Returns the combined result of all attempts. May be awaited on any thread.
    boost::asio::awaitable<DatabaseResult> execute(DatabaseRequest);
    /// Starts to serve a request that the peer at address `sender` forwarded, and replies to that address. Called on
    /// the control thread.
    void receiveRequest(const std::string& sender, const wire::ForwardRequest&);
    /// Completes the pending request that a peer's reply belongs to. A late or duplicate reply is ignored. Called on
    /// the control thread.
    void receiveReply(const wire::ForwardReply&);

    /// Number of peers' requests that are being served. May be called on any thread.
    std::uint64_t servingForPeers() const { return this->peerRequests.load(); }

private:
    struct PendingReply;

    boost::asio::awaitable<DatabaseResult> attempt(const GatewayChoice&, DatabaseRequest);
    boost::asio::awaitable<DatabaseResult> sendToPeer(std::string address, DatabaseRequest);
    boost::asio::awaitable<void> serve(std::string sender, std::uint64_t id, DatabaseRequest);

    boost::asio::io_context& control;
    boost::asio::any_io_executor requests;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<GatewayRegistry> registry;
    std::shared_ptr<RcuSnapshot<RoutingView>> routing;
    // Forwarded requests that await a reply, by id. Used on the control thread only.
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingReply>> pending;
    std::uint64_t nextId;
    std::atomic<std::uint64_t> peerRequests { 0 };
};

} // namespace catkinlock
