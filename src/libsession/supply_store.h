#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/simulated_store.h"
#include "libsession/view_supply_simulation.h"
#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace catkinlock::simulation {

/// What the store answers: to a poll the changes, to a read all keys.
struct SupplyAnswer {
    KeyRange range;
    KeyChanges changes;
};

/// A poll of changes after a revision, or a read of all keys without one.
struct SupplyRequest {
    std::optional<std::int64_t> after;
    Milliseconds wait { 0 };
};

/// The metadata store: the versions of one key, polls that are held, loss of its history, and restores.
class SupplyStore {
public:
    using Reply = std::function<void(const SupplyAnswer&)>;

    /// The store has the first version from the start.
    explicit SupplyStore(VirtualTime&);

    static constexpr const char* key = "/catkinlock/tables";

    /// Writes the next version, which its writer learns `acknowledgement` later.
    void write(Duration acknowledgement);
    /// Discards the history before the present revision.
    void compact() { this->firstRevision = this->revision; }
    /// Goes back to the state of `age` ago, but not before an earlier restore, in a new era.
    void restore(Milliseconds age);
    /// Replies now, or once there is a change, or when the wait is over.
    void receive(const SupplyRequest&, Reply);

    const std::vector<Version>& versions() const { return this->written; }

private:
    struct Poll {
        std::int64_t after = 0;
        Reply reply;
    };
    void add(std::int64_t nextRevision, Duration acknowledgement);
    bool hasHistoryAfter(std::int64_t after) const;
    KeyChanges changesAfter(std::int64_t after) const;
    void replyToPolls();
    void hold(const SupplyRequest&, Reply);

    VirtualTime& time;
    std::vector<Version> written;
    std::int64_t revision = 0;
    // Changes are known after this revision.
    std::int64_t firstRevision = 0;
    std::list<Poll> polls;
};

} // namespace catkinlock::simulation
