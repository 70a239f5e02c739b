#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinlock {

/// A 64-bit hash that is the same in every process and release.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The `count` slots of 0..slotCount-1 that rendezvous hashing ranks first for `name`, best first. For a smaller
/// `count` the result is a prefix, and every instance gets the same answer.
std::vector<std::uint32_t> rankSlots(std::string_view name, std::uint32_t slotCount, std::uint32_t count);

} // namespace catkinlock
