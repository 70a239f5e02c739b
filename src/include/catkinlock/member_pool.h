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

/// The connections of one instance to one member, bounded, and the fair queue in front of them. Used on one executor.
class MemberPool : public std::enable_shared_from_this<MemberPool> {
public:
    /// A connection on loan. Gives it back when it goes out of scope; a connection that is not proved clean is closed.
    class Loan {
    public:
        Loan(std::shared_ptr<MemberPool>, std::shared_ptr<TargetConnection>, std::string workspace, bool needsReset);
        ~Loan();
        Loan(const Loan&) = delete;
        Loan& operator=(const Loan&) = delete;

        const std::shared_ptr<TargetConnection> connection;
        /// True if another workspace used the connection last, so that its session state has to be discarded first.
        const bool needsReset;

    private:
        std::shared_ptr<MemberPool> pool;
        std::string workspace;
    };

    MemberPool(boost::asio::any_io_executor, std::string address, std::size_t answerBytes);

    /// Waits for a connection until `deadline`. An error is always a refusal of work that was not run.
    boost::asio::awaitable<tl::expected<std::shared_ptr<Loan>, Refusal>> acquire(
        std::string workspace, std::uint32_t weight, TimePoint deadline);
    /// Changes the bound; what is over it closes as it comes back.
    void setLimit(std::size_t);
    /// Opens connections ahead of need, up to `count`.
    boost::asio::awaitable<void> warmUp(std::size_t count, TimePoint deadline);
    /// Closes idle connections, as after the member was replaced.
    void closeIdle();

    std::size_t open() const { return this->openCount; }
    std::size_t load() const { return this->busy + this->queue.size(); }

private:
    struct Idle {
        std::shared_ptr<TargetConnection> connection;
        std::string workspace;
    };
    struct Ticket {
        std::shared_ptr<boost::asio::steady_timer> timer;
        bool called = false;
    };

    boost::asio::awaitable<tl::expected<std::shared_ptr<Loan>, Refusal>> lend(
        std::string workspace, TimePoint deadline);
    void giveBack(std::shared_ptr<TargetConnection>, const std::string& workspace);
    void callNext();
    void freeOne();

    boost::asio::any_io_executor executor;
    std::string address;
    std::size_t answerBytes;
    std::size_t limit = 0;
    std::size_t openCount = 0;
    // Connections that are lent, being opened, or promised to a waiter that was called.
    std::size_t busy = 0;
    std::uint64_t nextTicket = 1;
    FairQueue queue;
    std::map<std::uint64_t, std::shared_ptr<Ticket>> tickets;
    std::vector<Idle> idle;
};

} // namespace catkinlock
