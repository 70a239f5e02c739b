#pragma once

#include "catkinlock/clock.h"
#include <boost/asio/awaitable.hpp>

namespace catkinlock {

/// The time that a component reads and waits by. Tests replace it by a virtual one.
class TimeSource {
public:
    virtual ~TimeSource() = default;

    virtual TimePoint now() const = 0;
    virtual boost::asio::awaitable<void> sleepFor(Milliseconds) = 0;
};

} // namespace catkinlock
