#pragma once

#include <compare>
#include <string>

namespace catkinlock {

/// A change of the evacuation of a data centre, or a request for one that has no effect.
struct EvacuationEvent {
    enum class Kind { Begun, Ended, Rejected };

    Kind kind = Kind::Begun;
    std::string dataCentre;
    /// Why the request has no effect; empty for the other kinds.
    std::string reason;

    auto operator<=>(const EvacuationEvent&) const = default;
};

/// Writes a log line for the event.
void logEvacuation(const EvacuationEvent&);

} // namespace catkinlock
