#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include "catkinlock/tables.h"
#include "catkinlock/target_message.h"
#include "libsession/forwarded_call.h"
#include "libsession/gateway_session.h"
#include "libsession/operation_token.h"
#include "libsession/session_context.h"
#include "libsession/target_groups.h"
#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace catkinlock {

struct LateReply;

/// Workspace of a caller without a valid key, on an open route. It has no rate.
inline constexpr const char* noWorkspace = "-";

/// The context that one statement runs in: the route and workspace it was admitted for, and its deadline.
struct StatementCall {
    Route route;
    std::string workspace;
    /// Digest of the caller's key; empty on an open route.
    std::string keyDigest;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// End of a wait for capacity that begins at `now`: after the route's `capacityWait`, at the latest at the
    /// deadline.
    TimePoint endOfCapacityWait(TimePoint now) const
    {
        return std::min(this->deadline, now + capacityWait(this->route));
    }
    /// The same for the wait for a place at a member. `queuesHere`: the statements to the members queue at gateways.
    TimePoint endOfPlaceWait(TimePoint now, bool queuesHere) const
    {
        return queuesHere ? std::min(this->deadline, now + placeWait(this->route)) : this->endOfCapacityWait(now);
    }
    /// False once the caller may no longer run the statement. Checked again just before the statement is sent to a
    /// member, because it may have waited for a connection since it was admitted.
    std::function<bool()> isAllowed;
};

/// Runs the statements of one session on the members of the database groups. Keeps the session's values, its prepared
/// statements, its open transaction with the connection that it is bound to, and the position of its last commit in
/// each service. Runs on the request thread.
class SessionRunner {
public:
    explicit SessionRunner(std::shared_ptr<SessionContext>);

    /// Runs a statement and returns its reply. The first statement of an operation takes a token of the workspace's
    /// rate where the operation runs; it is refunded if nothing of the operation ran. If a member ran the statement
    /// successfully, the reply contains the member's signature as proof. An error code says either that the statement
    /// had no effect or that its outcome is unknown.
    boost::asio::awaitable<TargetReply> run(SessionStatement, StatementCall);
    /// Takes over the session of a statement that another instance has forwarded to this one, which then runs it
    /// itself. `preparedWrites`: the statement executes a prepared one that writes.
    void adopt(const ForwardedCall&, bool preparedWrites);
    /// Resets `lastMember` and `lastAttempts`. To be called before each statement.
    void beginStatement();
    /// Rolls back the open transaction in the background. The session's transaction is then in the state Failed.
    void abandon();
    /// Does the same between two statements, and reports it in the reply to the next one. Does nothing unless a
    /// transaction is open.
    void abandonUnreported();
    TransactionState state() const { return this->transaction.state; }
    /// True if the statement starts a new operation, which counts against the workspace's rate: a read, a write or the
    /// execution of a prepared statement outside a transaction, or the start of a transaction. Setting a session value
    /// and preparing or deallocating a statement are not counted.
    bool startsOperation(const SessionStatement&) const;
    /// Rolls back an open transaction in the background and releases its connection. The session's transaction is then
    /// in the state Failed. Does nothing outside a transaction.
    void close();
    /// Returns the rate token of the workspace's operation if nothing of it ran. To be called between two statements,
    /// when the operation ends with a refusal.
    void refundUnrun(const std::string& workspace);
    /// Rolls back an open transaction in the background. The session is then in no transaction.
    void rollBack();
    /// Id of the member that the last statement was sent to, for logs; empty if there was none.
    const std::string& lastMember() const { return this->memberId; }
    /// Number of attempts that the last statement took.
    unsigned lastAttempts() const { return this->attempts; }
    /// True if a member ran, or may have run, any statement of the operation that began last.
    bool mayHaveRun() const { return this->operationMayHaveRun; }
    /// True if the session has prepared statements.
    bool hasPrepared() const { return !this->prepared.empty(); }
    /// True if the operation that began last may have left something: a write or the commit of writes was sent.
    bool mayHaveWritten() const { return this->operationMayHaveWritten; }

private:
    // One attempt at running a statement on one member.
    struct Attempt {
        enum class AttemptOutcome {
            // The member replied, with a result or with an error that does not rule out that the statement ran.
            Replied,
            // The statement did not run: it was not sent, or the member refused it.
            NotRun,
            // The statement was sent but no reply arrived; it may have run.
            ReplyLost,
        };
        AttemptOutcome outcome = AttemptOutcome::NotRun;
        TargetReply reply;
    };

    struct Transaction {
        TransactionState state = TransactionState::Idle;
        bool readOnly = false;
        bool wrote = false;
        // The transaction holds a connection while none of its statements is running.
        bool idleInTransaction = false;
        // The transaction has failed, and the caller has not been told.
        bool failureUnreported = false;
        std::string service;
        std::shared_ptr<TargetPool> pool;
        // The connection that the transaction is bound to; null until its first statement.
        std::shared_ptr<TargetLink> link;
    };

    void setIdleInTransaction(bool idleInTransaction);
    TargetReply runLocally(const SessionStatement&);
    TargetReply refuse(StatementError, std::string text) const;
    TargetReply failTransaction(StatementError, std::string text);
    bool writes(const SessionStatement&) const;
    WorkKind workKind(const SessionStatement&, const Route&) const;
    std::string preparedNameFor(const SessionStatement&) const;
    ReadRequirements readRequirements(const StatementCall&) const;

    std::optional<TargetReply> refuseByState(const SessionStatement&);
    boost::asio::awaitable<TargetReply> startOperation(SessionStatement, StatementCall);
    boost::asio::awaitable<std::optional<TargetReply>> admit(StatementCall);
    boost::asio::awaitable<TargetReply> runHere(SessionStatement, StatementCall);
    ForwardedCall describe(const SessionStatement&, const StatementCall&) const;
    boost::asio::awaitable<std::optional<TargetReply>> startAtGateway(
        SessionStatement, StatementCall, std::shared_ptr<LateReply>);
    boost::asio::awaitable<TargetReply> continueAtGateway(SessionStatement, StatementCall);
    boost::asio::awaitable<TargetReply> beginHere(SessionStatement, StatementCall);
    TargetReply failAtGateway(bool commits, ForwardFailure);
    TargetReply takeOutcome(ForwardedOutcome, bool committed, const StatementCall&);
    TargetReply takeReply(ForwardedReply);
    boost::asio::awaitable<TargetReply> readOutsideTransaction(SessionStatement, StatementCall);
    boost::asio::awaitable<TargetReply> writeOutsideTransaction(SessionStatement, StatementCall);
    boost::asio::awaitable<TargetReply> runInTransaction(SessionStatement, StatementCall);
    boost::asio::awaitable<TargetReply> commit(SessionStatement, StatementCall);
    boost::asio::awaitable<bool> bind(StatementCall, TargetReply& failure);
    boost::asio::awaitable<bool> beginOn(std::shared_ptr<TargetLink>, Placement, StatementCall, TargetReply& failure);
    void logFailedAttempt(const Attempt&, const SessionStatement&, const std::optional<Position>& after) const;
    boost::asio::awaitable<Attempt> attemptOn(Placement, SessionStatement, StatementCall, TimePoint deadline);
    static bool wasRefusedAsBusy(const Attempt&);
    boost::asio::awaitable<void> sleepFor(Milliseconds);
    Placement transactionPlacement(const SessionStatement&) const;
    bool isPrimaryInUse(const TargetPool&, const std::string& service) const;
    bool mayStillRun(const Placement&, const StatementCall&) const;
    TimePoint endOfPlaceWait(const StatementCall&) const;
    boost::asio::awaitable<Attempt> exchange(
        std::shared_ptr<TargetLink>, Placement, SessionStatement, StatementCall, TimePoint deadline);

    std::shared_ptr<SessionContext> context;
    GatewaySession gateway;
    OperationToken operationToken;
    std::map<std::string, std::string> values;
    std::map<std::string, SessionStatement> prepared;
    // Position of the session's last commit, by service.
    std::map<std::string, Position> committedPositions;
    Transaction transaction;
    std::string memberId;
    unsigned attempts = 0;
    bool operationMayHaveRun = false;
    bool operationMayHaveWritten = false;
    // True if the session is another instance's.
    bool adopted = false;
};

} // namespace catkinlock
