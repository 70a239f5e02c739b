#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/fleet_view.h"
#include "libsession/forwarded_call.h"
#include "libsession/gateway_choice.h"
#include "libsession/gateway_clocks.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

class PeerSender;

/// Why a statement was not run by a gateway.
enum class ForwardFailure {
    /// This instance is the gateway.
    OwnGateway,
    /// The gateway is unknown or avoided, or it refused the statement.
    NotRun,
    /// The gateway did not reply in time, and may have run the statement.
    ReplyLost,
};

/// Receives the reply to a read that was given up as lost, if it arrives before the read's deadline.
struct LateReply {
    std::optional<ForwardedReply> reply;
};

/// How long a gateway has to reply to a statement that then is run elsewhere: a part of the route's latency objective,
/// at most until `deadline`.
Duration gatewayReplyTime(const Route&, TimePoint now, TimePoint deadline);

/// Sends reads outside a transaction to the gateway of their workspace and service, which keeps connections to the
/// members for them. A read may run at the gateway although no reply arrives; it is then run again here, which a read
/// allows. Runs on the request thread; the link is used on the control thread.
class ReadForwarder : public std::enable_shared_from_this<ReadForwarder> {
public:
    struct Parts {
        boost::asio::any_io_executor control;
        boost::asio::any_io_executor requests;
        std::shared_ptr<PeerSender> link;
        std::shared_ptr<RcuSnapshot<FleetView>> view;
        std::shared_ptr<GatewayChoice> gateways;
        std::shared_ptr<GatewayClocks> clocks;
        /// Name of this instance.
        std::string instance;
    };

    explicit ReadForwarder(Parts);

    /// Has the gateway run the read. After a failure this instance is to run it; a reply that arrives after
    /// `ForwardFailure::ReplyLost` is stored in `late`.
    boost::asio::awaitable<tl::expected<ForwardedReply, ForwardFailure>> forward(
        ForwardedCall, TimePoint deadline, std::shared_ptr<LateReply> late);
    /// Completes the read that the reply belongs to. Ignored are late and unknown replies, and those to a request of
    /// another process that had this instance's address before. `sender`: address of the gateway. On the control
    /// thread.
    void receiveReply(const std::string& sender, const wire::ReadReply&);

    /// Reads that a gateway has replied to, and those without a reply in time; may be called on any thread.
    std::uint64_t forwarded() const { return this->forwardedCount.load(); }
    std::uint64_t lost() const { return this->lostCount.load(); }

private:
    struct Pending;

    void send(std::string address, const ForwardedCall&, std::uint64_t id, TimePoint deadline);
    // What a reply says of the request that it belongs to.
    struct ReplyOrigin {
        std::uint64_t id = 0;
        // Address of the gateway.
        std::string sender;
        // The caller's id of the request.
        std::string request;
        // When the gateway received the request.
        GatewayTime receivedAt;
        // The read is still running; its reply follows.
        bool running = false;
    };
    void complete(const ReplyOrigin&, std::optional<ForwardedReply>);
    void dropExpired(TimePoint now);

    Parts parts;
    // By id of the request.
    std::map<std::uint64_t, std::shared_ptr<Pending>> pendingReads;
    // Starts at a random number, so that replies to an earlier process at this address have other ids.
    std::uint64_t lastId;
    std::atomic<std::uint64_t> forwardedCount { 0 };
    std::atomic<std::uint64_t> lostCount { 0 };
};

} // namespace catkinlock
