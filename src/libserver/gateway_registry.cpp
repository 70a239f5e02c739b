#include "libserver/gateway_registry.h"

#include "catkinlock/log.h"
#include "catkinlock/routing_view.h"
#include <boost/asio/strand.hpp>

namespace catkinlock {

GatewayRegistry::GatewayRegistry(
    boost::asio::any_io_executor requests, GatewayOptions options, QueryOtherGateways queryOtherGateways)
    : requests(std::move(requests))
    , options(options)
    , queryOtherGateways(std::move(queryOtherGateways))
{
}

std::shared_ptr<GroupGateway> GatewayRegistry::makeGateway(const std::string& name, const Database& database) const
{
    auto log = [](const std::string& event, const std::string& detail) {
        writeLog(LogLevel::Warning, event, { { "detail", detail } });
    };
    return std::make_shared<GroupGateway>(boost::asio::make_strand(this->requests), database, this->options, log,
        [query = this->queryOtherGateways, name] { query(name); });
}

void GatewayRegistry::update(const Tables& tables, const std::set<std::uint32_t>& slots, std::uint32_t slotCount)
{
    Gateways before = *this->gateways.read();
    Gateways after;
    for (const auto& [poolName, pool] : tables.pools) {
        for (const Database& database : pool.databases) {
            std::string name = poolName + "/" + database.name;
            auto ranked = gatewaySlots(name, slotCount);
            std::size_t held = 0;
            std::size_t rank = ranked.size();
            for (std::size_t i = 0; i < ranked.size(); ++i) {
                if (!slots.count(ranked[i]))
                    continue;
                ++held;
                rank = std::min(rank, i);
            }
            if (!held)
                continue;
            auto existing = before.find(name);
            bool reuse = existing != before.end() && existing->second->database() == database;
            auto gateway = reuse ? existing->second : this->makeGateway(name, database);
            if (!reuse)
                gateway->start();
            gateway->setShare(database.connections * held / ranked.size(), static_cast<unsigned>(rank));
            after[name] = gateway;
        }
    }
    if (after == before)
        return;
    this->gateways.replace(after);
    for (const auto& [name, gateway] : before) {
        auto kept = after.find(name);
        if (kept == after.end() || kept->second != gateway)
            gateway->stop();
    }
}

std::shared_ptr<GroupGateway> GatewayRegistry::find(const std::string& database) const
{
    auto current = this->gateways.read();
    auto found = current->find(database);
    return found == current->end() ? nullptr : found->second;
}

void GatewayRegistry::stopAll()
{
    auto current = this->gateways.read();
    for (const auto& [name, gateway] : *current)
        gateway->stop();
}

} // namespace catkinlock
