#pragma once

#include "libsession/leader_fleet_simulation.h"
#include "libsession/leader_lease.h"
#include "libsession/simulated_process.h"
#include <boost/asio/awaitable.hpp>
#include <memory>

namespace catkinlock::simulation {

class SimulatedFleet;

/// One run of an instance. Does what `Promoter` does, in virtual time.
class SimulatedInstance : public SimulatedProcess {
public:
    SimulatedInstance(SimulatedFleet&, int number, int run);

    void start();
    /// Starts no more replacements, and exits when the running ones have ended, after 6 s at the latest.
    void leave();

private:
    std::shared_ptr<SimulatedInstance> shared();
    struct Decision {
        int group = 0;
        bool planned = false;
        bool lostWrites = false;
        // True if another instance has left the replacement to this one.
        bool requested = false;
        GroupRecord record;
        std::int64_t fencingToken = 0;
    };
    struct GroupWatch {
        TimePoint primaryObservedAt;
        // Since when the record has named a member that is not the primary.
        TimePoint wrongPrimarySince;
        TimePoint nextAttemptAt;
        TimePoint peersQueriedAt;
        bool replacementRunning = false;
    };
    // The instance's copy of the store.
    TimePoint copyTime();
    GroupRecord copiedRecord(int group);
    std::optional<StoredLeader> storedLeader();

    void check();
    void checkGroup(int group);
    void queryHolder(int group, const std::string& primary, bool requestReplacement);
    void receiveQuery(int sender, std::int64_t leaseId);
    void replaceOnRequest(std::int64_t leaseId, int group, const std::string& primary);
    void receiveReply(std::int64_t leaseId, bool holds);
    HolderContact contactWith(const std::optional<StoredLeader>&) const;
    Decision makeDecision(int group);
    void startReplacement(Decision);
    int rankFor(int group) const;
    bool leads() const { return this->lease->tenure().held().has_value(); }
    bool isLeader() const;

    // As in Promoter.
    boost::asio::awaitable<void> replace(Decision);
    boost::asio::awaitable<bool> isStillNeeded(Decision);
    boost::asio::awaitable<Milliseconds> replaceOrDefer(Decision);
    boost::asio::awaitable<std::optional<StoredLeader>> readLeader();
    boost::asio::awaitable<bool> executeReplacement(Decision);
    boost::asio::awaitable<std::optional<std::string>> selectNewPrimary(Decision);
    boost::asio::awaitable<bool> promote(Decision, std::string member);
    boost::asio::awaitable<std::uint64_t> awaitLeadership(int group, std::uint64_t oldTerm);
    boost::asio::awaitable<void> awaitViews(std::int64_t revision);
    boost::asio::awaitable<std::int64_t> writeRecord(int group, std::int64_t expected, GroupRecord);
    bool mayAct(const Decision&) const;

    boost::asio::awaitable<void> exitWhenDone();

    std::shared_ptr<LeaderLease> lease;
    TimePoint copiedUntil;
    Duration copyDelay;
    bool leaving = false;
    std::vector<GroupWatch> watches;
    std::int64_t contactedLease = 0;
    HolderContact contact;
};

} // namespace catkinlock::simulation
