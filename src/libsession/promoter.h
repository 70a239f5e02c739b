#pragma once

#include "catkinlock/rcu_snapshot.h"
#include "libsession/fleet_view.h"
#include "libsession/leader_tenure.h"
#include "libsession/primary_evidence.h"
#include "libsession/role_watch.h"
#include "libsession/target_groups.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace catkinlock::wire {
class PrimaryNote;
class ViewNote;
}

namespace catkinlock {

class GroupReplacer;
class LeaderLease;
class PeerLink;
class PolledStore;
class PromotionService;
class StoreMirror;
class TargetProtocol;
struct ReplacementDecision;

/// Monitors the primaries of all groups and has those replaced that have failed or are draining. Any instance may
/// replace a primary; a leader lease in the metadata store ensures that only one does at a time. Runs on the control
/// thread.
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
    std::uint64_t promotions() const;

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
    void queryHolder(const ReplacementDecision&, const std::optional<StoredLeader>&, bool requestReplacement);
    ReplacementDecision makeDecision(const std::string& service, const FleetView&) const;
    void startReplacement(ReplacementDecision);
    std::size_t rankFor(const std::string& service) const;
    std::optional<GroupRecord> recordOf(const std::string& service) const;
    bool leads() const;
    boost::asio::awaitable<void> replace(ReplacementDecision);
    boost::asio::awaitable<Milliseconds> replaceOrDefer(ReplacementDecision);
    std::optional<StoredLeader> storedLeader() const;
    boost::asio::awaitable<std::optional<StoredLeader>> readLeader();
    boost::asio::awaitable<void> sleepFor(Milliseconds);

    boost::asio::io_context& context;
    Parts parts;
    std::shared_ptr<LeaderLease> leaderLease;
    std::shared_ptr<GroupReplacer> replacer;
    // By member id.
    std::map<std::string, MemberObservation> observations;
    // By service.
    std::map<std::string, GroupWatch> watches;
    // What the holder of the leader lease `contactLease` has replied to this instance's queries.
    HolderContact contact;
    std::int64_t contactLease = 0;
    // Set once this instance leaves: no replacement starts after this time.
    std::optional<TimePoint> lastStart;
    std::minstd_rand random { std::random_device {}() };
};

} // namespace catkinlock
