#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/fleet_view.h"
#include "libsession/forwarded_statement.h"
#include "libsession/gateway_choice.h"
#include "libsession/read_forwarder.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock::wire {
class Envelope;
}

namespace catkinlock {

class GatewayClocks;
class PeerSender;

/// Sends writes and the statements of transactions to gateways. Unlike a read, none of them may run twice, so that one
/// without a reply is not sent again. Runs on the request thread; the link is used on the control thread.
class StatementForwarder : public std::enable_shared_from_this<StatementForwarder> {
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

    explicit StatementForwarder(Parts);

    /// A gateway that an operation is sent to.
    struct Gateway {
        std::string name;
        /// "ip:port"
        std::string address;
    };
    /// The gateway of a workspace and service; fails if this instance is the gateway, or if there is none to be used.
    tl::expected<Gateway, ForwardFailure> choose(
        const std::string& workspace, const std::string& service, GatewayUse) const;
    /// Has the gateway run a statement, and waits for the reply until `replyUntil`. `deadline`: until then the gateway
    /// may go on. `ForwardFailure::NotRun` says that the statement did not run and that the transaction, if it belongs
    /// to one, is rolled back.
    boost::asio::awaitable<tl::expected<ForwardedOutcome, ForwardFailure>> forward(
        Gateway, ForwardedStatement, TimePoint deadline, TimePoint replyUntil);
    /// Has the gateway roll back a transaction.
    void endTransaction(const Gateway&, std::uint64_t transaction);
    /// A number for a transaction that no other one of this instance has, nor one of an earlier process at its address.
    std::uint64_t newTransaction() { return ++this->lastId; }
    /// Completes the statement that the reply belongs to; others are ignored. `sender`: address of the gateway. On the
    /// control thread.
    void receiveReply(const std::string& sender, const wire::StatementReply&);

    /// Statements that a gateway has replied to, and those that were not sent, were refused or had no reply in time;
    /// may be called on any thread.
    std::uint64_t forwarded() const { return this->forwardedCount.load(); }
    std::uint64_t lost() const { return this->lostCount.load(); }

private:
    struct Pending;

    boost::asio::awaitable<std::shared_ptr<Pending>> exchange(
        Gateway, std::shared_ptr<const ForwardedStatement>, TimePoint deadline, TimePoint replyUntil);
    void send(std::string address, std::shared_ptr<wire::Envelope>, std::uint64_t id);
    void recordNotSent(std::uint64_t id);
    void complete(const std::string& sender, const wire::StatementReply&);

    Parts parts;
    // By id of the request.
    std::map<std::uint64_t, std::shared_ptr<Pending>> pendingStatements;
    // Starts at a random number, so that replies to an earlier process at this address have other ids.
    std::uint64_t lastId;
    std::atomic<std::uint64_t> forwardedCount { 0 };
    std::atomic<std::uint64_t> lostCount { 0 };
};

} // namespace catkinlock
