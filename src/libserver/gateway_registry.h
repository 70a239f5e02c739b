#pragma once

#include "catkinlock/group_gateway.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/tables.h"
#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace catkinlock {

/// The gateways of the databases for which this instance holds a slot. Changed on the control thread, read from any.
class GatewayRegistry {
public:
    using Gateways = std::map<std::string, std::shared_ptr<GroupGateway>>;

    GatewayRegistry(boost::asio::any_io_executor requests, GatewayOptions);

    /// Brings the gateways in line with the pools and with the slots that this instance holds.
    void update(const Tables&, const std::set<std::uint32_t>& slots, std::uint32_t slotCount);
    /// The gateway of "POOL/DATABASE", or nothing.
    std::shared_ptr<GroupGateway> find(const std::string& database) const;
    std::shared_ptr<const Gateways> all() const { return this->gateways.read(); }
    void stopAll();

private:
    boost::asio::any_io_executor requests;
    GatewayOptions options;
    RcuSnapshot<Gateways> gateways;
};

} // namespace catkinlock
