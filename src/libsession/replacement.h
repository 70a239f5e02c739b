#pragma once

#include "catkinlock/metadata_store.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/fleet_view.h"
#include "libsession/promotion_choice.h"
#include "libsession/view_users.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

class LeaderLease;
class MemberCommands;
class PeerLink;
class PromotionService;
class TargetProtocol;
struct ReplacementDecision;

/// Replaces the primary of a group once that has been decided and this instance holds the leader lease: marks the
/// group's record, fences the members, has one of them promoted and writes the new primary to the record. Replacements
/// of several groups may run at once, but only one of each group. Runs on the control thread.
class GroupReplacer : public std::enable_shared_from_this<GroupReplacer> {
public:
    struct Parts {
        std::shared_ptr<MetadataStore> store;
        std::shared_ptr<PromotionService> promotions;
        std::shared_ptr<const TargetProtocol> targets;
        std::shared_ptr<RcuSnapshot<FleetView>> view;
        std::shared_ptr<PeerLink> link;
        std::shared_ptr<LeaderLease> leaderLease;
        /// Time after its last confirmation for which an instance may use its view. Taken to be the same on all
        /// instances.
        Milliseconds maxViewAge;
        /// Time for which the registration of an instance lasts at least.
        Milliseconds registrationTime;
        /// Name of this instance.
        std::string instance;
    };

    GroupReplacer(boost::asio::io_context&, Parts);

    /// Replaces the highest acknowledged position of each service. No member is promoted whose log ends before it.
    void updateAcknowledged(std::map<std::string, Position>);
    /// Records the store revision up to which the view of the instance at the peer address `sender` is complete.
    void recordViewRevision(const std::string& sender, std::int64_t revision);
    /// Records that this instance uses this view from `now` on; its view was confirmed as of `confirmedAt` before.
    void recordView(const FleetView&, TimePoint confirmedAt, TimePoint now);

    /// Tries a primary that failed to reply once more, over a new connection unless one is open here: existing
    /// connections may be broken while the member works. Returns false if the primary need not or can't be replaced. An
    /// instance that leaves a replacement to the leader has done this already.
    boost::asio::awaitable<bool> confirm(ReplacementDecision);
    /// Marks the group as being replaced, fences and promotes, and writes the new primary to the group's record. Call
    /// it under the leader lease of the decision's fencing token. Returns false if a step failed, or if the record is
    /// not that of the decision any more; the next attempt then continues from the record.
    boost::asio::awaitable<bool> replace(ReplacementDecision);
    /// Waits until no command to resume of this instance can arrive at the service's members any more, which takes
    /// three time-outs at most. The command carries no term: it would undo a pause of the next replacement.
    boost::asio::awaitable<void> awaitResumes(std::string service);

    /// Number of primaries that this instance has replaced.
    std::uint64_t promotions() const { return this->promotionCount; }

private:
    // The member that becomes the primary.
    struct NewPrimary {
        TargetRecord target;
        // True if an earlier replacement has promoted it already.
        bool isPromoted = false;
        // Highest term before the promotion.
        std::uint64_t oldTerm = 0;
        // All runs of the group, as they were when the member was selected.
        std::vector<PromotionCandidate> candidates;
    };
    // A member that has become the primary.
    struct Promoted {
        NewPrimary member;
        std::uint64_t term = 0;
        // Revision of the group's record, which says that the primary is being replaced.
        std::int64_t recordRevision = 0;
    };
    // The write of a group's record that says that its primary is being replaced.
    struct Mark {
        std::int64_t revision = 0;
        TimePoint writtenAt;
    };

    bool mayAct(const ReplacementDecision&) const;
    std::function<bool()> guardOf(const ReplacementDecision&);
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> readRecord(std::string service);
    boost::asio::awaitable<std::optional<GroupMembership>> readMembership(std::string service);
    boost::asio::awaitable<std::int64_t> writeRecord(std::string service, std::int64_t expected, GroupRecord);
    boost::asio::awaitable<bool> promote(ReplacementDecision, std::string id);
    boost::asio::awaitable<std::uint64_t> awaitLeadership(TargetRecord, std::uint64_t oldTerm);
    bool haveAllViews(const Mark&) const;
    boost::asio::awaitable<void> queryViews(Mark);
    boost::asio::awaitable<void> awaitViews(ReplacementDecision, Mark);
    boost::asio::awaitable<std::optional<NewPrimary>> selectNewPrimary(
        ReplacementDecision, GroupRecord old, GroupMembership);
    boost::asio::awaitable<std::optional<NewPrimary>> selectFinally(
        ReplacementDecision, GroupRecord old, GroupMembership, Mark);
    std::optional<std::string> choose(const ReplacementDecision&, const GroupRecord& old, GroupMembership,
        const std::vector<TargetRecord>& listed, std::vector<PromotionCandidate>&, bool prefersOthers) const;
    bool otherMemberCanLead(
        const ReplacementDecision&, const std::vector<TargetRecord>& listed, std::vector<PromotionCandidate>) const;
    void logFencing(const std::string& service, const std::vector<PromotionCandidate>&,
        const std::optional<std::string>& chosen) const;
    boost::asio::awaitable<std::uint64_t> makePrimary(ReplacementDecision, NewPrimary);
    boost::asio::awaitable<void> awaitFollower(ReplacementDecision, Promoted leaving);
    boost::asio::awaitable<std::optional<Promoted>> handOver(
        ReplacementDecision, GroupMembership, Mark, Promoted leaving);
    void resumeReplicas(const ReplacementDecision&, const std::string& primary);
    boost::asio::awaitable<void> sleepFor(Milliseconds);

    boost::asio::io_context& context;
    Parts parts;
    std::shared_ptr<MemberCommands> members;
    // Highest acknowledged position, by service.
    std::map<std::string, Position> acknowledged;
    // Rounds of commands to resume that have not ended, by service.
    std::map<std::string, unsigned> resumes;
    ViewUsers viewUsers;
    std::uint64_t promotionCount = 0;
};

} // namespace catkinlock
