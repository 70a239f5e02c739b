#pragma once

#include "libsession/time_source.h"
#include <boost/asio/io_context.hpp>

namespace catkinlock {

/// The process's clock, and timers that run on the given context.
class SystemTime : public TimeSource {
public:
    explicit SystemTime(boost::asio::io_context& context)
        : context(context)
    {
    }

    TimePoint now() const override { return Clock::now(); }
    boost::asio::awaitable<void> sleepFor(Milliseconds) override;

private:
    boost::asio::io_context& context;
};

} // namespace catkinlock
