#pragma once

#include "catkinlock/clock.h"
#include "libsession/forwarded_statement.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace catkinlock::wire {
class Envelope;
}

namespace catkinlock {

class PeerSender;
class SessionRunner;
struct SessionContext;

/// Runs writes and transactions for other instances, as the gateway of their workspace and service. Keeps a transaction
/// with its connection until it ends, from either side. The link is used on the control thread, the rest on the request
/// thread.
class StatementService : public std::enable_shared_from_this<StatementService> {
public:
    struct Parts {
        boost::asio::any_io_executor control;
        std::shared_ptr<PeerSender> link;
        std::shared_ptr<SessionContext> sessions;
        /// Random number of this process.
        std::uint64_t run = 0;
    };

    explicit StatementService(Parts);

    /// Runs the statement and sends its reply to `sender`. A malformed request is ignored. On the control thread.
    void receiveRequest(const std::string& sender, const wire::StatementRequest&);
    /// Rolls back a transaction of `sender`. On the control thread.
    void receiveEnd(const std::string& sender, std::uint64_t transaction);
    /// Rolls back transactions that were left idle for too long, whose instance is gone, or that have had their time
    /// while this instance leaves. To be called periodically.
    void endOverdue(TimePoint now);
    /// Transactions and statements in progress; may be called on any thread.
    std::uint64_t open() const { return this->openCount.load(); }

private:
    struct Transaction;
    // Address of the sender, and its number of the transaction.
    using TransactionKey = std::pair<std::string, std::uint64_t>;

    struct Received {
        std::string sender;
        std::uint64_t id = 0;
        ForwardedStatement statement;
        GatewayTime sentAt;
        TimePoint receivedAt;
        TimePoint deadline;
    };
    void accept(Received);
    bool isRepeated(const Received&, TimePoint now);
    bool isAvailable(TimePoint now) const;
    std::shared_ptr<Transaction> transactionFor(const Received&, TimePoint now);
    boost::asio::awaitable<void> serve(Received, std::shared_ptr<Transaction>);
    void refuse(const Received&);
    void reportRunning(const Received&);
    void endRefused(const Received&);
    void reply(const Received&, std::shared_ptr<wire::Envelope>);
    void end(const TransactionKey&);
    void updateOpenCount();

    Parts parts;
    std::map<TransactionKey, std::shared_ptr<Transaction>> transactions;
    // Requests of the last seconds, since the link may deliver one twice.
    using RequestKey = std::pair<std::string, std::uint64_t>;
    std::set<RequestKey> recentRequests;
    std::deque<std::pair<TimePoint, RequestKey>> recentOrder;
    // Statements that are running.
    std::size_t running = 0;
    std::atomic<std::uint64_t> openCount { 0 };
};

} // namespace catkinlock
