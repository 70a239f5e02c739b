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

/// The gateways of the databases for which this instance holds a slot. Changed on the control thread, read on any
/// thread.
class GatewayRegistry {
public:
    using Gateways = std::map<std::string, std::shared_ptr<GroupGateway>>;

    /// Asks the other gateways of "POOL/DATABASE" whether they reach its primary. Called on any thread.
    using QueryOtherGateways = std::function<void(const std::string& database)>;

    GatewayRegistry(boost::asio::any_io_executor requests, GatewayOptions, QueryOtherGateways);

    /// Starts, keeps and stops gateways so that they match the pools in the tables and the slots that this instance
    /// holds, and sets each gateway's share of the connections. A gateway whose database has changed in the tables is
    /// replaced by a new one.
    void update(const Tables&, const std::set<std::uint32_t>& slots, std::uint32_t slotCount);
    /// The gateway of "POOL/DATABASE"; null if this instance has none.
    std::shared_ptr<GroupGateway> find(const std::string& database) const;
    /// All gateways, by "POOL/DATABASE".
    std::shared_ptr<const Gateways> all() const { return this->gateways.read(); }
    /// Stops all gateways. `find` and `all` still return them.
    void stopAll();

private:
    std::shared_ptr<GroupGateway> makeGateway(const std::string& name, const Database&) const;

    boost::asio::any_io_executor requests;
    GatewayOptions options;
    QueryOtherGateways queryOtherGateways;
    RcuSnapshot<Gateways> gateways;
};

} // namespace catkinlock
