#pragma once

#include "catkinlock/group_gateway.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/tables.h"
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace catkinlock {

/// The gateways of the databases for which this instance holds a slot. Changed on the control thread, read from any.
class GatewayRegistry {
public:
    using Gateways = std::map<std::string, std::shared_ptr<GroupGateway>>;

    /// Asks the other gateways of "POOL/DATABASE" whether they reach its primary. Called on any thread.
    using AskOthers = std::function<void(const std::string& database)>;

    GatewayRegistry(boost::asio::any_io_executor requests, GatewayOptions, AskOthers);

    /// Brings the gateways in line with the pools and with the slots that this instance holds.
    void update(const Tables&, const std::set<std::uint32_t>& slots, std::uint32_t slotCount);
    /// The gateway of "POOL/DATABASE", or nothing.
    std::shared_ptr<GroupGateway> find(const std::string& database) const;
    std::shared_ptr<const Gateways> all() const { return this->gateways.read(); }
    void stopAll();

private:
    std::shared_ptr<GroupGateway> makeGateway(const std::string& name, const Database&) const;

    boost::asio::any_io_executor requests;
    GatewayOptions options;
    AskOthers askOthers;
    RcuSnapshot<Gateways> gateways;
};

} // namespace catkinlock
