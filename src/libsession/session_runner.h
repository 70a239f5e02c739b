#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include "catkinlock/tables.h"
#include "catkinlock/target_message.h"
#include "libsession/session_context.h"
#include "libsession/target_groups.h"
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace catkinlock {

/// What a statement is run for.
struct StatementCall {
    Route route;
    std::string workspace;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// False once the caller may no longer run it; asked again before bytes leave for a member.
    std::function<bool()> isAllowed;
};

/// Runs the statements of one session on the members: keeps its values and prepared statements, its open transaction
/// with the connection that it is bound to, and the position of its last commit. On the request thread.
class SessionRunner {
public:
    explicit SessionRunner(std::shared_ptr<SessionContext>);

    /// Answers a statement. Every reply says what is true: done with the member's proof, not kept, or unknown.
    boost::asio::awaitable<TargetReply> run(SessionStatement, StatementCall);
    /// Forgets where the last statement went, before the next one.
    void beginStatement();
    /// Rolls back what is open, in the background. The session's transaction then counts as failed.
    void abandon();
    TransactionState state() const { return this->transaction.state; }
    /// True if the statement starts an operation of its own, which counts against a rate.
    bool startsOperation(const SessionStatement&) const;
    /// Ends the session's use of connections.
    void close();
    /// The member that the last statement went to, for logs.
    const std::string& lastMember() const { return this->member; }
    unsigned lastTries() const { return this->tries; }
    /// True if a member ran, or may have run, something of the operation that began last.
    bool mayHaveRun() const { return this->ranSomething; }
    void beginOperation() { this->ranSomething = false; }

private:
    // How one try on one member ended.
    struct Try {
        enum class Fate {
            Answered,
            NotRun,
            Lost,
        };
        Fate fate = Fate::NotRun;
        TargetReply reply;
    };

    struct Transaction {
        TransactionState state = TransactionState::Idle;
        bool readOnly = false;
        bool wrote = false;
        // No statement of it is under way.
        bool rests = false;
        std::string service;
        std::shared_ptr<TargetPool> pool;
        // The connection that it is bound to; null until its first statement.
        std::shared_ptr<TargetLink> link;
    };

    void setResting(bool rests);
    TargetReply answerLocally(const SessionStatement&);
    TargetReply refuse(StatementError, std::string text) const;
    TargetReply failTransaction(StatementError, std::string text);
    bool writes(const SessionStatement&) const;
    std::string preparedNameFor(const SessionStatement&) const;
    ReadNeed needOf(const StatementCall&) const;

    boost::asio::awaitable<TargetReply> readAlone(SessionStatement, StatementCall);
    boost::asio::awaitable<TargetReply> writeAlone(SessionStatement, StatementCall);
    boost::asio::awaitable<TargetReply> runInTransaction(SessionStatement, StatementCall);
    boost::asio::awaitable<TargetReply> commit(SessionStatement, StatementCall);
    boost::asio::awaitable<bool> bind(StatementCall, TargetReply& failure);
    boost::asio::awaitable<bool> beginOn(std::shared_ptr<TargetLink>, Placement, StatementCall, TargetReply& failure);
    void recordTry(const Try&, const SessionStatement&, const std::optional<Position>& after) const;
    boost::asio::awaitable<Try> tryOn(Placement, SessionStatement, StatementCall, Milliseconds timeout);
    static bool wasRefusedForRoom(const Try&);
    boost::asio::awaitable<void> pause(Milliseconds);
    Placement transactionPlacement() const;
    bool mayStillRun(const Placement&, const StatementCall&) const;
    boost::asio::awaitable<Try> exchange(
        std::shared_ptr<TargetLink>, Placement, SessionStatement, StatementCall, Milliseconds timeout);

    std::shared_ptr<SessionContext> context;
    std::map<std::string, std::string> values;
    std::map<std::string, SessionStatement> prepared;
    // Position of the last commit, by service.
    std::map<std::string, Position> committed;
    Transaction transaction;
    std::string member;
    unsigned tries = 0;
    bool ranSomething = false;
};

} // namespace catkinlock
