#pragma once

#include "catkinlock/group_record.h"
#include "libsession/leader_tenure.h"
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace catkinlock::simulation {

/// Runs events in the order of their times, in virtual time. Events of the same time run in the order in which they
/// were added.
class VirtualTime {
public:
    TimePoint now() const { return this->current; }
    /// Time since the start of the run.
    Milliseconds elapsed() const;
    void at(TimePoint, std::function<void()>);
    /// Runs the next event. Returns false if there is none up to `end`.
    bool runNext(TimePoint end);
    void clear() { this->events = {}; }

    static constexpr TimePoint start { std::chrono::hours(1) };

private:
    struct Event {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event& other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };
    TimePoint current = start;
    std::uint64_t added = 0;
    std::priority_queue<Event> events;
};

/// One change of a key.
struct KeyChange {
    TimePoint at;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
    bool deleted = false;
    std::string value;
    /// The decoded value of the leader key or of a group's key.
    StoredLeader leader;
    GroupRecord group;
};

/// The metadata store: keys with revisions, compare-and-swap, and leases that expire together with their keys.
class SimulatedStore {
public:
    explicit SimulatedStore(VirtualTime& time)
        : time(time)
    {
    }

    /// The key's value at a time; nullptr if it did not exist.
    const KeyChange* read(const std::string& key, TimePoint at) const;
    const KeyChange* read(const std::string& key) const { return this->read(key, this->time.now()); }
    /// The store's revision at a time.
    std::int64_t revisionAt(TimePoint) const;
    /// Returns the key's new revision, or 0 if it did not have the revision `expected` or if there is no such lease.
    std::int64_t swap(const std::string& key, std::int64_t expected, std::string value, std::int64_t lease);
    std::int64_t grant();
    bool keepAlive(std::int64_t lease);
    void revoke(std::int64_t lease);

private:
    void append(const std::string& key, KeyChange);

    VirtualTime& time;
    std::int64_t revision = 100;
    std::int64_t lastLease = 7000;
    // When each lease expires.
    std::map<std::int64_t, TimePoint> leases;
    std::map<std::string, std::vector<KeyChange>> keys;
    // Times of all changes; the change at index i has the revision `firstRevision + i`.
    std::vector<TimePoint> changeTimes;
    static constexpr std::int64_t firstRevision = 101;
};

} // namespace catkinlock::simulation
