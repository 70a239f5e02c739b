#include "libsession/relay_choice.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <map>

namespace catkinlock {

namespace {

    // Instances of a data centre for each one that asks the store.
    constexpr std::size_t instancesPerRelay = 20;
    // Seeds that keep the order of relays and the choice of followers apart from other uses of names.
    constexpr std::uint64_t relaySeed = 0x72656c6179;

} // namespace

RelayPlan planRelays(const FleetView& view, const std::string& self)
{
    std::map<std::string, std::vector<std::string>> byDataCentre;
    for (const auto& [name, instance] : view.instances)
        byDataCentre[instance.dataCentre].push_back(name);
    auto own = view.instances.find(self);
    std::string home = own == view.instances.end() ? "" : own->second.dataCentre;
    // Each follower has an order of its own, so that they spread over the relays.
    auto preference = [&](const std::string& name) {
        bool elsewhere = view.instances.at(name).dataCentre != home;
        return std::pair(elsewhere, stableHash(name, stableHash(self)));
    };
    RelayPlan plan;
    std::vector<std::string>& relays = plan.relays;
    for (auto& [dataCentre, names] : byDataCentre) {
        std::size_t count = (names.size() + instancesPerRelay - 1) / instancesPerRelay;
        std::sort(names.begin(), names.end(), [](const std::string& left, const std::string& right) {
            return std::pair(stableHash(left, relaySeed), left) < std::pair(stableHash(right, relaySeed), right);
        });
        relays.insert(relays.end(), names.begin(), names.begin() + static_cast<std::ptrdiff_t>(count));
    }
    plan.asksStore = std::erase(relays, self) != 0;
    std::sort(relays.begin(), relays.end(),
        [&](const std::string& left, const std::string& right) { return preference(left) < preference(right); });
    return plan;
}

} // namespace catkinlock
