#include "libsession/system_time.h"

#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

asio::awaitable<void> SystemTime::sleepFor(Milliseconds duration)
{
    asio::steady_timer timer(this->context, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace catkinlock
