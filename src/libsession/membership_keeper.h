#pragma once

#include "catkinlock/metadata_store.h"
#include "catkinlock/rcu_snapshot.h"
#include "libsession/membership_change.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace catkinlock {

class MemberCommands;
class TargetProtocol;

/// Keeps the memberships in the metadata store up to date: adds the runs of members that register, records when none
/// can be missing, and removes those of members that have ended, once the others hold every commit that these may have
/// held. The first instance in a service's order does this; the others follow if a change stays undone. Runs on the
/// control thread.
class MembershipKeeper : public std::enable_shared_from_this<MembershipKeeper> {
public:
    struct Parts {
        std::shared_ptr<MetadataStore> store;
        std::shared_ptr<const TargetProtocol> targets;
        std::shared_ptr<RcuSnapshot<FleetView>> view;
        /// Name of this instance.
        std::string instance;
    };

    MembershipKeeper(boost::asio::io_context&, Parts);

    /// Checks every group and starts a change of its membership where one is due. The view is complete up to
    /// `confirmedAt`. Call it every few hundred milliseconds.
    void check(TimePoint now, TimePoint confirmedAt);

private:
    struct GroupWatch {
        AbsentRuns absent;
        GroupObservation observation;
        // Since when the membership differs from what is observed; the clock's epoch if it does not.
        TimePoint differsSince;
        TimePoint nextAttemptAt;
        bool changing = false;
    };
    // A group's membership in the store, with its revision; 0 if the store has none.
    struct StoredMembership {
        GroupMembership membership;
        std::int64_t revision = 0;
    };

    bool isDue(const std::string& service, const FleetView&, TimePoint now, TimePoint confirmedAt);
    boost::asio::awaitable<void> change(std::string service);
    boost::asio::awaitable<void> addOrRemove(std::string service);
    boost::asio::awaitable<std::optional<StoredMembership>> readStored(std::string service);
    boost::asio::awaitable<std::set<MemberRun>> endedRuns(std::string service, GroupMembership);
    boost::asio::awaitable<bool> isCovered(std::string service);
    boost::asio::awaitable<std::map<std::string, MemberReport>> reports(std::string service);
    boost::asio::awaitable<void> write(std::string service, StoredMembership before, GroupMembership);

    boost::asio::io_context& context;
    Parts parts;
    std::shared_ptr<MemberCommands> members;
    // By service.
    std::map<std::string, GroupWatch> watches;
};

} // namespace catkinlock
