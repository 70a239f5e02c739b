#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

namespace catkinlock {

/// The signals that operators send to an instance, SIGTERM, SIGINT and SIGHUP, as events of a context. They are blocked
/// for the process, so that none of them interrupts a call or ends the process, whatever it does at that moment.
class ProcessSignals {
public:
    /// Blocks the signals on this thread and on those that it starts later. What comes is read later.
    static void block();

    /// Blocks the signals too. Threads that exist already have to have them blocked.
    explicit ProcessSignals(boost::asio::io_context&);

    /// Waits for the next signal and returns its number. Equal signals that come before they are read count as one.
    boost::asio::awaitable<int> next();

private:
    boost::asio::posix::stream_descriptor descriptor;
};

} // namespace catkinlock
