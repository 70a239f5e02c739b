#pragma once

#include "catkinlock/metadata_store.h"
#include "catkinlock/promotion_service.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/fleet_view.h"
#include "libsession/primary_watch.h"
#include "libsession/promotion_choice.h"
#include "libsession/target_groups.h"
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

class PeerLink;
class StoreMirror;
class TargetLink;
class TargetProtocol;

/// Watches the primaries of all groups and replaces those that are lost or leave. Any instance may; a duty under a
/// lease in the metadata store makes sure that one does at a time, and its fencing token is the store's revision, which
/// only grows. On the control thread.
class Promoter : public std::enable_shared_from_this<Promoter> {
public:
    struct Parts {
        std::shared_ptr<PolledStore> store;
        std::shared_ptr<PromotionService> promotions;
        std::shared_ptr<const TargetProtocol> targets;
        std::shared_ptr<StoreMirror> mirror;
        std::shared_ptr<RcuSnapshot<FleetView>> view;
        std::shared_ptr<PeerLink> link;
        /// How long an instance may use a view that it can't confirm.
        Milliseconds viewUsableFor;
        std::string instance;
    };

    Promoter(boost::asio::io_context&, Parts);

    /// What the request thread saw of the members, and the highest acknowledged positions that it knows.
    void updateSights(std::vector<MemberObservation>, std::map<std::string, Position> acknowledged);
    /// Looks at every group. Call it often.
    void look(TimePoint now);
    void stop() { this->stopped = true; }

    void receivePrimaryNote(const std::string& sender, const wire::PrimaryNote&);
    void receiveViewNote(const std::string& sender, const wire::ViewNote&);

    std::uint64_t promotions() const { return this->promotionCount; }

private:
    struct Opinion {
        bool suspects = false;
        bool reaches = false;
        TimePoint at;
    };
    struct Watch {
        // By the peer's address.
        std::map<std::string, Opinion> opinions;
        std::string primary;
        TimePoint knownAt;
        TimePoint askedAt;
        TimePoint notBefore;
        bool busy = false;
    };
    struct Duty {
        std::int64_t lease = 0;
        std::int64_t token = 0;
        TimePoint validUntil;
    };

    void lookAt(const std::string& service, const FleetView&, TimePoint now);
    PrimaryEvidence evidenceOf(const std::string& service, const FleetView&, Watch&, TimePoint now);
    void askOthers(const std::string& service, const std::string& primary, bool asks);
    void answerNote(const std::string& sender, const std::string& service, const std::string& primary);

    /// What a decision was based on.
    struct Decision {
        std::string service;
        bool planned = false;
        /// The record then; nothing if there was none.
        std::optional<GroupRecord> record;
        std::string primary;
    };
    boost::asio::awaitable<void> replace(Decision);
    boost::asio::awaitable<bool> carryOut(Decision, Duty&);
    boost::asio::awaitable<std::optional<std::string>> chooseNext(
        Decision, GroupRecord old, std::uint64_t& term, Duty&);
    boost::asio::awaitable<bool> takeDuty(Duty&);
    boost::asio::awaitable<void> renewDuty(Duty&);
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> readRecord(std::string service);
    boost::asio::awaitable<std::int64_t> writeRecord(std::string service, std::int64_t expected, GroupRecord);
    boost::asio::awaitable<bool> primaryAnswers(TargetRecord);
    boost::asio::awaitable<std::vector<MemberStanding>> fence(
        std::vector<TargetRecord>, GroupRecord old, bool pauseAll);
    boost::asio::awaitable<std::optional<MemberReport>> order(TargetRecord, TargetCommand);
    boost::asio::awaitable<bool> promote(std::string service, std::string id, const Duty&);
    boost::asio::awaitable<std::uint64_t> awaitLead(TargetRecord, std::uint64_t oldTerm, Duty& duty);
    boost::asio::awaitable<void> awaitViews(std::int64_t revision, TimePoint writtenAt, Duty& duty);
    boost::asio::awaitable<void> pause(Milliseconds);

    boost::asio::io_context& context;
    Parts parts;
    std::map<std::string, MemberObservation> sights;
    std::map<std::string, Position> acknowledged;
    std::map<std::string, Watch> watches;
    std::map<std::string, std::int64_t> viewsSeen;
    std::map<std::string, std::shared_ptr<TargetLink>> links;
    std::uint64_t promotionCount = 0;
    bool stopped = false;
    std::minstd_rand random { std::random_device {}() };
};

} // namespace catkinlock
