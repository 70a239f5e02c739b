#pragma once

#include "standin/log.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace catkinlock::standin {

/// Faults and delays of a member, settable while it runs through `standin.set(name, value)`.
struct MemberFaults {
    /// Time from receiving an entry of the log to applying it.
    std::uint32_t lagMs = 0;
    /// Time from the primary's sending an entry to this member's receiving it.
    std::uint32_t receiveMs = 0;
    /// Time that each statement takes.
    std::uint32_t delayMs = 0;
    /// Time that a new connection takes.
    std::uint32_t connectMs = 0;
    /// Number of COMMITs from now that take effect and then close the connection without an answer.
    std::uint32_t loseCommitAnswers = 0;
    /// While not 0, replicas get nothing from this member.
    std::uint32_t cutReplication = 0;
    /// While not 0, clients are cut off: statements get no answer.
    std::uint32_t cutClients = 0;
};

/// A member of a stand-in database group: its log, its role, and its replication from the primary. Single-threaded.
class GroupMember : public std::enable_shared_from_this<GroupMember> {
public:
    GroupMember(boost::asio::io_context&, std::string address);

    bool isPrimary() const { return this->primary; }
    /// The term whose log this member holds or follows.
    std::uint64_t term() const { return this->currentTerm; }
    Position position() const { return { this->currentTerm, this->log.last().lsn }; }
    /// Time since the primary was heard last; 0 on a primary.
    std::uint64_t heardMs() const;

    /// Promises to refuse every term before `term`. False if that much or more was promised before.
    bool fence(std::uint64_t term);
    /// Becomes the primary of `term`, if that is what was promised last.
    bool promote(std::uint64_t term);
    /// Follows the primary of `term` at `address`. False if a later term was promised.
    bool follow(std::uint64_t term, const std::string& address);
    /// Commits changes as the primary. False if this member is not the primary of the term that it promised.
    bool commit(std::vector<Change>);

    /// Waits until the position reaches `lsn`, the promise changes from `term`, or the time is over.
    boost::asio::awaitable<void> waitFor(std::uint64_t term, std::uint64_t lsn, std::chrono::milliseconds);
    /// Waits for the next change of any state.
    boost::asio::awaitable<void> waitForChange(std::chrono::milliseconds);
    void notify();

    /// Serves the log to a replica that sent its terms; ends with the connection.
    boost::asio::awaitable<void> serveReplica(boost::asio::ip::tcp::socket&, std::string request);

    boost::asio::io_context& context;
    Log log;
    MemberFaults faults;
    /// Idempotency keys that an open transaction has inserted.
    std::set<std::string> reservedKeys;

private:
    boost::asio::awaitable<void> replicate(std::uint64_t generation, std::uint64_t term, std::string address);
    boost::asio::awaitable<void> replicateOnce(std::uint64_t generation, std::uint64_t term, std::string address);
    boost::asio::awaitable<void> applyLater(std::uint64_t generation, std::uint64_t lsn);
    std::string termsText() const;

    std::string address;
    bool primary = false;
    std::uint64_t currentTerm = 1;
    /// Changes whenever the replication source does; an older replication loop then ends.
    std::uint64_t generation = 0;
    std::chrono::steady_clock::time_point heardAt;
    boost::asio::steady_timer changed;
};

} // namespace catkinlock::standin
