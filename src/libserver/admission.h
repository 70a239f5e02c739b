#pragma once

#include "catkinlock/peer_link.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/refusal.h"
#include "catkinlock/share_bucket.h"
#include "catkinlock/tables.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock::wire {
class TokenRequest;
class TokenReply;
}

namespace catkinlock {

class Membership;

/// Number of slots that each workspace's rate is divided among, at most.
inline constexpr std::uint32_t sharesPerWorkspace = 8;

/// Admits requests within the rate of their workspace, counted over the fleet. Requests take tokens on their own thread
/// without a lock; the control thread refills them, and asks the holders of the rate for tokens where they run short.
class Admission : public std::enable_shared_from_this<Admission> {
public:
    Admission(boost::asio::io_context& control, boost::asio::any_io_executor requests, std::shared_ptr<PeerLink>,
        std::shared_ptr<Membership>);

    /// Takes a token of the workspace, waiting a little for one. May be awaited on any thread.
    boost::asio::awaitable<tl::expected<void, Refusal>> admit(std::string workspace, TimePoint deadline);

    /// Gives back the token of an operation of which nothing ran. On any thread.
    void refund(const std::string& workspace);

    // The rest is for the control thread.
    void updateTables(const Tables&);
    /// The slots that this instance holds, and until when.
    void updateSlots(const std::set<std::uint32_t>&, TimePoint validUntil, std::uint32_t slotCount);
    void start();
    void stop() { this->stopped = true; }
    void receiveTokenRequest(const std::string& sender, const wire::TokenRequest&);
    void receiveTokenReply(const wire::TokenReply&);

    std::uint64_t admitted() const { return this->admittedCount.load(); }
    std::uint64_t refused() const { return this->refusedCount.load(); }

private:
    // What the request path touches: the level, and until when it may be spent.
    struct Purse {
        std::atomic<std::int64_t> level { 0 };
        std::atomic<TimePoint> validUntil { TimePoint::min() };
        std::atomic<std::uint64_t> arrivals { 0 };
        std::atomic<std::uint32_t> waiting { 0 };
        // Requests that may wait for a token at once.
        std::atomic<std::uint32_t> waitingRoom { 1 };
        std::atomic<std::uint64_t> admitted { 0 };
        std::atomic<std::uint64_t> refused { 0 };

        bool take();
    };
    struct Account;
    using Purses = std::map<std::string, std::shared_ptr<Purse>>;

    boost::asio::awaitable<void> tick();
    void reportRefusals(const std::string& workspace, Account&, TimePoint now);
    void refill(Account&, TimePoint now);
    void askForTokens(const std::string& workspace, Account&, TimePoint now);
    void serveShortage(const std::string& workspace);
    template <typename Change> void change(Account&, TimePoint now, Change);

    boost::asio::io_context& control;
    boost::asio::any_io_executor requests;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<Membership> membership;
    RcuSnapshot<Purses> purses;
    std::map<std::string, std::shared_ptr<Account>> accounts;
    std::set<std::uint32_t> slots;
    TimePoint slotsValidUntil;
    std::uint32_t slotCount = 1;
    std::uint64_t nextRequestId;
    bool stopped = false;
    std::atomic<std::uint64_t> admittedCount { 0 };
    std::atomic<std::uint64_t> refusedCount { 0 };
};

} // namespace catkinlock
