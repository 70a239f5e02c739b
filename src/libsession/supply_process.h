#pragma once

#include "libsession/simulated_store.h"
#include "libsession/time_source.h"
#include <functional>
#include <memory>

namespace catkinlock::simulation {

/// One run of a process: its clock, its timers and the events that reach it. They wait while it is suspended, and none
/// comes after its end.
class SupplyProcess : public TimeSource, public std::enable_shared_from_this<SupplyProcess> {
public:
    /// `clockOffset`: difference of the process's clock from virtual time. `touched` is called after each event.
    SupplyProcess(VirtualTime&, Duration clockOffset, std::function<void()> touched);

    TimePoint now() const override { return this->time.now() + this->clockOffset; }
    boost::asio::awaitable<void> sleepFor(Milliseconds) override;

    /// Runs `event` in `delay`, or when the suspension ends; not at all if the run has ended by then.
    void in(Duration delay, std::function<void()> event);
    void suspendFor(Duration);
    void end() { this->ended = true; }
    bool hasEnded() const { return this->ended; }
    /// A time of this process's clock in virtual time.
    TimePoint toVirtual(TimePoint time) const { return time - this->clockOffset; }

private:
    void at(TimePoint, std::function<void()> event);

    VirtualTime& time;
    Duration clockOffset;
    std::function<void()> touched;
    TimePoint suspendedUntil;
    bool ended = false;
};

} // namespace catkinlock::simulation
