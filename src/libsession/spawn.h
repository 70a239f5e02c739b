#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>

namespace catkinlock {

/// Starts a coroutine that nobody waits for. An exception that leaves it is a broken invariant and stops the process.
template <typename Executor, typename Start> void spawn(Executor&& executor, Start start)
{
    boost::asio::co_spawn(std::forward<Executor>(executor), std::move(start), [](std::exception_ptr failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
}

} // namespace catkinlock
