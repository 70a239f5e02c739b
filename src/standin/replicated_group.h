#pragma once

#include "standin/replicated_member.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkinlock::standin {

class KvService;

/// A stand-in group of members with logs of their own, whose entries expire. Checks at each promotion that the promoted
/// member's log has every acknowledged commit. Not thread-safe.
class ReplicatedGroup {
public:
    /// A commit that a member has acknowledged.
    struct Acknowledged {
        std::string member;
        ReplicatedMember::Commit commit;
        std::chrono::milliseconds at { 0 };
        /// The log of a member that was promoted later lacks it.
        bool lost = false;
    };

    /// The members' ids are `idPrefix` and a number.
    ReplicatedGroup(
        boost::asio::io_context&, std::string service, std::size_t memberCount, const std::string& idPrefix = "m");

    /// Starts the members, the first as the primary. They write their entries to this store.
    void start(std::shared_ptr<KvService>);
    /// Carries out an order to promote a member: it leads the next term a while later, with what it has received then.
    void promote(const std::string& id);
    const std::string& service() const { return this->serviceName; }
    const std::vector<std::shared_ptr<ReplicatedMember>>& members() const { return this->all; }
    /// The primary of the latest term; null if there is none.
    ReplicatedMember* primary() const;
    unsigned promotions() const { return this->promotionCount; }
    /// Ids of the writes of acknowledged commits that the log of a promoted member lacked.
    std::set<std::string> lostWrites() const;
    /// Ids of the writes that a member's log has, and of those that one has more than once.
    std::set<std::string> keptWrites() const;
    std::set<std::string> repeatedWrites() const;
    std::size_t acknowledged() const { return this->acknowledgedCommits.size(); }
    /// What happened at the promotions, for the output of a test that fails.
    const std::string& history() const { return this->events; }

    /// Sends the log of a primary to the replicas that receive. True if one did.
    bool replicate(const ReplicatedMember& primary);
    void recordAcknowledged(const ReplicatedMember& primary, const ReplicatedMember::Commit&);
    void recordHeartbeat(const std::string& member, const std::string& entry);
    /// Removes a member's entry at once.
    void eraseEntry(const std::string& member);
    /// A member has received a statement of this id.
    void recordSeen(const std::string& statementId) { this->seenStatements.insert(statementId); }
    const std::set<std::string>& seen() const { return this->seenStatements; }
    /// Sets how long after an order a member leads.
    void setPromotionTime(std::chrono::milliseconds time) { this->promotionTime = time; }
    void recordEvent(const std::string&);

private:
    using TimePoint = std::chrono::steady_clock::time_point;
    struct Heartbeat {
        TimePoint at;
        std::string entry;
    };

    boost::asio::awaitable<void> runReplication();
    boost::asio::awaitable<void> lead(std::shared_ptr<ReplicatedMember>);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    void expireEntries();
    void checkLog(const ReplicatedMember& promoted);
    // Time since the start.
    std::chrono::milliseconds now() const;

    boost::asio::io_context& context;
    std::string serviceName;
    std::shared_ptr<KvService> store;
    std::vector<std::shared_ptr<ReplicatedMember>> all;
    std::map<std::string, Heartbeat> heartbeats;
    std::vector<Acknowledged> acknowledgedCommits;
    std::set<std::string> seenStatements;
    std::chrono::milliseconds promotionTime { 600 };
    std::string events;
    TimePoint startedAt = std::chrono::steady_clock::now();
    unsigned promotionCount = 0;
};

} // namespace catkinlock::standin
