#pragma once

#include "libsession/store_mirror.h"
#include "libsession/supply_process.h"
#include "libsession/view_relay.h"
#include "libsession/view_supply_simulation.h"
#include <memory>
#include <string>

namespace catkinlock::wire {
class Envelope;
}

namespace catkinlock::simulation {

class SupplyFleet;

/// One run of an instance: its copy of the store and its relay.
class SupplyInstance {
public:
    SupplyInstance(SupplyFleet&, int number, std::shared_ptr<SupplyProcess>);

    void start() { this->mirror->start(); }
    void receive(const wire::Envelope&);
    SupplyProcess& process() const { return *this->ownProcess; }
    /// The present state of the copy.
    CopyState state() const;
    /// What is wrong with the copy, compared with the last time and with the store; empty if nothing is.
    std::string check();

private:
    /// Makes the parts under test.
    void build();
    void publish();
    std::string checkOrder() const;
    std::string checkAgainstStore() const;

    SupplyFleet& fleet;
    int number;
    std::shared_ptr<SupplyProcess> ownProcess;
    std::shared_ptr<ViewFreshness> freshness;
    std::shared_ptr<ViewRelay> relay;
    std::shared_ptr<StoreMirror> mirror;
    // The version in the view in use; 0 before the first one.
    std::int64_t publishedVersion = 0;
    std::string publishFault;
    // As of the last check.
    std::int64_t lastRevision = 0;
    std::int64_t lastVersion = 0;
};

} // namespace catkinlock::simulation
