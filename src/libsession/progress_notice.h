#pragma once

#include "catkinlock/clock.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace catkinlock {

/// Tells the sender of a request that it is still running, once it takes long. The sender then waits for the reply;
/// without the notice it takes the gateway for lost and has the request run elsewhere, which doubles the load of
/// members that are slow already. Nothing is sent once the object is destroyed.
class ProgressNotice {
public:
    ProgressNotice(const boost::asio::any_io_executor& executor, Duration after, std::function<void()> send)
        : timer(executor, std::chrono::duration_cast<std::chrono::steady_clock::duration>(after))
    {
        this->timer.async_wait([send = std::move(send)](boost::system::error_code error) {
            if (!error)
                send();
        });
    }

private:
    boost::asio::steady_timer timer;
};

} // namespace catkinlock
