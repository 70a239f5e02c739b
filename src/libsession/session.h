#pragma once

#include "catkinlock/caller_charge.h"
#include "catkinlock/caller_message.h"
#include "catkinlock/clock.h"
#include "catkinlock/target_message.h"
#include "libsession/session_context.h"
#include "libsession/session_runner.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// One caller's session on one connection. `run` keeps the object alive until the session has ended. Runs on the
/// request thread.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(boost::asio::ip::tcp::socket, std::shared_ptr<SessionContext>, std::shared_ptr<CallerCharge>);
    ~Session();

    /// Serves the session from its opening message until the caller closes it, the connection fails or the session is
    /// ended.
    boost::asio::awaitable<void> run();
    /// Rolls back the open transaction, or tells the caller that the session ends, if that is due by the schedule of
    /// the drain and no request of the session is running or waiting to be read. Closes the session if the caller has
    /// been told so and does not respond.
    void endIfDue(TimePoint now);

private:
    struct Socket;

    boost::asio::awaitable<bool> open();
    boost::asio::awaitable<std::optional<CallerMessage>> awaitOpening();
    boost::asio::awaitable<bool> serveNext();
    boost::asio::awaitable<bool> serveStatement(SessionStatement);
    boost::asio::awaitable<std::optional<CallerMessage>> nextMessage();
    boost::asio::awaitable<bool> write(std::string bytes);
    StatementError noticeError() const;
    void appendNotice(std::string& out);
    void completeNotice(const SessionStatement&, std::string& out);
    void cancelRead();
    // Ends the session for a limit that its connection has met.
    void meetLimit(CallerLimit);
    void recordIfTooLarge(const std::optional<CallerMessage>&);
    void startDeadline(Milliseconds, CallerLimit);
    void stopDeadline();
    bool chargeReceived();
    void recordMessageTaken();
    bool chargeStatement(const SessionStatement&);
    void updateSessionBytes(const std::string& name, std::uint64_t size, bool succeeded);
    boost::asio::awaitable<void> refuse(CallerLimit);
    boost::asio::awaitable<TargetReply> runStatement(SessionStatement);
    tl::expected<StatementCall, TargetReply> admitCall() const;
    std::optional<TargetReply> refuseWhileLeaving(const SessionStatement&);
    void startIdleTransactionTimer();
    void logEndWhileLeaving();
    // Updates the counters and the service level, and logs the statement within the line budget.
    void recordOutcome(const SessionStatement&, const TargetReply&, const StatementCall&) const;

    std::unique_ptr<Socket> socket;
    std::shared_ptr<SessionContext> context;
    std::shared_ptr<CallerCharge> charge;
    SessionRunner runner;
    std::string database;
    // SHA-256 of the caller's key in hexadecimal; the key itself is not kept.
    std::string keyDigest;
    // Route of the open transaction. Changes of the route take effect with the next transaction.
    std::optional<Route> transactionRoute;
    // Bytes read from the caller that are not decoded yet.
    std::string received;
    // True while the session reads from the connection and runs no request.
    bool awaitingInput = false;
    // Statements received, and the first word of the last of them.
    std::uint64_t statements = 0;
    std::string lastStatement;
    // When the session was accepted or the last reply was sent.
    TimePoint quietSince;
    // When the caller was told that the session ends.
    std::optional<TimePoint> noticeGivenAt;
    // True if the caller is to be told that the session ends.
    bool noticeDue = false;
    // Limit that ends the session.
    std::optional<CallerLimit> limitMet;
    // Number of the deadline that is running; an earlier one that expires late has no effect.
    std::uint64_t deadlineNumber = 0;
    // True from the first byte of a message, or from the start for the opening message, until it is complete.
    bool arriving = false;
    // True once the opening message has been received.
    bool opened = false;
    // Bytes of the session's values and prepared statements, by kind and name.
    std::map<std::string, std::uint64_t> keptBytes;
    std::uint64_t keptBytesSum = 0;
};

} // namespace catkinlock
