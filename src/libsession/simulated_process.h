#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/leader_fleet_simulation.h"
#include "libsession/simulated_store.h"
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace catkinlock::simulation {

class SimulatedFleet;

/// What the store returns: the revision of a write (0: not written), the id of a lease, whether it was renewed, or the
/// value of a key.
struct StoreReply {
    std::int64_t number = 0;
    std::optional<KeyChange> value;
};

/// One run of an instance's process: its time, which stands still while it is suspended, and its calls to the store.
class SimulatedProcess : public std::enable_shared_from_this<SimulatedProcess> {
public:
    /// Which answer is lost, and whether the write takes effect at once.
    enum class Loss { None, Answer, DelayedEffect };

    SimulatedProcess(SimulatedFleet&, int number, int run);
    virtual ~SimulatedProcess() = default;

    /// Ends the run at once.
    void kill() { this->ended = true; }
    void suspendUntil(TimePoint time) { this->suspended = std::max(this->suspended, time); }
    /// Lets the answer to the next call get lost.
    void loseNextAnswer(Loss loss) { this->answerLoss = loss; }
    /// Runs `event` at a time, or when the suspension ends; not at all if the run has ended by then.
    void at(TimePoint, std::function<void()> event);

    boost::asio::awaitable<void> sleepFor(Duration);
    /// Begins a step, in which the plan may disrupt the process.
    boost::asio::awaitable<void> enter(Step);
    /// Calls the store as the platform's client does.
    boost::asio::awaitable<PlatformResult<StoreReply>> call(std::function<StoreReply()>);
    boost::asio::awaitable<PlatformResult<StoreReply>> swap(
        std::string key, std::int64_t expected, std::string value, std::int64_t lease);
    boost::asio::awaitable<PlatformResult<StoreReply>> read(std::string key);

    SimulatedFleet& fleet;
    const int number;
    const int run;
    const std::string name;
    const TimePoint startedAt;

protected:
    Loss answerLoss = Loss::None;

private:
    TimePoint suspended;
    bool ended = false;
};

} // namespace catkinlock::simulation
