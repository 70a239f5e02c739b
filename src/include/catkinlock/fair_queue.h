#pragma once

#include "catkinlock/clock.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// Requests that wait for a connection from a limited pool, queued by workspace. Workspaces are served by deficit round
/// robin: each gets a share of the released connections in proportion to its weight, however many requests the others
/// send. The queue of each workspace is bounded. Not thread-safe.
class FairQueue {
public:
    /// A waiting request.
    struct Waiter {
        std::uint64_t id = 0;
        /// From this time on, `pop` discards the request.
        TimePoint deadline;
    };

    /// `maxPerWorkspace`: maximum number of requests in the queue of one workspace.
    explicit FairQueue(std::size_t maxPerWorkspace);

    /// Appends a request to the queue of `workspace`, whose weight becomes `weight` (at least 1). Returns false if the
    /// queue is full.
    bool push(const std::string& workspace, std::uint32_t weight, Waiter);
    /// Removes and returns the next request, discarding requests whose deadline has passed. Returns std::nullopt if
    /// none is left.
    std::optional<Waiter> pop(TimePoint now);
    /// Removes a request that has been cancelled. No effect if it is no longer queued.
    void remove(const std::string& workspace, std::uint64_t id);
    /// Number of queued requests in all workspaces, including those past their deadline.
    std::size_t size() const { return this->waiterCount; }

private:
    struct WorkspaceQueue {
        std::uint32_t weight = 1;
        // Requests that may still be served in the current round.
        std::uint32_t credit = 0;
        std::deque<Waiter> waiters;
    };

    std::size_t maxPerWorkspace;
    std::size_t waiterCount = 0;
    std::map<std::string, WorkspaceQueue> queues;
    // Workspaces with queued requests, in the order in which they are served.
    std::deque<std::string> roundRobin;
};

} // namespace catkinlock
