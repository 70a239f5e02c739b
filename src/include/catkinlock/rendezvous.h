#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinlock {

/// A 64-bit hash that is the same in every process and release.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The `count` slots of 0..slotCount-1 that rendezvous hashing ranks first for `name`, best first. The result for a
/// smaller `count` is a prefix of that for a larger one, and it is the same on every instance.
std::vector<std::uint32_t> rankSlots(std::string_view name, std::uint32_t slotCount, std::uint32_t count);

} // namespace catkinlock
