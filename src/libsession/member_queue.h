#pragma once

#include "catkinlock/clock.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock {

/// A statement that waits for a place at a member.
struct QueuedStatement {
    std::string workspace;
    /// 0 is the highest.
    std::uint32_t priority = 0;
    TimePoint since;
    /// Among statements of equal priority, the least is served first.
    TimePoint rank;
    /// Expected wait, by the statements before it only.
    Duration expectedWait { 0 };
};

/// Order in which statements get the places at one member: by priority, then by rank. Lower priorities get a minimum
/// share, and a workspace is bounded while others wait. Does no I/O.
///
/// Load: up to a hundred waiting statements of dozens of workspaces, a few places.
class MemberQueue {
public:
    using Item = std::shared_ptr<QueuedStatement>;
    /// Places in use, by workspace.
    using Held = std::map<std::string, std::size_t>;

    void add(Item);
    bool empty() const { return this->items.empty(); }
    std::size_t size() const { return this->items.size(); }
    /// Statements of the workspace.
    std::size_t sizeOf(const std::string& workspace) const;

    /// The first statement, and the first one of a workspace; null if there is none.
    Item front() const { return this->items.empty() ? nullptr : this->items.front(); }
    Item frontOf(const std::string& workspace) const;
    /// The statement that gets the next place, among those that `canServe`; null if there is none. `places`: places at
    /// the member that this instance may use.
    Item next(std::size_t places, const Held&, const std::function<bool(const QueuedStatement&)>& canServe) const;
    /// Removes a statement that gets a place at `now`.
    void take(const Item&, TimePoint now);
    /// Removes a statement whose wait has ended at `now`. Does nothing if it isn't in the queue.
    void expire(const Item&, TimePoint now);

    /// Statements that would be served before one of this priority and rank.
    std::size_t countBefore(std::uint32_t priority, TimePoint rank) const;
    /// Time until a statement with `before` others before it gets a place if all places are in use. `held`: mean time
    /// that a statement holds a place.
    static Duration expectedWait(std::size_t before, std::size_t places, Duration held);
    /// True if a statement that has to wait will probably get a place within `wait`, after what became of the last ones
    /// of its priority.
    bool isServedInTime(const QueuedStatement&, Duration wait, TimePoint now) const;

private:
    // Averages of the waits of the last statements of one priority.
    struct Waits {
        double expectedMs = 0;
        double actualMs = 0;
        TimePoint recordedAt;
    };
    void remove(const Item&);
    void recordWait(const QueuedStatement&, TimePoint now);
    Item oldestOfLowerPriority(const std::function<bool(const Item&)>& accepts) const;

    // In order of service.
    std::vector<Item> items;
    // Places given since a lower priority got one while it waited.
    unsigned givenToHighest = 0;
    std::map<std::uint32_t, Waits> waitsByPriority;
};

} // namespace catkinlock
