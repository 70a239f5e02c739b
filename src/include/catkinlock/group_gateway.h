#pragma once

#include "catkinlock/database_request.h"
#include "catkinlock/failover.h"
#include "catkinlock/group_state.h"
#include "catkinlock/notifier.h"
#include "catkinlock/tables.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <random>

namespace catkinlock {

class MemberPool;
class TargetConnection;

/// Counters of one gateway. They only grow, and may be read from any thread.
struct GatewayCounters {
    /// Reads served by a replica.
    std::atomic<std::uint64_t> replicaReads { 0 };
    /// Reads served by the primary.
    std::atomic<std::uint64_t> primaryReads { 0 };
    /// Requests other than reads that succeeded, including repeats and settlements served from the record of an
    /// idempotency key.
    std::atomic<std::uint64_t> writes { 0 };
    /// Requests that ended with an unknown outcome.
    std::atomic<std::uint64_t> unknownOutcomes { 0 };
    /// Requests whose outcome was unknown after one attempt and was settled by a later one.
    std::atomic<std::uint64_t> settled { 0 };
    /// Elections that this gateway started.
    std::atomic<std::uint64_t> elections { 0 };
    /// Elections of this gateway that ended with the promotion of a new primary.
    std::atomic<std::uint64_t> electionsWon { 0 };
};

/// Limits and timeouts of a gateway.
struct GatewayOptions {
    /// Maximum total size of the result values of one request, in bytes.
    std::size_t maxResponseBytes = 4 << 20;
    /// Interval between two status polls of a member while no request waits for its status.
    Milliseconds pollInterval { 100 };
    /// Timeout of a status poll, a command to a member, a rollback, and of connecting for a poll or a command.
    Milliseconds controlTimeout { 300 };
    /// Timeout for opening connections to a new primary ahead of use.
    Milliseconds connectTimeout { 1000 };
    /// How long a read waits for a replica that is fresh enough before it may be served by the primary.
    Milliseconds replicaWait { 10 };
    /// If false, writes are acknowledged without waiting for a majority of the members. For measurements only.
    bool confirmByMajority = true;
    FailoverTimes failover;
};

/// An instance's access to one database group: polls its members' status, replaces a lost primary, and runs requests.
/// All its work runs on one executor, which must be a strand; `execute` may be awaited from any executor.
class GroupGateway : public std::enable_shared_from_this<GroupGateway> {
public:
    /// Receives the name of an event and a text with its details.
    using Log = std::function<void(const std::string& event, const std::string& detail)>;

    /// Asks the database's other gateways whether they reach the database's primary. Responses arrive through
    /// `recordPrimaryReachedByOther`.
    using QueryOtherGateways = std::function<void()>;

    GroupGateway(boost::asio::any_io_executor, Database, GatewayOptions, Log, QueryOtherGateways);
    ~GroupGateway();

    /// Starts to poll the members and to watch for a lost primary.
    void start();
    /// Ends polling and closes idle connections. New requests and those that wait for a usable member are refused;
    /// others run to their end or their deadline. Can't be undone. May be called from any thread.
    void stop();
    /// Sets the maximum number of connections to each member from this instance, and its rank among the group's
    /// gateways, from 0: those of lower rank start an election first. May be called from any thread.
    void setShare(std::size_t connections, unsigned rank);
    /// Records that another gateway reaches the primary of `term`; ignored if this is not the term of the primary
    /// known here. May be called from any thread.
    void recordPrimaryReachedByOther(std::uint64_t term);

    /// Runs a request and returns its outcome, at most `GatewayOptions::controlTimeout` after the request's deadline.
    boost::asio::awaitable<DatabaseResult> execute(DatabaseRequest);

    const Database& database() const { return this->description; }
    /// The latest observations of the members. Only on the executor.
    const GroupState& groupState() const { return this->state; }
    /// True if the last poll of the current primary succeeded. May be called from any thread.
    bool reachesPrimary() const { return this->primaryReached.load(); }
    /// Term of the current primary; 0 if none is known. May be called from any thread.
    std::uint64_t term() const { return this->primaryTerm.load(); }

    GatewayCounters counters;

private:
    struct Attempt;

    boost::asio::awaitable<void> watchMember(std::size_t member);
    boost::asio::awaitable<bool> pollMember(std::size_t member, TargetConnection&);
    boost::asio::awaitable<void> tickFailover();
    boost::asio::awaitable<void> runAction(FailoverAction);
    void startActions(const std::vector<FailoverAction>&);
    void publish();
    bool isPrimaryReachedByOthers() const;
    void queryOthersIfPrimaryUnresponsive(TimePoint now);

    boost::asio::awaitable<DatabaseResult> executeOnStrand(DatabaseRequest);
    boost::asio::awaitable<DatabaseResult> read(const DatabaseRequest&);
    boost::asio::awaitable<DatabaseResult> readOnce(
        const DatabaseRequest&, std::size_t member, const Position& floor, bool& mayRetry);
    boost::asio::awaitable<tl::expected<Position, Refusal>> findReadFloor(const DatabaseRequest&);
    boost::asio::awaitable<std::optional<std::size_t>> chooseReadMember(const DatabaseRequest&, const Position& floor);
    std::optional<std::size_t> leastLoadedReplica(const Position& floor) const;
    boost::asio::awaitable<std::optional<std::size_t>> waitForPrimary(TimePoint deadline);

    boost::asio::awaitable<DatabaseResult> write(const DatabaseRequest&);
    boost::asio::awaitable<DatabaseResult> writeOnce(const DatabaseRequest&);
    boost::asio::awaitable<DatabaseResult> commit(const DatabaseRequest&, std::shared_ptr<Attempt>);
    boost::asio::awaitable<DatabaseResult> replyFromRecord(const DatabaseRequest&, std::shared_ptr<Attempt>);
    boost::asio::awaitable<bool> awaitConfirmed(Position, TimePoint deadline);

    // A strand.
    boost::asio::any_io_executor executor;
    Database description;
    GatewayOptions options;
    Log log;
    QueryOtherGateways queryOtherGateways;
    TimePoint otherGatewaysQueriedAt;
    GroupState state;
    Failover failover;
    // Notified after each change of `state`.
    Notifier stateChanged;
    // Notified when a request needs the members' status before the next regular poll.
    Notifier pollRequested;
    // The highest log sequence number that a write has waited for a majority to confirm.
    std::uint64_t awaitedLsn = 0;
    // The connections for requests, one pool per member.
    std::vector<std::shared_ptr<MemberPool>> pools;
    std::minstd_rand random;
    // Maximum number of connections to each member.
    std::size_t connectionShare = 0;
    unsigned rank = 0;
    std::atomic<TimePoint> primaryReachedByOtherAt;
    std::atomic<bool> primaryReached { false };
    std::atomic<std::uint64_t> primaryTerm { 0 };
    // The last term for whose primary connections were opened ahead of use.
    std::uint64_t warmedTerm = 0;
    bool stopped = false;
};

} // namespace catkinlock
