#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/clock.h"
#include "catkinlock/target_message.h"
#include "libsession/operation_token.h"
#include "libsession/session_context.h"
#include "libsession/session_runner.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// One caller's session on one connection. Keeps itself alive while it runs. On the request thread.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(boost::asio::ip::tcp::socket, std::shared_ptr<SessionContext>);
    ~Session();

    boost::asio::awaitable<void> run();
    /// Ends the session now if nothing is open in it and no request of its waits.
    void endIfIdle();
    /// Rolls back an open transaction of a caller that is not being served, and ends the session.
    void endTransaction();

private:
    struct Socket;

    boost::asio::awaitable<bool> open();
    boost::asio::awaitable<std::optional<CallerMessage>> nextMessage();
    boost::asio::awaitable<bool> write(std::string bytes);
    boost::asio::awaitable<TargetReply> answer(SessionStatement);
    tl::expected<StatementCall, TargetReply> admitCall() const;
    void watchIdleTransaction();
    void record(const SessionStatement&, const TargetReply&, const StatementCall&) const;

    std::unique_ptr<Socket> socket;
    std::shared_ptr<SessionContext> context;
    SessionRunner runner;
    std::string database;
    // Digest of the caller's key; the key itself is not kept.
    std::string keyDigest;
    // Route of the open transaction; changes apply from the next one on.
    std::optional<Route> transactionRoute;
    std::string received;
    OperationToken token;
    bool waiting = false;
    bool ending = false;
};

} // namespace catkinlock
