#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/fair_queue.h"
#include "catkinlock/refusal.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

class TargetConnection;

/// A bounded pool of connections from one instance to one member, with a fair queue of the requests that wait for one.
/// Not thread-safe: use it only on the executor that it was constructed with.
class MemberPool : public std::enable_shared_from_this<MemberPool> {
public:
    /// Exclusive use of a pooled connection. Destruction returns the connection to the pool, which closes it if a
    /// transaction is in progress, if the connection has failed, or if more connections are open than the limit allows.
    class Handle {
    public:
        Handle(std::shared_ptr<MemberPool>, std::shared_ptr<TargetConnection>, std::string workspace, bool needsReset);
        ~Handle();
        Handle(const Handle&) = delete;
        Handle& operator=(const Handle&) = delete;

        const std::shared_ptr<TargetConnection> connection;
        /// True if another workspace may have used the connection last. Its session state must then be discarded before
        /// use.
        const bool needsReset;

    private:
        std::shared_ptr<MemberPool> pool;
        std::string workspace;
    };

    /// `address` is "ip:port"; `maxResponseBytes` is the limit of each connection, see TargetConnection. The pool opens
    /// no connections before `setLimit`.
    MemberPool(boost::asio::any_io_executor, std::string address, std::size_t maxResponseBytes);

    /// Waits for a connection until `deadline`. The workspaces that wait share connections by their `weight`. Refuses
    /// at once if the limit is 0 or the queue of the workspace is full. Every error has the outcome "not run".
    boost::asio::awaitable<tl::expected<std::shared_ptr<Handle>, Refusal>> acquire(
        std::string workspace, std::uint32_t weight, TimePoint deadline);
    /// Sets the maximum number of connections. Idle connections in excess are closed at once, those in use when they
    /// are returned.
    void setLimit(std::size_t);
    /// Opens connections ahead of use, until `count` are open, the limit is reached or one can't be opened.
    boost::asio::awaitable<void> warmUp(std::size_t count, TimePoint deadline);
    /// Closes all idle connections.
    void closeIdle();

    /// Number of open connections, including those being opened.
    std::size_t open() const { return this->openCount; }
    /// Number of requests that use or wait for a connection, plus the connections that `warmUp` is opening.
    std::size_t load() const { return this->reserved + this->queue.size(); }

private:
    struct IdleConnection {
        std::shared_ptr<TargetConnection> connection;
        // The workspace that used the connection last; empty if none did.
        std::string workspace;
    };
    // A request that waits in `queue`.
    struct PendingAcquire {
        // Expires at the request's deadline; cancelled when a connection is granted.
        std::shared_ptr<boost::asio::steady_timer> timer;
        bool granted = false;
    };

    boost::asio::awaitable<tl::expected<std::shared_ptr<Handle>, Refusal>> checkOut(
        std::string workspace, TimePoint deadline);
    void release(std::shared_ptr<TargetConnection>, const std::string& workspace);
    void serveWaiters();
    void releaseReservation();

    boost::asio::any_io_executor executor;
    std::string address;
    std::size_t maxResponseBytes;
    std::size_t limit = 0;
    std::size_t openCount = 0;
    // Connections in use, being opened, or granted to a waiting request that has not resumed yet.
    std::size_t reserved = 0;
    std::uint64_t nextAcquireId = 1;
    FairQueue queue;
    std::map<std::uint64_t, std::shared_ptr<PendingAcquire>> pendingAcquires;
    std::vector<IdleConnection> idle;
};

} // namespace catkinlock
