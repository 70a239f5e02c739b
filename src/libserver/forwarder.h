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

/// Takes an admitted request to a gateway of its database, here or at a peer, and retries elsewhere what may be
/// retried. Also serves the requests that peers send here.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
    Forwarder(boost::asio::io_context& control, boost::asio::any_io_executor requests, std::shared_ptr<PeerLink>,
        std::shared_ptr<GatewayRegistry>, std::shared_ptr<RcuSnapshot<RoutingView>>);

    /// Runs a request to its outcome. May be awaited on any thread.
    boost::asio::awaitable<DatabaseResult> execute(DatabaseRequest);
    /// Takes in a peer's request or reply, on the control thread.
    void receiveRequest(const std::string& sender, const wire::ForwardRequest&);
    void receiveReply(const wire::ForwardReply&);

    /// Requests of peers that are being served.
    std::uint64_t servingForPeers() const { return this->serving.load(); }

private:
    struct Pending;

    boost::asio::awaitable<DatabaseResult> attempt(const GatewayChoice&, DatabaseRequest);
    boost::asio::awaitable<DatabaseResult> sendToPeer(std::string address, DatabaseRequest);
    boost::asio::awaitable<void> serve(std::string sender, std::uint64_t id, DatabaseRequest);

    boost::asio::io_context& control;
    boost::asio::any_io_executor requests;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<GatewayRegistry> registry;
    std::shared_ptr<RcuSnapshot<RoutingView>> routing;
    std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> pending;
    std::uint64_t nextId;
    std::atomic<std::uint64_t> serving { 0 };
};

} // namespace catkinlock
