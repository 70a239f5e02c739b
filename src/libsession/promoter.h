#pragma once

#include "catkinlock/metadata_store.h"
#include "catkinlock/promotion_service.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/fleet_view.h"
#include "libsession/leader_tenure.h"
#include "libsession/primary_evidence.h"
#include "libsession/promotion_choice.h"
#include "libsession/role_watch.h"
#include "libsession/target_groups.h"
#include "libsession/view_users.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace catkinlock::wire {
class PrimaryNote;
class ViewNote;
}

namespace catkinlock {

class LeaderLease;
class MemberCommands;
class PeerLink;
class StoreMirror;
class TargetProtocol;

/// Monitors the primaries of all groups and replaces those that have failed or are draining. Any instance may replace a
/// primary; a leader lease in the metadata store ensures that only one does at a time. Runs on the control thread.
class Promoter : public std::enable_shared_from_this<Promoter> {
public:
    struct Parts {
        std::shared_ptr<PolledStore> store;
        std::shared_ptr<PromotionService> promotions;
        std::shared_ptr<const TargetProtocol> targets;
        std::shared_ptr<StoreMirror> mirror;
        std::shared_ptr<RcuSnapshot<FleetView>> view;
        std::shared_ptr<PeerLink> link;
        /// Time after its last confirmation for which an instance may use its view. Taken to be the same on all
        /// instances. A reload of the settings does not change it here.
        Milliseconds maxViewAge;
        /// Time for which the registration of an instance lasts at least.
        Milliseconds registrationTime;
        /// Name of this instance.
        std::string instance;
    };

    Promoter(boost::asio::io_context&, Parts);

    /// Replaces the observations of the members and the highest acknowledged position of each service, which are copied
    /// from the request thread.
    void updateObservations(std::vector<MemberObservation>, std::map<std::string, Position> acknowledged);
    /// Checks every group and starts a replacement where one is needed. Call it every few hundred milliseconds.
    void checkGroups(TimePoint now);
    /// Acquires the leader lease no more. If this instance holds it, it acts as the leader to the end of its tenure,
    /// but starts no replacement after `lastStart`.
    void stop(TimePoint lastStart) { this->lastStart = lastStart; }
    /// True while this instance holds the leader lease, and until the tenure of its last order is over.
    bool isLeader() const;

    /// Records a peer's report about a primary. Replies with this instance's own report if the peer requests it.
    void receivePrimaryNote(const std::string& sender, const wire::PrimaryNote&);
    /// Records the store revision up to which a peer's view is complete.
    void receiveViewNote(const std::string& sender, const wire::ViewNote&);
    /// Records that this instance uses this view from `now` on; its view was confirmed as of `confirmedAt` before.
    void recordView(const FleetView&, TimePoint confirmedAt, TimePoint now);

    /// Number of primaries that this instance has replaced.
    std::uint64_t promotions() const { return this->promotionCount; }

private:
    struct GroupWatch {
        // Latest report of each peer, by its address.
        std::map<std::string, PeerReport> peerReports;
        // The group's last known primary.
        PrimaryTerm primary;
        // When the group last had a known primary.
        TimePoint primaryObservedAt;
        RoleWatch role;
        // When peers were last queried about the primary.
        TimePoint peersQueriedAt;
        // No check before this time.
        TimePoint nextAttemptAt;
        bool replacementRunning = false;
        // Rounds of commands to resume that have not ended.
        unsigned resumes = 0;
    };

    void checkGroup(const std::string& service, const FleetView&, TimePoint now);
    PrimaryEvidence evidenceOn(const std::string& service, const FleetView&, GroupWatch&, TimePoint now);
    const MemberObservation* observationOf(const std::string& member) const;
    static void logReplacement(const std::string& service, const GroupWatch&, const PrimaryEvidence&,
        std::int64_t viewRevision, TimePoint now);
    void queryPeers(const std::string& service, const PrimaryTerm& primary, bool requestReply);
    void replyToPrimaryNote(const std::string& sender, const wire::PrimaryNote& query);
    void recordHolderReply(const wire::PrimaryNote&);
    void replaceOnRequest(const wire::PrimaryNote&);
    HolderContact contactWith(const std::optional<StoredLeader>&) const;

    /// A decision to replace a primary, with the state that it was based on.
    struct Decision {
        std::string service;
        /// True if the primary is draining and hands over, false if it has failed or is unknown.
        bool planned = false;
        /// The group's record at the time of the decision; std::nullopt if there was none.
        std::optional<GroupRecord> record;
        /// Id of the primary to replace; empty if none was known.
        std::string primary;
        /// True if writes to the primary got no reply: a reply to a status request proves nothing, and promoting it
        /// again would not help.
        bool lostWrites = false;
        /// True if another instance has left the replacement to this one, the leader.
        bool requested = false;
        /// Fencing token of the leader lease under which the primary is replaced; 0 before it is obtained.
        std::int64_t fencingToken = 0;
    };
    void queryHolder(const Decision&, const std::optional<StoredLeader>&, bool requestReplacement);
    Decision makeDecision(const std::string& service, const FleetView&) const;
    void startReplacement(Decision);
    std::size_t rankFor(const std::string& service) const;
    std::optional<GroupRecord> recordOf(const std::string& service) const;
    bool leads() const;
    bool mayAct(const Decision&) const;
    boost::asio::awaitable<void> replace(Decision);
    boost::asio::awaitable<bool> confirm(Decision);
    boost::asio::awaitable<Milliseconds> replaceOrDefer(Decision);
    std::optional<StoredLeader> storedLeader() const;
    boost::asio::awaitable<std::optional<StoredLeader>> readLeader();
    boost::asio::awaitable<bool> executeReplacement(Decision);
    /// The member that becomes the primary.
    struct NewPrimary {
        TargetRecord target;
        /// True if an earlier replacement has promoted it already.
        bool isPromoted = false;
        /// Highest term before the promotion.
        std::uint64_t oldTerm = 0;
        /// All runs of the group, as they were when the member was selected.
        std::vector<PromotionCandidate> candidates;
    };
    /// The write of a group's record that says that its primary is being replaced.
    struct Mark {
        std::int64_t revision = 0;
        TimePoint writtenAt;
    };
    boost::asio::awaitable<std::optional<NewPrimary>> selectNewPrimary(Decision, GroupRecord old, GroupMembership);
    boost::asio::awaitable<std::optional<NewPrimary>> selectFinally(Decision, GroupRecord old, GroupMembership, Mark);
    boost::asio::awaitable<bool> areLogsUnchanged(std::string service, std::vector<PromotionCandidate>);
    boost::asio::awaitable<std::uint64_t> makePrimary(Decision, NewPrimary);
    std::function<bool()> guardOf(const Decision&);
    void resumeReplicas(const Decision&, const std::string& primary);
    boost::asio::awaitable<void> awaitResumes(std::string service);
    std::optional<std::string> choose(const Decision&, const GroupRecord& old, GroupMembership,
        const std::vector<TargetRecord>& listed, std::vector<PromotionCandidate>&, bool prefersOthers) const;
    bool otherMemberCanLead(
        const Decision&, const std::vector<TargetRecord>& listed, std::vector<PromotionCandidate>) const;
    void logFencing(const std::string& service, const std::vector<PromotionCandidate>&,
        const std::optional<std::string>& chosen) const;
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> readRecord(std::string service);
    boost::asio::awaitable<std::optional<GroupMembership>> readMembership(std::string service);
    boost::asio::awaitable<std::int64_t> writeRecord(std::string service, std::int64_t expected, GroupRecord);
    boost::asio::awaitable<bool> promote(Decision, std::string id);
    boost::asio::awaitable<std::uint64_t> awaitLeadership(TargetRecord, std::uint64_t oldTerm);
    bool haveAllViews(const Mark&) const;
    boost::asio::awaitable<void> queryViews(Mark);
    boost::asio::awaitable<void> awaitViews(Mark);
    boost::asio::awaitable<void> sleepFor(Milliseconds);

    boost::asio::io_context& context;
    Parts parts;
    std::shared_ptr<LeaderLease> leaderLease;
    std::shared_ptr<MemberCommands> members;
    // By member id.
    std::map<std::string, MemberObservation> observations;
    // By service.
    std::map<std::string, Position> acknowledged;
    // By service.
    std::map<std::string, GroupWatch> watches;
    // What the holder of the leader lease `contactLease` has replied to this instance's queries.
    HolderContact contact;
    std::int64_t contactLease = 0;
    ViewUsers viewUsers;
    std::uint64_t promotionCount = 0;
    // Set once this instance leaves: no replacement starts after this time.
    std::optional<TimePoint> lastStart;
    std::minstd_rand random { std::random_device {}() };
};

} // namespace catkinlock
