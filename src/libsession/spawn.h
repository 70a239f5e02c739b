#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>

namespace catkinlock {

/// Starts a detached coroutine. An exception that leaves the coroutine is a broken invariant: it is rethrown
/// from the executor's thread and terminates the process.
template <typename Executor, typename Start> void spawn(Executor&& executor, Start start)
{
    boost::asio::co_spawn(std::forward<Executor>(executor), std::move(start), [](std::exception_ptr failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
}

} // namespace catkinlock
