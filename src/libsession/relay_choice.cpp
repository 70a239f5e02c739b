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

    // Sorts names by a key, which is computed once for each.
    template <typename KeyOf> void sortByKey(std::vector<std::string>& names, KeyOf keyOf)
    {
        std::vector<std::pair<decltype(keyOf(std::string())), std::string>> keyed;
        keyed.reserve(names.size());
        for (std::string& name : names) {
            auto key = keyOf(name);
            keyed.emplace_back(std::move(key), std::move(name));
        }
        std::sort(keyed.begin(), keyed.end());
        for (std::size_t i = 0; i < names.size(); ++i)
            names[i] = std::move(keyed[i].second);
    }

} // namespace

RelayPlan planRelays(const FleetView& view, const std::string& self)
{
    std::map<std::string, std::vector<std::string>> byDataCentre;
    for (const auto& [name, instance] : view.instances)
        byDataCentre[instance.dataCentre].push_back(name);
    auto own = view.instances.find(self);
    std::string home = own == view.instances.end() ? "" : own->second.dataCentre;
    std::uint64_t ownHash = stableHash(self);
    // Relays of the same data centre come first. Within a data centre the order depends on the hash of relay and
    // follower, which distributes the followers over the relays.
    auto preference = [&](const std::string& name) {
        bool otherDataCentre = view.instances.at(name).dataCentre != home;
        return std::pair(otherDataCentre, stableHash(name, ownHash));
    };
    RelayPlan plan;
    for (auto& [dataCentre, names] : byDataCentre) {
        auto count = static_cast<std::ptrdiff_t>((names.size() + instancesPerRelay - 1) / instancesPerRelay);
        sortByKey(names, [](const std::string& name) { return stableHash(name, relaySeed); });
        plan.relays.insert(plan.relays.end(), names.begin(), names.begin() + count);
        plan.others.insert(plan.others.end(), names.begin() + count, names.end());
    }
    plan.pollsStore = std::erase(plan.relays, self) != 0;
    std::erase(plan.others, self);
    sortByKey(plan.relays, preference);
    sortByKey(plan.others, preference);
    return plan;
}

} // namespace catkinlock
