#pragma once

#include "catkinlock/clock.h"
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// State of an instance as a member of the fleet.
enum class InstanceState {
    Live,
    /// Draining before it stops; tried last as a gateway.
    Leaving,
    /// Unresponsive or stopped; neither a gossip peer nor a holder of slots.
    Dead,
};

/// Name of a state: "live", "leaving" or "dead".
const char* instanceStateName(InstanceState);

/// Record of one instance, which instances exchange by gossip.
struct InstanceRecord {
    std::string name;
    /// "ip:port" at which the instance listens for peers.
    std::string address;
    std::string dataCentre;
    /// Identifies one start of the instance; higher for a later start.
    std::uint64_t incarnation = 0;
    /// Incremented by each change within an incarnation, also when a peer marks the instance dead.
    std::uint64_t version = 0;
    InstanceState state = InstanceState::Live;
    /// Slots that the instance holds under a lease, in ascending order.
    std::vector<std::uint32_t> slots;

    auto operator<=>(const InstanceRecord&) const = default;

    /// True if this record replaces `other`.
    bool isNewerThan(const InstanceRecord& other) const
    {
        return std::pair(this->incarnation, this->version) > std::pair(other.incarnation, other.version);
    }
};

/// The fleet as one instance knows it, kept up to date by gossip. Each instance sends a change a limited number of
/// times, proportional to the logarithm of the fleet size. Instances compare digests of all records that are not dead
/// to detect changes that were missed.
class Membership {
public:
    Membership() = default;
    explicit Membership(InstanceRecord self);

    const InstanceRecord& self() const { return this->records.at(this->selfName).record; }
    /// Changes the record of this instance and increments its version; does nothing if state and slots are the same.
    void setSelf(InstanceState, std::vector<std::uint32_t> slots);
    /// Applies a record received from a peer or from the platform's list. Returns true if it changed anything. If a
    /// record of this instance itself arrives with the same incarnation and a higher version, for example one that
    /// marks it dead, its own record is published again with a still higher version; one with a higher incarnation is
    /// ignored. A dead record of an instance that is not on record is ignored, too.
    bool apply(const InstanceRecord&, TimePoint now);
    /// Records that a peer responded, which resets its count of missed responses. The time is not used.
    void recordResponse(const std::string& name, TimePoint now);
    /// Records that a peer did not respond in time. Three missed responses in a row mark it dead.
    void recordTimeout(const std::string& name, TimePoint now);
    /// Removes the records of instances that have been dead for `retention`.
    void removeDead(TimePoint now, Duration retention);

    /// Returns up to `maxCount` changed records to send with the next message, and reduces the remaining sends of each
    /// by one.
    std::vector<InstanceRecord> takeUpdates(std::size_t maxCount);
    /// A digest that is equal on two instances if and, up to hash collisions, only if their records of instances that
    /// are not dead agree in name, incarnation, version and state.
    std::uint64_t digest() const { return this->digestValue; }

    std::vector<InstanceRecord> all() const;
    /// The other instances that are not dead, sorted by name.
    std::vector<InstanceRecord> peers() const;
    const InstanceRecord* find(const std::string& name) const;
    /// The instance that holds `slot` and is not dead; null if none is known.
    const InstanceRecord* holderOf(std::uint32_t slot) const;
    /// True if more than half of the instances on record, including this one, are not dead.
    bool hasLiveMajority() const;

private:
    struct Entry {
        InstanceRecord record;
        // Consecutive missed responses; reset by a response or by a newer record.
        unsigned missedResponses = 0;
        std::optional<TimePoint> deadSince;
        // How many more times the record is sent to peers.
        unsigned sendsLeft = 0;
    };

    void store(const InstanceRecord&, std::optional<TimePoint> deadSince);
    unsigned sendsPerUpdate() const;

    std::string selfName;
    std::map<std::string, Entry> records;
    std::map<std::uint32_t, std::string> slotHolders;
    // Names of the records that are still to be sent; the next one is at the front.
    std::deque<std::string> updates;
    // XOR of the hashes of all records that are not dead, so that one record can be replaced without hashing the
    // others.
    std::uint64_t digestValue = 0;
};

} // namespace catkinlock
