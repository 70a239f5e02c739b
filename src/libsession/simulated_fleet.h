#pragma once

#include "libsession/leader_fleet_simulation.h"
#include "libsession/simulated_instance.h"
#include "libsession/simulated_store.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace catkinlock::simulation {

/// The world around the instances: time, the store, the platform that carries out orders, the members, and disruptions.
class SimulatedFleet {
public:
    explicit SimulatedFleet(const FleetPlan&);
    ~SimulatedFleet();

    FleetRun play();

    /// A delay from `least` to `greatest`, mostly near `least`.
    Duration delay(Milliseconds least, Milliseconds greatest);
    /// How long a write whose answer was lost takes to take effect: up to 6 s.
    Duration lateEffectDelay() { return Milliseconds(std::uniform_int_distribution<int>(0, 6000)(this->random)); }
    bool chance(double share) { return std::uniform_real_distribution<double>()(this->random) < share; }
    void log(const std::string& event);

    /// True if such a disruption of the instance, or of the store if `instance` is negative, lasts now.
    bool disrupted(Disruption::Kind, int instance) const;
    /// Delivers a message to the present run of an instance, unless the links lose it.
    void send(int from, int to, std::function<void(SimulatedInstance&)>);
    /// Number of the instance of that name; -1 if there is none.
    int numberOf(const std::string& name) const;
    static std::string nameOf(int number) { return "i" + std::to_string(number); }

    /// When this instance takes a need for certain; std::nullopt if it does not at present. The time may lie ahead.
    std::optional<TimePoint> observedFrom(const Need&, int instance, TimePoint startedAt) const;
    bool isOpen(const Need& need) const { return this->open[static_cast<std::size_t>(&need - plan.needs.data())]; }
    bool primaryAnswers(int group) const;
    std::string memberToPromote(int group) const;

    /// True if the plan's fault holds up the order that is about to be sent. Applies to one order.
    bool isOrderHeldUp();
    /// A request to promote reached the platform.
    void receiveOrder(Order, std::string member);
    const std::string& primaryOf(int group) const { return this->primaries[static_cast<std::size_t>(group)]; }
    std::uint64_t termOf(int group) const { return this->terms[static_cast<std::size_t>(group)]; }

    /// Carries out the plan's fault if it is due at this step of the process.
    void disruptAt(Step, SimulatedProcess&);
    void exited(int instance);

    static std::string groupKey(int group) { return "catkinlock/group/g" + std::to_string(group); }

    const FleetPlan plan;
    boost::asio::io_context context;
    VirtualTime time;
    SimulatedStore store { time };
    std::vector<std::shared_ptr<SimulatedInstance>> instances;
    FleetRun result;

private:
    void begin(const Disruption&);
    void recordServing();
    void startInstance(int number);
    void fireStepFault(int number);

    std::mt19937 random;
    bool holdsUpOrder = false;
    // Greater than the number of any earlier run.
    std::vector<int> runs;
    std::vector<Disruption> active;
    // By need: true while no replacement has ended it.
    std::vector<bool> open;
    std::vector<std::uint64_t> terms;
    std::vector<std::string> primaries;
    // Earliest time at which an instance that has left starts again.
    std::vector<TimePoint> restartAt;
};

} // namespace catkinlock::simulation
