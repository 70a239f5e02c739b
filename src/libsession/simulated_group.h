#pragma once

#include "libsession/membership_change.h"
#include "libsession/promotion_choice.h"
#include <map>
#include <string>
#include <vector>

namespace catkinlock {

/// A simulated group of members with replicated logs, whose primary is replaced and whose membership is kept by the
/// product's decisions alone. A commit is acknowledged once `syncReplicas` replicas have received it. Members lapse
/// from the store, go dark, start again without their logs, lag, leave and join. For tests; does no I/O, and time
/// passes only when the membership is kept.
class SimulatedGroup {
public:
    /// One action on the member that `choice` selects, where the action has one.
    struct Step {
        unsigned action = 0;
        unsigned choice = 0;
    };
    /// Actions below this number lose no log.
    static constexpr unsigned lossCount = 14;
    /// Number of actions.
    static constexpr unsigned actionCount = 17;

    /// `outOfSight`: the members without an entry when the group is first observed, one bit each. They come back, with
    /// their logs, before they have been out of sight for longer than `absenceLimit`.
    SimulatedGroup(std::size_t memberCount, std::size_t syncReplicas, unsigned outOfSight = 0);

    void run(const Step&);
    /// Ends all trouble: every member that has not ended responds, receives and is listed.
    void recover();
    /// Replaces the primary as one leader does. False if no member could be promoted.
    bool replacePrimary();

    unsigned promotions() const { return this->promotionCount; }
    /// Acknowledged commits that the log of a promoted member lacked.
    unsigned lostCommits() const { return this->lostCount; }

private:
    // A commit: the term in which it was made, and its number in the log.
    using Log = std::vector<Position>;
    struct Node {
        TargetRecord target;
        Log log;
        std::uint64_t term = 1;
        std::uint64_t fencedTerm = 0;
        bool primary = false;
        bool paused = false;
        bool dark = false;
        bool deaf = false;
        bool listed = true;
        bool ended = false;

        Position position() const { return this->log.empty() ? Position { 1, 0 } : this->log.back(); }
        bool responds() const { return !this->dark && !this->ended; }
    };

    void commit(unsigned choice);
    void receive(unsigned choice);
    void restartEmpty(Node&);
    void leave(Node&);
    void restartWithLog(Node&);
    void continueAs(Node&);
    void join();
    void comeBack(Node&);
    void observe();
    bool isUnknown(const Node&) const;
    void addRuns();
    void removeRuns();
    void keepMembership();
    void fence(Node&, std::uint64_t fenceTerm);
    void promote(const std::string& id);
    Node* findNode(const std::string& id);
    std::vector<TargetRecord> listedMembers() const;
    TargetDirectory directory() const;
    std::map<std::string, MemberReport> reports() const;
    static MemberReport reportOf(const Node&);

    std::size_t syncReplicas;
    std::vector<Node> nodes;
    GroupMembership membership;
    GroupObservation observation;
    // Number of observations since the first in which a member was listed.
    unsigned observations = 0;
    // Time since the group was set up.
    Milliseconds passed { 0 };
    GroupRecord record { GroupRecord::State::Serving, "m0", 1 };
    std::vector<Position> acknowledged;
    std::int64_t starts = 0;
    // Selects what happens between the commands of a fence.
    unsigned interleaving = 0;
    unsigned promotionCount = 0;
    unsigned lostCount = 0;
};

} // namespace catkinlock
