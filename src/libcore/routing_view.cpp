#include "catkinlock/routing_view.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>

namespace catkinlock {

std::vector<std::uint32_t> gatewaySlots(const std::string& database, std::uint32_t slotCount)
{
    return rankSlots(database, slotCount, gatewaysPerDatabase);
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
        bool known = std::any_of(candidates.begin(), candidates.end(),
            [&holder](const Candidate& other) { return other.choice.instance == holder.name; });
        if (holder.name.empty() || known)
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
