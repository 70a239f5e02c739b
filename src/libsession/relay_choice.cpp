#include "libsession/relay_choice.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <map>

namespace catkinlock {

namespace {

    // One relay is chosen for this many instances of a data centre.
    constexpr std::size_t instancesPerRelay = 20;
    // Seed of the hash by which relays are chosen; it makes the choice independent of other hashes of instance names.
    constexpr std::uint64_t relaySeed = 0x72656c6179;

} // namespace

RelayPlan planRelays(const FleetView& view, const std::string& self)
{
    std::map<std::string, std::vector<std::string>> byDataCentre;
    for (const auto& [name, instance] : view.instances)
        byDataCentre[instance.dataCentre].push_back(name);
    auto own = view.instances.find(self);
    std::string home = own == view.instances.end() ? "" : own->second.dataCentre;
    // Relays of the same data centre come first. Within a data centre the order depends on the hash of relay and
    // follower, which distributes the followers over the relays.
    auto preference = [&](const std::string& name) {
        bool otherDataCentre = view.instances.at(name).dataCentre != home;
        return std::pair(otherDataCentre, stableHash(name, stableHash(self)));
    };
    RelayPlan plan;
    for (auto& [dataCentre, names] : byDataCentre) {
        auto count = static_cast<std::ptrdiff_t>((names.size() + instancesPerRelay - 1) / instancesPerRelay);
        std::sort(names.begin(), names.end(), [](const std::string& left, const std::string& right) {
            return std::pair(stableHash(left, relaySeed), left) < std::pair(stableHash(right, relaySeed), right);
        });
        plan.relays.insert(plan.relays.end(), names.begin(), names.begin() + count);
        plan.others.insert(plan.others.end(), names.begin() + count, names.end());
    }
    plan.pollsStore = std::erase(plan.relays, self) != 0;
    std::erase(plan.others, self);
    auto preferred
        = [&](const std::string& left, const std::string& right) { return preference(left) < preference(right); };
    std::sort(plan.relays.begin(), plan.relays.end(), preferred);
    std::sort(plan.others.begin(), plan.others.end(), preferred);
    return plan;
}

} // namespace catkinlock
