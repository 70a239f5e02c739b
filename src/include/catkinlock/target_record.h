#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace catkinlock {

/// What a member says of itself in the target directory.
struct TargetRecord {
    /// Names one start of one member; never used by another.
    std::string id;
    std::string service;
    /// "ip:port".
    std::string address;
    std::string dataCentre;
    /// Statements that it runs at once, from 1.
    std::uint32_t slots = 1;
    /// True once it is to leave; it gets no new work.
    bool draining = false;
    /// True if it takes itself for the primary.
    bool primary = false;
    /// How long it stays slow after its start, in milliseconds.
    std::uint32_t coldMs = 0;

    auto operator<=>(const TargetRecord&) const = default;
};

/// Members by id.
using TargetDirectory = std::map<std::string, TargetRecord>;

} // namespace catkinlock
