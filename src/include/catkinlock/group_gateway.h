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

/// Counts of one gateway, readable from any thread.
struct GatewayCounters {
    std::atomic<std::uint64_t> replicaReads { 0 };
    std::atomic<std::uint64_t> primaryReads { 0 };
    std::atomic<std::uint64_t> writes { 0 };
    std::atomic<std::uint64_t> unknownOutcomes { 0 };
    std::atomic<std::uint64_t> settled { 0 };
    std::atomic<std::uint64_t> elections { 0 };
    std::atomic<std::uint64_t> electionsWon { 0 };
};

/// Limits and times of a gateway.
struct GatewayOptions {
    std::size_t answerBytes = 4 << 20;
    Milliseconds pollInterval { 100 };
    Milliseconds controlTimeout { 300 };
    Milliseconds connectTimeout { 1000 };
    /// How long a read that no replica can serve yet waits for one before it goes to the primary.
    Milliseconds replicaWait { 10 };
    /// False for measurements only: acknowledge without waiting for a majority.
    bool confirmByMajority = true;
    FailoverTimes failover;
};

/// An instance's access to one database group: watches its members, replaces a lost primary, and runs requests. All its
/// work runs on one executor, which the caller makes a strand; `execute` may be awaited from any.
class GroupGateway : public std::enable_shared_from_this<GroupGateway> {
public:
    using Log = std::function<void(const std::string& event, const std::string& detail)>;

    /// Asks the database's other gateways whether they reach its primary.
    using AskOthers = std::function<void()>;

    GroupGateway(boost::asio::any_io_executor, Database, GatewayOptions, Log, AskOthers);
    ~GroupGateway();

    void start();
    void stop();
    /// Sets this instance's share of the bound on connections to each member, and its rank among the group's gateways.
    /// May be called from any thread.
    void setShare(std::size_t connections, unsigned rank);
    /// Notes that another gateway reaches the primary of `term`. May be called from any thread.
    void noteReachedByOther(std::uint64_t term);

    /// Runs a request to its outcome. Never takes longer than its deadline by more than a control timeout.
    boost::asio::awaitable<DatabaseResult> execute(DatabaseRequest);

    const Database& database() const { return this->description; }
    /// The newest term known and whether its primary answers, for reports. Only on the executor.
    const GroupState& groupState() const { return this->state; }
    bool reachesPrimary() const { return this->primaryReached.load(); }
    std::uint64_t term() const { return this->knownTerm.load(); }

    GatewayCounters counters;

private:
    struct Attempt;

    boost::asio::awaitable<void> watchMember(std::size_t member);
    boost::asio::awaitable<bool> askMember(std::size_t member, TargetConnection&);
    boost::asio::awaitable<void> tickFailover();
    boost::asio::awaitable<void> carryOut(FailoverAction);
    void perform(const std::vector<FailoverAction>&);
    void publish();
    bool isReachedByOthers() const;
    void askOthersIfCutOff(TimePoint now);

    boost::asio::awaitable<DatabaseResult> executeHere(DatabaseRequest);
    boost::asio::awaitable<DatabaseResult> read(const DatabaseRequest&);
    boost::asio::awaitable<DatabaseResult> readOnce(
        const DatabaseRequest&, std::size_t member, const Position& floor, bool& mayRetry);
    boost::asio::awaitable<tl::expected<Position, Refusal>> findFloor(const DatabaseRequest&);
    boost::asio::awaitable<std::optional<std::size_t>> chooseReader(const DatabaseRequest&, const Position& floor);
    std::optional<std::size_t> leastLoadedReplica(const Position& floor) const;
    boost::asio::awaitable<std::optional<std::size_t>> waitForPrimary(TimePoint deadline);

    boost::asio::awaitable<DatabaseResult> write(const DatabaseRequest&);
    boost::asio::awaitable<DatabaseResult> writeOnce(const DatabaseRequest&);
    boost::asio::awaitable<DatabaseResult> commit(const DatabaseRequest&, std::shared_ptr<Attempt>);
    boost::asio::awaitable<DatabaseResult> answerFromRecord(const DatabaseRequest&, std::shared_ptr<Attempt>);
    boost::asio::awaitable<bool> awaitConfirmed(Position, TimePoint deadline);

    boost::asio::any_io_executor executor;
    Database description;
    GatewayOptions options;
    Log log;
    AskOthers askOthers;
    TimePoint askedOthersAt;
    GroupState state;
    Failover failover;
    Notifier changed;
    Notifier wanted;
    std::uint64_t awaitedLsn = 0;
    std::vector<std::shared_ptr<MemberPool>> pools;
    std::minstd_rand random;
    std::size_t connectionShare = 0;
    unsigned rank = 0;
    std::atomic<TimePoint> reachedByOtherAt;
    std::atomic<bool> primaryReached { false };
    std::atomic<std::uint64_t> knownTerm { 0 };
    std::uint64_t warmedTerm = 0;
    bool stopped = false;
};

} // namespace catkinlock
