#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace catkinlock::standin {

/// Runs the context until the coroutine returned by `work` has completed. Other coroutines and operations of the
/// context stay pending and continue with the next call.
template <typename Work> void runToEnd(boost::asio::io_context& context, Work work)
{
    boost::asio::co_spawn(
        context,
        [&context, work]() -> boost::asio::awaitable<void> {
            co_await work();
            context.stop();
        },
        boost::asio::detached);
    context.restart();
    context.run();
}

} // namespace catkinlock::standin
