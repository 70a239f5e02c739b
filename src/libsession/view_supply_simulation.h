#pragma once

#include "catkinlock/clock.h"
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock::simulation {

/// Versions of the configuration that an operator writes, one after another.
struct WriteBurst {
    Milliseconds from { 0 };
    int count = 1;
    Milliseconds interval { 50 };
};

/// A disruption of some instances or of the store.
struct SupplyDisruption {
    enum class Kind {
        /// Calls to the store get no answer.
        SilentStore,
        /// The store refuses calls at once, and resets those that wait.
        RefusingStore,
        /// The connections to the store that exist at the start stay silent; new ones work. `amount`: idle ones.
        StaleConnections,
        /// The answers of the store take `amount` ms more.
        SlowStore,
        /// `amount` percent of the messages to other instances are lost.
        LosesSent,
        /// `amount` percent of the messages from other instances are lost.
        LosesReceived,
        /// Both.
        LosesBoth,
        /// Messages to and from other instances take `amount` ms more.
        LatePeers,
        /// The process stands still; its timers and messages wait.
        Suspend,
        /// Killed; the instance starts again when the disruption ends.
        Kill,
        /// Of the store only: the history before the present revision is discarded.
        Compaction,
        /// Of the store only: it is restored from a copy that is `amount` ms old.
        Restore,
    };
    /// Which instances are disrupted. `Store` stands for all of them, because the store itself is at fault.
    enum class Scope { OneInstance, AllRelays, AllButOneFollower, Store };

    Kind kind = Kind::SilentStore;
    Scope scope = Scope::OneInstance;
    /// Of `OneInstance`: number in the list of all instances in which relays come first, modulo its size.
    int rank = 0;
    Milliseconds from { 0 };
    Milliseconds lasts { 0 };
    int amount = 0;
};

struct SupplyPlan {
    int instances = 6;
    int dataCentres = 2;
    /// True if all data centres but the first one have one instance only.
    bool uneven = false;
    /// The bounds from which the instances derive their time limits.
    Milliseconds applyWithin { 3000 };
    Milliseconds revocation { 5000 };
    /// Seed of all delays.
    unsigned seed = 0;
    Milliseconds length { 16'000 };
    std::vector<WriteBurst> writes;
    std::vector<SupplyDisruption> disruptions;
    /// The instance whose calls and messages are recorded in the run's events; none if negative.
    int traced = -1;
};

std::ostream& operator<<(std::ostream&, const WriteBurst&);
std::ostream& operator<<(std::ostream&, const SupplyDisruption&);
std::ostream& operator<<(std::ostream&, const SupplyPlan&);

/// A version of the configuration. Times count from the start of the run.
struct Version {
    /// Sequence number of its revision in the store; greater than those of all earlier versions.
    std::int64_t revision = 0;
    Milliseconds writtenAt { 0 };
    Milliseconds acknowledgedAt { 0 };
    /// When a restore of the store took it away.
    std::optional<Milliseconds> lostAt;
};

/// The state of an instance's copy from a time on.
struct CopyState {
    Milliseconds from { 0 };
    /// Revision of the configuration in the copy; 0 without a copy.
    std::int64_t version = 0;
    /// The time as of which the copy was confirmed last; the start of the run if it never was.
    Milliseconds confirmedAt { 0 };
};

/// A span in which an instance, or the store if `instance` is negative, was disrupted.
struct SupplyDisruptedSpan {
    int instance = -1;
    SupplyDisruption::Kind kind = SupplyDisruption::Kind::SilentStore;
    Milliseconds from { 0 };
    Milliseconds to { 0 };
};

/// The longest time for which an acknowledged version was missing from a copy.
struct SupplyDelay {
    Milliseconds length { 0 };
    /// When the version was still missing.
    Milliseconds at { 0 };
    int instance = -1;
    std::int64_t version = 0;
};

std::ostream& operator<<(std::ostream&, const SupplyDelay&);

/// A play of a plan.
struct SupplyRun {
    Milliseconds length { 0 };
    std::vector<std::string> names;
    /// By instance: true if it is a relay.
    std::vector<bool> relays;
    std::vector<Version> versions;
    /// By instance, in the order of time.
    std::vector<std::vector<CopyState>> copies;
    std::vector<SupplyDisruptedSpan> disrupted;
    /// By instance: when it called the store.
    std::vector<std::vector<Milliseconds>> calls;
    /// What must never be seen: a copy that goes back, or one that counts as fresher than it is. One a line.
    std::string faults;
    /// The run's events, one a line, to read a counterexample by.
    std::string events;

    /// The longest delay of a version while its instance was in touch: neither it nor the store was disrupted in the
    /// `contactTime` before.
    SupplyDelay longestDelay(Milliseconds contactTime) const;
    /// The longest delay at one instance between two times, whatever is disrupted.
    SupplyDelay longestDelayOf(int instance, Milliseconds from, Milliseconds to) const;
    /// The greatest age of an instance's copy between two times.
    Milliseconds greatestAgeOf(int instance, Milliseconds from, Milliseconds to) const;
    /// The greatest number of calls of all instances within any 1,000 ms.
    std::size_t mostCallsInASecond() const;
    /// The same of one instance, from a time on.
    std::size_t mostCallsInASecond(int instance, Milliseconds from) const;
};

/// Plays a plan in virtual time: each instance has a `StoreMirror` and a `ViewRelay`, which follow `planRelays`. The
/// same plan gives the same run.
SupplyRun simulateSupply(const SupplyPlan&);

} // namespace catkinlock::simulation
