#pragma once

#include "libsession/simulated_fleet.h"
#include "libsession/simulated_process.h"
#include "libsession/time_source.h"

namespace catkinlock::simulation {

/// The virtual time of one process, which waits on while the process is suspended.
class SimulatedTime : public TimeSource {
public:
    SimulatedTime(SimulatedFleet& fleet, std::weak_ptr<SimulatedProcess> process)
        : fleet(fleet)
        , process(std::move(process))
    {
    }

    TimePoint now() const override { return this->fleet.time.now(); }
    boost::asio::awaitable<void> sleepFor(Milliseconds duration) override
    {
        if (auto running = this->process.lock())
            co_await running->sleepFor(duration);
    }

private:
    SimulatedFleet& fleet;
    std::weak_ptr<SimulatedProcess> process;
};

} // namespace catkinlock::simulation
