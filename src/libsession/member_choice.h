#pragma once

#include "catkinlock/clock.h"
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// What is known of one member when a statement needs one.
struct MemberLoad {
    std::string id;
    std::size_t inFlight = 0;
    std::size_t slots = 1;
    /// Smoothed time of a statement there.
    Milliseconds typicalTime { 20 };
    bool isPrimary = false;
    bool sameDataCentre = false;
    /// A connection for the workspace is open and free.
    bool hasConnection = false;
    /// All connections that this instance may open are in use.
    bool isFull = false;
    /// It failed lately.
    bool isSuspect = false;
    /// Its last known position is behind what the read needs.
    bool seemsBehind = false;
    bool wasTried = false;
};

/// Expected time until the member has answered, for comparison only.
Milliseconds expectedTime(const MemberLoad&);

/// Picks the member with the least expected time; nothing if every one was tried.
std::optional<std::size_t> chooseMember(const std::vector<MemberLoad>&);

} // namespace catkinlock
