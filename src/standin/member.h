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

/// Faults and delays of a member, set at run time by the SQL function `standin.set(name, value)`. The names are listed
/// in `SqlSession::setFault`.
struct MemberFaults {
    /// Delay between receiving an entry of the log and applying it.
    std::uint32_t applyDelayMs = 0;
    /// Delay before an entry that arrived from the primary is appended to the log.
    std::uint32_t receiveDelayMs = 0;
    /// Delay before each statement that names no object of the schema `catkinlock`.
    std::uint32_t statementDelayMs = 0;
    /// Delay of the response to a client's startup message.
    std::uint32_t connectDelayMs = 0;
    /// Number of commits from now on that take effect and then close the connection without a response.
    std::uint32_t loseCommitResponses = 0;
    /// While not 0, this member sends no entries or heartbeats to replicas, and appends none that it receives.
    std::uint32_t cutReplication = 0;
    /// While not 0, statements other than `standin.set` wait without a response.
    std::uint32_t cutClients = 0;
};

/// A member of a stand-in database group: its log, its role, and its replication from the primary. Not thread-safe; all
/// calls and coroutines run on the thread of its context.
class GroupMember : public std::enable_shared_from_this<GroupMember> {
public:
    GroupMember(boost::asio::io_context&, std::string address);

    bool isPrimary() const { return this->primary; }
    /// Term of the last promotion of this member or of the last primary that it replicated from, whichever is later; 1
    /// before both.
    std::uint64_t term() const { return this->currentTerm; }
    /// The current term and the sequence number of the last entry of the log.
    Position position() const { return { this->currentTerm, this->log.last().lsn }; }
    /// Milliseconds since the last line from the primary arrived, or since the member was created if none has arrived.
    /// 0 on a primary.
    std::uint64_t lastMessageAgeMs() const;

    /// Promises to refuse every term before `term`; the member stops being the primary and stops replicating. Returns
    /// false, and changes nothing, if this or a later term was promised before.
    bool fence(std::uint64_t term);
    /// Becomes the primary of `term`. Returns false unless `term` is the newest promised term.
    bool promote(std::uint64_t term);
    /// Promises `term` and replicates from its primary at `address` ("ip:port"). Returns false if a later term was
    /// promised, or if this member is the primary of `term`.
    bool follow(std::uint64_t term, const std::string& address);
    /// Appends and applies a transaction. Returns false unless this member is the primary of its newest promised term.
    bool commit(std::vector<Change>);

    /// Waits until the log reaches `lsn`, the newest promised term is no longer `term`, or the time limit has passed.
    boost::asio::awaitable<void> waitFor(std::uint64_t term, std::uint64_t lsn, std::chrono::milliseconds);
    /// Waits for the next `notify`, at most for the given time.
    boost::asio::awaitable<void> waitForChange(std::chrono::milliseconds);
    /// Wakes every coroutine in `waitForChange`. Called after each change of the log, the role, the faults or the
    /// reserved keys.
    void notify();

    /// Streams the log and heartbeats to a replica for as long as this member is the primary of the replica's term.
    /// `request` holds that term and then the term of each entry of the replica's log, separated by spaces. Throws when
    /// the connection fails.
    boost::asio::awaitable<void> serveReplica(boost::asio::ip::tcp::socket&, std::string request);

    boost::asio::io_context& context;
    Log log;
    MemberFaults faults;
    /// Idempotency keys inserted by transactions that are still open.
    std::set<std::string> reservedKeys;

private:
    boost::asio::awaitable<void> replicate(std::uint64_t loopGeneration, std::uint64_t term, std::string address);
    boost::asio::awaitable<void> replicateOnce(std::uint64_t loopGeneration, std::uint64_t term, std::string address);
    boost::asio::awaitable<void> applyAfterDelay(std::uint64_t loopGeneration, std::uint64_t lsn);
    /// The term of each entry of the log, followed by a newline.
    std::string entryTermsText() const;

    std::string address;
    bool primary = false;
    std::uint64_t currentTerm = 1;
    /// Incremented when the replication source changes or replication stops; a replication loop ends when it no longer
    /// matches the value that the loop was started with.
    std::uint64_t generation = 0;
    /// When the last line from the primary arrived. Lines that arrive while `faults.cutReplication` is set don't count.
    std::chrono::steady_clock::time_point lastMessageAt;
    /// Never expires; cancelled to wake the waiting coroutines.
    boost::asio::steady_timer changed;
};

} // namespace catkinlock::standin
