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

/// Whether an instance takes part in the fleet.
enum class InstanceState {
    Live,
    Leaving,
    Dead,
};

/// "live", "leaving" or "dead".
const char* instanceStateName(InstanceState);

/// What the fleet knows of one instance.
struct InstanceRecord {
    std::string name;
    /// "ip:port" for peers.
    std::string address;
    std::string dataCentre;
    /// Differs between two starts of an instance; the later start has the higher one.
    std::uint64_t incarnation = 0;
    /// Counts the changes within an incarnation.
    std::uint64_t version = 0;
    InstanceState state = InstanceState::Live;
    /// Slots that the instance holds under a lease, in order.
    std::vector<std::uint32_t> slots;

    auto operator<=>(const InstanceRecord&) const = default;

    /// True if this record replaces `other`.
    bool isNewerThan(const InstanceRecord& other) const
    {
        return std::pair(this->incarnation, this->version) > std::pair(other.incarnation, other.version);
    }
};

/// One instance's picture of the fleet, spread by gossip. Each change is passed on a bounded number of times, which
/// grows with the logarithm of the fleet's size; a digest of the whole finds what was missed.
class Membership {
public:
    Membership() = default;
    explicit Membership(InstanceRecord self);

    const InstanceRecord& self() const { return this->records.at(this->selfName).record; }
    /// Changes this instance's own record; it gets a new version.
    void setSelf(InstanceState, std::vector<std::uint32_t> slots);
    /// Takes in a record from a peer or the platform's list. True if it was news. A record that calls this instance
    /// dead is answered with a newer one.
    bool apply(const InstanceRecord&, TimePoint now);
    /// Notes that a peer answered, or that it did not; after three in a row it counts as dead.
    void noteAnswer(const std::string& name, TimePoint now);
    void noteSilence(const std::string& name, TimePoint now);
    /// Forgets instances that have been dead for `lifetime`.
    void forgetDead(TimePoint now, Duration lifetime);

    /// Records to send with the next message, at most `most`; counts them as sent once.
    std::vector<InstanceRecord> takeUpdates(std::size_t most);
    /// A digest that two instances share if and only if (up to collisions) their pictures are the same.
    std::uint64_t digest() const { return this->digestValue; }

    std::vector<InstanceRecord> all() const;
    /// The others that are not dead, by name.
    std::vector<InstanceRecord> peers() const;
    const InstanceRecord* find(const std::string& name) const;
    /// The live instance that holds `slot`; nothing if none is known to.
    const InstanceRecord* holderOf(std::uint32_t slot) const;
    /// True if more than half of the known instances are not dead.
    bool seesMajority() const;

private:
    struct Known {
        InstanceRecord record;
        unsigned silences = 0;
        std::optional<TimePoint> deadSince;
        unsigned sendsLeft = 0;
    };

    void store(const InstanceRecord&, std::optional<TimePoint> deadSince);
    unsigned sendsPerUpdate() const;

    std::string selfName;
    std::map<std::string, Known> records;
    std::map<std::uint32_t, std::string> slotHolders;
    std::deque<std::string> updates;
    std::uint64_t digestValue = 0;
};

} // namespace catkinlock
