#pragma once

#include "catkinlock/peer_sender.h"
#include "libsession/supply_fleet.h"

namespace catkinlock::simulation {

/// The sending side of an instance's links to the others. An instance's address is its name.
class SupplyPeerLink : public PeerSender {
public:
    SupplyPeerLink(SupplyFleet& fleet, int number)
        : fleet(fleet)
        , number(number)
    {
    }

    bool send(const std::string& address, wire::Envelope& envelope) override
    {
        this->fleet.send(this->number, address, envelope);
        return true;
    }

private:
    SupplyFleet& fleet;
    int number;
};

} // namespace catkinlock::simulation
