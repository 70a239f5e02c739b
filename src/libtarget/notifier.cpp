#include "catkinlock/notifier.h"

#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

Notifier::Notifier(asio::any_io_executor executor)
    : executor(std::move(executor))
{
}

asio::awaitable<void> Notifier::wait(TimePoint deadline)
{
    asio::steady_timer timer(this->executor, deadline - Clock::now());
    auto place = this->waiters.insert(this->waiters.end(), &timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->waiters.erase(place);
}

void Notifier::notifyAll()
{
    for (asio::steady_timer* waiter : this->waiters)
        waiter->cancel();
}

} // namespace catkinlock
