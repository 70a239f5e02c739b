#pragma once

#include "catkinlock/caller_limits.h"
#include "catkinlock/clock.h"
#include "libsession/session_context.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock {

class Session;

/// Accepts callers' connections and runs a session on each. Runs on the request thread.
class SessionFront : public std::enable_shared_from_this<SessionFront> {
public:
    SessionFront(boost::asio::io_context&, std::shared_ptr<SessionContext>);
    ~SessionFront();

    /// False if the address can't be bound.
    bool listen(const std::string& address);
    void start();
    /// Serves the connections that are complete and closes the listener.
    void stopAccepting();
    /// Ends the sessions and transactions that are due by the schedule of the drain.
    void endSessions(TimePoint now);

private:
    struct Acceptor;
    boost::asio::awaitable<void> accept();
    void serve(boost::asio::ip::tcp::socket);
    void refuse(boost::asio::ip::tcp::socket, const std::string& address, CallerLimit) const;
    std::vector<std::shared_ptr<Session>> liveSessions();

    boost::asio::io_context& context;
    std::shared_ptr<SessionContext> sessionContext;
    std::unique_ptr<Acceptor> acceptor;
    std::vector<std::weak_ptr<Session>> sessions;
};

} // namespace catkinlock
