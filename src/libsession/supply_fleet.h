#pragma once

#include "libsession/fleet_view.h"
#include "libsession/relay_choice.h"
#include "libsession/supply_instance.h"
#include "libsession/supply_store.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace catkinlock::simulation {

struct SupplyCall;

/// The world around the instances: time, the store, the links between them, and disruptions.
class SupplyFleet {
public:
    explicit SupplyFleet(const SupplyPlan&);
    ~SupplyFleet();

    SupplyRun play();

    const RelayPlan& planOf(int number) const { return this->relayPlans[static_cast<std::size_t>(number)]; }
    /// Carries a call to the store and its answer back, as far as disruptions let it.
    void carry(const std::shared_ptr<SupplyCall>&, const SupplyRequest&);
    /// Delivers a message to the present run of an instance, unless the links lose it.
    void send(int from, const std::string& to, const wire::Envelope&);
    /// Closes the idle connections of an instance to the store.
    void closeIdleConnections(int instance) { this->staleConnections[static_cast<std::size_t>(instance)] = 0; }
    /// Records the outcome of a call if its instance is traced.
    void traceCall(const SupplyCall&, const SupplyRequest&);

    boost::asio::io_context context;
    VirtualTime time;
    SupplyStore store { time };
    const SupplyPlan plan;

private:
    // A disruption of one instance, or of the store if `instance` is negative.
    struct Active {
        SupplyDisruption::Kind kind = SupplyDisruption::Kind::SilentStore;
        int instance = -1;
        int amount = 0;
        Milliseconds until { 0 };
    };

    void registerInstances();
    void scheduleWrites();
    void start(int number);
    void kill(int number, Milliseconds lasts);
    void begin(const SupplyDisruption&);
    void disrupt(const SupplyDisruption&, int instance);
    std::vector<int> disruptedBy(const SupplyDisruption&) const;
    void endCallsOf(int instance, SupplyDisruption::Kind);
    void answer(const std::shared_ptr<SupplyCall>&, const SupplyAnswer&);
    void observe(int number);
    void trace(int number, const std::string& event);
    void log(const std::string& event);

    /// The greatest amount of such a disruption of the instance; std::nullopt if there is none now.
    std::optional<int> amountOf(SupplyDisruption::Kind, int instance) const;
    bool isSilent(int instance) const;
    bool isRefused(int instance) const;
    bool losesMessage(int from, int to);
    Duration delay(Milliseconds least, Milliseconds greatest);
    Duration linkDelay(int from, int to);

    std::mt19937 random;
    FleetView view;
    std::vector<RelayPlan> relayPlans;
    // Numbers of all instances, relays first.
    std::vector<int> ranks;
    std::vector<std::shared_ptr<SupplyInstance>> instances;
    std::vector<std::weak_ptr<SupplyCall>> calls;
    // By instance: idle connections to the store that are silent.
    std::vector<int> staleConnections;
    std::vector<Active> active;
    SupplyRun result;
};

} // namespace catkinlock::simulation
