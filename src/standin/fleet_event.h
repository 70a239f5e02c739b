#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

namespace catkinlock::standin {

/// What was done to a fleet during a play.
struct FleetEvent {
    enum class Kind {
        /// SIGTERM to an instance, with the time that it has to end.
        Stop,
        /// SIGHUP to an instance.
        Reload,
        /// Another configuration, a new instance, or a member that is replaced as planned.
        Change,
        /// An instance is killed or suspended.
        Fault,
        /// Something that is not planned happens to a member.
        MemberFault,
    };
    Kind kind = Kind::Change;
    std::size_t instance = 0;
    /// Begin and end, since the start of the play.
    std::chrono::milliseconds from { 0 };
    std::chrono::milliseconds until { 0 };
    std::string text;

    auto operator<=>(const FleetEvent&) const = default;
};

} // namespace catkinlock::standin
