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

    explicit GatewaySession(std::shared_ptr<SessionContext>);

    /// True if operations of the service go through gateways.
    bool isUsedFor(const std::string& service) const;
    /// Has a read run. A reply that comes after `ForwardFailure::ReplyLost` is stored in `late`.
    boost::asio::awaitable<Answer> read(ForwardedCall, TimePoint deadline, std::shared_ptr<LateReply> late);
    /// Has a write run. After `ForwardFailure::ReplyLost` its outcome is unknown.
    boost::asio::awaitable<Answer> write(ForwardedCall, bool preparedWrites, TimePoint deadline);
    /// Begins a transaction. After a failure it may begin elsewhere.
    boost::asio::awaitable<Answer> begin(ForwardedCall, TimePoint deadline);
    /// Has the next statement of the transaction run. After a failure the transaction is in progress nowhere, unless
    /// the statement was a commit.
    boost::asio::awaitable<Answer> continueTransaction(ForwardedCall, bool preparedWrites, TimePoint deadline);
    /// True while a gateway keeps a transaction of the session.
    bool inTransaction() const { return this->transaction.has_value(); }
    /// Has the gateway roll back the transaction that it keeps, if there is one.
    void endTransaction();

private:
    struct Transaction {
        StatementForwarder::Gateway gateway;
        std::uint64_t number = 0;
        // Place of the last statement.
        std::uint32_t sequence = 0;
    };

    std::shared_ptr<SessionContext> context;
    std::optional<Transaction> transaction;
};

} // namespace catkinlock
