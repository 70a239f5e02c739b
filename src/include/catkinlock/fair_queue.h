#pragma once

#include "catkinlock/clock.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// Requests that wait for a scarce connection, by workspace. Workspaces are served by deficit round robin, so that each
/// gets its weight's share of what comes free however much another sends; each one's queue is bounded.
class FairQueue {
public:
    /// A waiting request.
    struct Waiter {
        std::uint64_t id = 0;
        TimePoint deadline;
    };

    /// `mostPerWorkspace` bounds each workspace's queue.
    explicit FairQueue(std::size_t mostPerWorkspace);

    /// Adds a request. False if its workspace's queue is full.
    bool push(const std::string& workspace, std::uint32_t weight, Waiter);
    /// Removes and returns the request whose turn it is; passes over what is past its deadline.
    std::optional<Waiter> pop(TimePoint now);
    /// Removes a request that gave up.
    void remove(const std::string& workspace, std::uint64_t id);
    std::size_t size() const { return this->waiting; }

private:
    struct Line {
        std::uint32_t weight = 1;
        std::uint32_t credit = 0;
        std::deque<Waiter> waiters;
    };

    std::size_t mostPerWorkspace;
    std::size_t waiting = 0;
    std::map<std::string, Line> lines;
    // Workspaces with waiters, the next to be served first.
    std::deque<std::string> round;
};

} // namespace catkinlock
