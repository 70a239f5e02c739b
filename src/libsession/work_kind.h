#pragma once

#include "catkinlock/tables.h"
#include <compare>
#include <cstdint>

namespace catkinlock {

/// A kind of work at members: statements of one kind take similar times on equally fast members.
struct WorkKind {
    enum class Access : std::uint8_t { Read, Write, Commit };

    ReadConsistency consistency = ReadConsistency::Primary;
    Access access = Access::Read;
    std::uint32_t priority = 0;
    std::uint32_t latencyObjectiveMs = 0;

    auto operator<=>(const WorkKind&) const = default;
};

/// The kind of a statement of the route. A forwarded route has no name, so that its properties stand for it.
inline WorkKind workKindOf(const Route& route, WorkKind::Access access)
{
    return { route.consistency, access, route.priority, route.latencyObjectiveMs };
}

} // namespace catkinlock
