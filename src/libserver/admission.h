#pragma once

#include "catkinlock/peer_link.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/refusal.h"
#include "catkinlock/share_bucket.h"
#include "catkinlock/tables.h"
#include "catkinlock/token_requester.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock::wire {
class TokenRequest;
class TokenReply;
}

namespace catkinlock {

class Membership;

/// What became of the tokens that an instance requested since its start, over all workspaces.
struct TokenTraffic {
    TokenReplyCounts replies;
    /// Millitokens that were received and expired unspent.
    std::int64_t expiredMilliTokens = 0;

    auto operator<=>(const TokenTraffic&) const = default;
};

/// Limits the requests of each workspace to its rate and burst, counted over the whole fleet. The rate of a workspace
/// is divided among slots; tokens accrue at the instances that hold these slots. Requests take tokens on their own
/// thread without a lock. The control thread adds the accrued tokens and, when an instance runs short, requests tokens
/// from the other slot holders.
class Admission : public std::enable_shared_from_this<Admission> {
public:
    /// `control` runs the control thread; `requests` runs the timers of requests that wait for a token.
    Admission(boost::asio::io_context& control, boost::asio::any_io_executor requests, std::shared_ptr<PeerLink>,
        std::shared_ptr<Membership>);

    /// Takes one token of the workspace. If there is none, waits for one up to a fixed limit, at most until `deadline`.
    /// Shortly after the start, when the holders of the rate may just be starting too, the limit is longer and
    /// `deadlineAtStart` counts if it is later. Refuses with "rate_exceeded" if no token became available, or at once
    /// if too many requests already wait, and with "unknown_workspace" if the tables have no such workspace. May be
    /// awaited on any thread.
    boost::asio::awaitable<tl::expected<void, Refusal>> admit(
        std::string workspace, TimePoint deadline, TimePoint deadlineAtStart = TimePoint());

    /// Returns the token of an operation that had no effect. Ignored if the tables have no such workspace. May be
    /// called from any thread.
    void refund(const std::string& workspace);

    // The functions up to `tokenTraffic` must be called on the control thread.

    /// Applies the rate and burst of each workspace in the tables. Workspaces that the tables lack are refused from now
    /// on.
    void updateTables(const Tables&);
    /// Sets the slots that this instance holds, the end of the lease on them, and the number of slots in the fleet.
    void updateSlots(const std::set<std::uint32_t>&, TimePoint validUntil, std::uint32_t slotCount);
    /// Starts to add accrued tokens at a fixed interval, until `stop`.
    void start();
    void stop() { this->stopped = true; }
    /// Grants tokens to the peer `sender` as far as this instance can spare them, and sends it a reply in any case.
    void receiveTokenRequest(const std::string& sender, const wire::TokenRequest&);
    /// Adds the tokens that a peer granted, if the reply belongs to a pending request.
    void receiveTokenReply(const wire::TokenReply&);

    /// For metrics; sums over all workspaces, deleted ones included.
    TokenTraffic tokenTraffic() const;

    /// Number of requests admitted and refused since the start; may be called on any thread.
    std::uint64_t admitted() const { return this->admittedCount.load(); }
    std::uint64_t refused() const { return this->refusedCount.load(); }

private:
    // The part of a workspace's state that the request path uses; all members are accessed without a lock.
    struct TokenReserve {
        // Tokens that may be spent, in thousandths of a token.
        std::atomic<std::int64_t> level { 0 };
        // Tokens may be spent only before this time.
        std::atomic<TimePoint> validUntil { TimePoint::min() };
        // Requests received since the start.
        std::atomic<std::uint64_t> arrivals { 0 };
        // Requests that currently wait for a token.
        std::atomic<std::uint32_t> waiting { 0 };
        // Maximum number of requests that may wait for a token at the same time.
        std::atomic<std::uint32_t> maxWaiting { 1 };
        std::atomic<std::uint64_t> admitted { 0 };
        std::atomic<std::uint64_t> refused { 0 };
        // True while the account is among `activeAccounts`, or about to be.
        std::atomic<bool> active { false };

        // Takes one token. False if there is none, or if the tokens are no longer valid.
        bool take();
    };
    struct Account;
    using TokenReserves = std::map<std::string, std::shared_ptr<TokenReserve>>;

    bool isStarting(TimePoint now) const { return now < this->startEndsAt.load(); }
    TimePoint endOfTokenWait(TimePoint deadline, TimePoint deadlineAtStart) const;
    boost::asio::awaitable<void> runRefillLoop();
    void activate(const std::string& workspace);
    bool isIdle(Account&) const;
    void reportRefusals(const std::string& workspace, Account&, TimePoint now);
    void refill(Account&, TimePoint now);
    std::vector<std::string> otherHolders(const Account&) const;
    void requestTokens(const std::string& workspace, Account&, TimePoint now);
    void handleShortage(const std::string& workspace);
    template <typename Change> void updateBucket(Account&, TimePoint now, Change);

    // Runs the control thread.
    boost::asio::io_context& control;
    // Runs the timers of waiting requests.
    boost::asio::any_io_executor requests;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<Membership> membership;
    RcuSnapshot<TokenReserves> reserves;
    // By workspace name; includes workspaces that were deleted from the tables.
    std::map<std::string, std::shared_ptr<Account>> accounts;
    // Those with requests lately, by workspace name. Only these are refilled at the interval, so that workspaces
    // without requests cost nothing.
    std::map<std::string, std::shared_ptr<Account>> activeAccounts;
    std::set<std::uint32_t> heldSlots;
    TimePoint heldSlotsValidUntil;
    std::uint32_t slotCount = 1;
    std::uint64_t lastRequestId;
    bool stopped = false;
    std::atomic<TimePoint> startEndsAt { TimePoint() };
    std::atomic<std::uint64_t> admittedCount { 0 };
    std::atomic<std::uint64_t> refusedCount { 0 };
};

} // namespace catkinlock
