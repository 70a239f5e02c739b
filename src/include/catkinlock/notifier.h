#pragma once

#include "catkinlock/clock.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

namespace catkinlock {

/// Condition variable for coroutines on one executor.
class Notifier {
public:
    explicit Notifier(boost::asio::any_io_executor);

    /// Returns at the next `notifyAll`, or at `deadline`. The return does not tell which happened, so the caller has to
    /// check its condition again.
    boost::asio::awaitable<void> wait(TimePoint deadline);
    void notifyAll();
    bool hasWaiters() const { return !this->waiters.empty(); }

private:
    boost::asio::any_io_executor executor;
    // Timers in the frames of the waiting coroutines; cancelling one resumes its coroutine.
    std::list<boost::asio::steady_timer*> waiters;
};

} // namespace catkinlock
