#include "catkinlock/routing_view.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <unordered_map>

namespace catkinlock {

namespace {

    // Databases whose ranked slots each thread caches; the cache is cleared when it holds more.
    constexpr std::size_t maxCachedDatabases = 8192;

} // namespace

std::vector<std::uint32_t> gatewaySlots(const std::string& database, std::uint32_t slotCount)
{
    // Ranking computes a hash for every slot and the request path repeats it for the same databases, so the result is
    // cached per thread.
    static thread_local std::unordered_map<std::string, std::vector<std::uint32_t>> cache;
    static thread_local std::uint32_t cachedSlotCount = 0;
    if (cachedSlotCount != slotCount || cache.size() > maxCachedDatabases) {
        cache.clear();
        cachedSlotCount = slotCount;
    }
    auto [entry, isNew] = cache.try_emplace(database);
    if (isNew)
        entry->second = rankSlots(database, slotCount, gatewaysPerDatabase);
    return entry->second;
}

std::vector<GatewayChoice> RoutingView::gatewaysFor(const std::string& database) const
{
    struct Candidate {
        GatewayChoice choice;
        int distance;
    };
    std::vector<Candidate> candidates;
    for (std::uint32_t slot : gatewaySlots(database, this->slotCount)) {
        const InstanceRecord& holder = this->holders[slot];
        bool alreadyListed = std::any_of(candidates.begin(), candidates.end(),
            [&holder](const Candidate& other) { return other.choice.instance == holder.name; });
        if (holder.name.empty() || alreadyListed)
            continue;
        bool isSelf = holder.name == this->self.name;
        int distance = isSelf ? 0 : holder.dataCentre == this->self.dataCentre ? 1 : 2;
        if (holder.state == InstanceState::Leaving)
            distance += 3;
        candidates.push_back({ { holder.name, holder.address, isSelf }, distance });
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.distance < right.distance; });
    std::vector<GatewayChoice> choices;
    choices.reserve(candidates.size());
    for (Candidate& candidate : candidates)
        choices.push_back(std::move(candidate.choice));
    return choices;
}

} // namespace catkinlock
