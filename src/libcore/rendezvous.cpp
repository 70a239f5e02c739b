#include "catkinlock/rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace catkinlock {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<std::uint32_t> rankSlots(std::string_view name, std::uint32_t slotCount, std::uint32_t count)
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked;
    ranked.reserve(slotCount);
    for (std::uint32_t slot = 0; slot < slotCount; ++slot)
        ranked.emplace_back(stableHash(name, slot + 1), slot);
    count = std::min(count, slotCount);
    std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(), std::greater<>());
    std::vector<std::uint32_t> slots;
    slots.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i)
        slots.push_back(ranked[i].second);
    return slots;
}

} // namespace catkinlock
