#pragma once

#include "catkinlock/clock.h"
#include "libsession/forwarded_statement.h"
#include "libsession/read_forwarder.h"
#include "libsession/statement_forwarder.h"
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace catkinlock {

struct SessionContext;

/// The part of a session that runs at gateways: its operations on services with few connections, and the transaction
/// that a gateway keeps for it. Runs on the request thread.
class GatewaySession {
public:
    using Answer = tl::expected<ForwardedOutcome, ForwardFailure>;

    /// A statement of a transaction.
    struct TransactionStatement {
        ForwardedCall call;
        /// It executes a prepared statement that writes.
        bool preparedWrites = false;
        /// The transaction only reads.
        bool readOnly = false;
    };

    explicit GatewaySession(std::shared_ptr<SessionContext>);

    /// True if operations of the service go through gateways.
    bool isUsedFor(const std::string& service) const;
    /// Has a read run. A reply that comes after `ForwardFailure::ReplyLost` is stored in `late`.
    boost::asio::awaitable<Answer> read(ForwardedCall, TimePoint deadline, std::shared_ptr<LateReply> late);
    /// Has a write run. After `ForwardFailure::ReplyLost` its outcome is unknown.
    boost::asio::awaitable<Answer> write(ForwardedCall, bool preparedWrites, TimePoint deadline);
    /// Chooses the gateway of a transaction, which begins there with its first statement. False if there is none.
    bool openTransaction(const std::string& workspace, const std::string& service);
    /// Has the next statement of the transaction run. After a failure the transaction is in progress nowhere, unless
    /// the statement was a commit; before its first statement has run it may begin elsewhere.
    boost::asio::awaitable<Answer> continueTransaction(TransactionStatement, TimePoint deadline);
    /// True while no statement of the transaction has run.
    bool isAtBeginning() const { return this->transaction && !this->transaction->sequence; }
    /// True while a gateway is to run the session's transaction.
    bool inTransaction() const { return this->transaction.has_value(); }
    /// Has the gateway roll back the transaction that it keeps, if there is one.
    void endTransaction();

private:
    struct Transaction {
        StatementForwarder::Gateway gateway;
        std::uint64_t number = 0;
        // Place of the last statement; 0 before the first one.
        std::uint32_t sequence = 0;
    };

    std::shared_ptr<SessionContext> context;
    std::optional<Transaction> transaction;
};

} // namespace catkinlock
