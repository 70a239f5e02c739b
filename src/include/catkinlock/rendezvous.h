#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinlock {

/// A 64-bit hash that is the same in every process and release.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The `count` slots of 0..slotCount-1 that rendezvous hashing ranks first for `name`, best first; all slots if there
/// are fewer than `count`. The ranking is the same on every instance and does not depend on `count`.
std::vector<std::uint32_t> rankSlots(std::string_view name, std::uint32_t slotCount, std::uint32_t count);

} // namespace catkinlock
