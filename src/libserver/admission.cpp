#include "libserver/admission.h"

#include "catkinlock/log.h"
#include "catkinlock/membership.h"
#include "catkinlock/rendezvous.h"
#include "catkinlock/token_requester.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <cmath>
#include <fmt/format.h>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds refillInterval { 10 };
    // Maximum time that a request waits for a token.
    constexpr Milliseconds maxTokenWait { 150 };
    // The same for this long after the start. After a loss of power, holders of slots start with their tokens at zero
    // at about the same time, so that a rate that is not used up seems to be.
    constexpr Milliseconds startPeriod { 1500 };
    constexpr Milliseconds maxTokenWaitAtStart { 600 };
    // Interval at which a waiting request checks for a token.
    constexpr Milliseconds tokenPollInterval { 4 };
    // Maximum number of requests of one workspace that may wait here while other holders may still grant tokens.
    constexpr std::uint32_t maxWaitingRequests = 64;
    // An instance requests the tokens that it lacks now, plus its expected demand over this time.
    constexpr double prefetchSeconds = 0.05;
    // A workspace counts as idle on this instance while its demand is below this many requests per second.
    constexpr double idleDemandPerSecond = 0.01;
    // Time constant of the exponential smoothing of the demand.
    constexpr double demandTimeConstantSeconds = 0.3;
    // When a holder grants tokens, it keeps enough for its own demand over this time.
    constexpr double reservedSeconds = 0.1;
    // Minimum interval between two "rate_limited" log lines of one workspace.
    constexpr Milliseconds reportInterval { 2000 };

} // namespace

// State of one workspace that only the control thread uses, and its token reserve.
struct Admission::Account {
    Account(const Workspace& workspace, TimePoint now)
        : workspace(workspace)
        , bucket(workspace.rate, workspace.burst, now)
        , reserve(std::make_shared<TokenReserve>())
        , demandMeasuredAt(now)
    {
    }

    Workspace workspace;
    ShareBucket bucket;
    std::shared_ptr<TokenReserve> reserve;
    // Slots that the workspace's rate is divided among, in rank order.
    std::vector<std::uint32_t> shareSlots;
    // Smoothed number of requests per second.
    double demand = 0;
    // Arrivals that are already included in the demand.
    std::uint64_t countedArrivals = 0;
    TimePoint demandMeasuredAt;
    TokenRequester requester;
    // Time and counts of the last "rate_limited" log line.
    TimePoint reportedAt;
    std::uint64_t admittedReported = 0;
    std::uint64_t refusedReported = 0;
    TokenReplyCounts repliesReported;
    std::int64_t expiredReported = 0;
};

bool Admission::TokenReserve::take()
{
    std::int64_t held = this->level.load();
    while (held >= milliPerToken) {
        // If the process was paused beyond the end of its lease or grants, others may already spend these tokens.
        if (Clock::now() >= this->validUntil.load())
            return false;
        if (this->level.compare_exchange_weak(held, held - milliPerToken))
            return true;
    }
    return false;
}

Admission::Admission(asio::io_context& control, asio::any_io_executor requests, std::shared_ptr<PeerLink> link,
    std::shared_ptr<Membership> membership)
    : control(control)
    , requests(std::move(requests))
    , link(std::move(link))
    , membership(std::move(membership))
    , heldSlotsValidUntil(Clock::now())
    , lastRequestId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
{
}

TimePoint Admission::endOfTokenWait(TimePoint deadline, TimePoint deadlineAtStart) const
{
    TimePoint now = Clock::now();
    TimePoint end = std::min(deadline, now + maxTokenWait);
    return this->isStarting(now) ? std::max(end, std::min(deadlineAtStart, now + maxTokenWaitAtStart)) : end;
}

asio::awaitable<tl::expected<void, Refusal>> Admission::admit(
    std::string workspace, TimePoint deadline, TimePoint deadlineAtStart)
{
    auto self = this->shared_from_this();
    auto current = this->reserves.read();
    auto found = current->find(workspace);
    if (found == current->end())
        co_return tl::unexpected(notRun("unknown_workspace", "this instance has no rate for the workspace yet"));
    std::shared_ptr<TokenReserve> reserve = found->second;
    ++reserve->arrivals;
    if (!reserve->active.load() && !reserve->active.exchange(true))
        asio::post(this->control, [self, workspace] { self->activate(workspace); });
    if (reserve->take()) {
        ++reserve->admitted;
        ++this->admittedCount;
        co_return tl::expected<void, Refusal> {};
    }
    TimePoint end = this->endOfTokenWait(deadline, deadlineAtStart);
    // Requests beyond this limit are refused at once, since they could not expect a token within their wait. At the
    // start, when the holders are not known yet, that can't be told.
    std::uint32_t maxWaiting = this->isStarting(Clock::now()) ? maxWaitingRequests : reserve->maxWaiting.load();
    bool mayWait = ++reserve->waiting <= maxWaiting;
    if (mayWait)
        asio::post(this->control, [self, workspace] { self->handleShortage(workspace); });
    bool taken = false;
    while (mayWait && !taken && Clock::now() < end) {
        asio::steady_timer timer(this->requests, tokenPollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        taken = reserve->take();
    }
    --reserve->waiting;
    ++(taken ? this->admittedCount : this->refusedCount);
    ++(taken ? reserve->admitted : reserve->refused);
    if (!taken)
        co_return tl::unexpected(notRun("rate_exceeded", "the workspace is at its rate; try again later"));
    co_return tl::expected<void, Refusal> {};
}

void Admission::refund(const std::string& workspace)
{
    auto current = this->reserves.read();
    auto found = current->find(workspace);
    if (found != current->end())
        found->second->level += milliPerToken;
}

// Applies `change` to the bucket and to the level of the reserve. Requests may take tokens concurrently, so the change
// is computed on a copy of the bucket and repeated until the level has not changed in between.
template <typename Change> void Admission::updateBucket(Account& account, TimePoint now, Change change)
{
    std::int64_t before = account.reserve->level.load();
    for (;;) {
        ShareBucket next = account.bucket;
        std::int64_t after = change(next, next.advance(now, before));
        if (account.reserve->level.compare_exchange_weak(before, after)) {
            account.bucket = std::move(next);
            break;
        }
    }
    account.reserve->validUntil.store(account.bucket.validUntil());
}

void Admission::updateTables(const Tables& tables)
{
    TimePoint now = Clock::now();
    TokenReserves next;
    for (const auto& item : tables.workspaces) {
        const std::string& name = item.first;
        const Workspace& workspace = item.second;
        auto& account = this->accounts[name];
        if (!account) {
            account = std::make_shared<Account>(workspace, now);
        } else if (account->workspace != workspace) {
            writeLog(LogLevel::Info, "rate_changed",
                { { "workspace", name }, { "rate", fmt::format("{}", workspace.rate) },
                    { "burst", fmt::format("{}", workspace.burst) } });
            account->workspace = workspace;
            this->updateBucket(*account, now, [&](ShareBucket& bucket, std::int64_t level) {
                return bucket.setRate(workspace.rate, workspace.burst, level);
            });
        }
        next[name] = account->reserve;
    }
    // The account of a deleted workspace is kept: if the workspace is created again, tokens granted before must still
    // count against its rate.
    if (next != *this->reserves.read())
        this->reserves.replace(next);
    this->updateSlots(this->heldSlots, this->heldSlotsValidUntil, this->slotCount);
}

void Admission::updateSlots(const std::set<std::uint32_t>& held, TimePoint validUntil, std::uint32_t count)
{
    TimePoint now = Clock::now();
    bool slotCountChanged = count != this->slotCount;
    this->heldSlots = held;
    this->heldSlotsValidUntil = validUntil;
    this->slotCount = count;
    for (auto& [name, account] : this->accounts) {
        std::uint32_t shareCount = std::min(shareCountFor(account->workspace.burst), count);
        if (slotCountChanged || account->shareSlots.size() != shareCount)
            account->shareSlots = rankSlots(name, count, shareCount);
        std::uint64_t heldShares = 0;
        for (std::uint32_t slot : account->shareSlots)
            heldShares += held.count(slot);
        std::uint64_t units = heldShares * (unitsPerWorkspace / account->shareSlots.size());
        this->updateBucket(*account, now,
            [&](ShareBucket& bucket, std::int64_t level) { return bucket.setUnits(units, validUntil, level); });
    }
}

void Admission::start()
{
    this->startEndsAt.store(Clock::now() + startPeriod);
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->control, [self] { return self->runRefillLoop(); }, asio::detached);
}

asio::awaitable<void> Admission::runRefillLoop()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->control);
    while (!this->stopped) {
        timer.expires_after(refillInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        TimePoint now = Clock::now();
        std::erase_if(this->activeAccounts, [this](const auto& item) { return this->isIdle(*item.second); });
        for (auto& [name, account] : this->activeAccounts) {
            this->refill(*account, now);
            this->requestTokens(name, *account, now);
            this->reportRefusals(name, *account, now);
        }
    }
}

// Called on the control thread at the first request of a workspace, and at the first one after it was idle.
void Admission::activate(const std::string& workspace)
{
    auto found = this->accounts.find(workspace);
    if (found != this->accounts.end())
        this->activeAccounts.insert(*found);
}

// Marks the account as not active if it has had no requests for a while.
bool Admission::isIdle(Account& account) const
{
    TokenReserve& reserve = *account.reserve;
    if (reserve.arrivals.load() != account.countedArrivals || account.demand >= idleDemandPerSecond)
        return false;
    reserve.active.store(false);
    // A request that arrived meanwhile may have found the account active, and then has not called `activate`.
    bool arrived = reserve.arrivals.load() != account.countedArrivals;
    return !arrived || reserve.active.exchange(true);
}

// Writes at most one log line per `reportInterval` and workspace, however many requests were refused.
void Admission::reportRefusals(const std::string& workspace, Account& account, TimePoint now)
{
    std::uint64_t refused = account.reserve->refused.load();
    if (refused == account.refusedReported || now - account.reportedAt < reportInterval)
        return;
    std::uint64_t admitted = account.reserve->admitted.load();
    const TokenReplyCounts& replies = account.requester.replies();
    std::int64_t expired = account.bucket.expiredMilliTokens();
    writeLog(LogLevel::Info, "rate_limited",
        { { "workspace", workspace }, { "admitted", fmt::format("{}", admitted - account.admittedReported) },
            { "refused", fmt::format("{}", refused - account.refusedReported) },
            { "rate", fmt::format("{}", account.workspace.rate) },
            { "units", fmt::format("{}", account.bucket.units()) }, { "demand", fmt::format("{:.1f}", account.demand) },
            { "shares", fmt::format("{}", account.shareSlots.size()) },
            { "grants", fmt::format("{}", replies.granted - account.repliesReported.granted) },
            { "empty_replies", fmt::format("{}", replies.empty - account.repliesReported.empty) },
            { "lost_replies", fmt::format("{}", replies.lost - account.repliesReported.lost) },
            { "expired_milli", fmt::format("{}", expired - account.expiredReported) } });
    account.reportedAt = now;
    account.admittedReported = admitted;
    account.refusedReported = refused;
    account.repliesReported = replies;
    account.expiredReported = expired;
}

// Adds the tokens accrued since the last call and updates the smoothed demand.
void Admission::refill(Account& account, TimePoint now)
{
    this->updateBucket(account, now, [](ShareBucket&, std::int64_t level) { return level; });
    double seconds = std::chrono::duration<double>(now - account.demandMeasuredAt).count();
    std::uint64_t arrivals = account.reserve->arrivals.load();
    double rate = static_cast<double>(arrivals - account.countedArrivals) / std::max(seconds, 1e-6);
    double weight = 1 - std::exp(-seconds / demandTimeConstantSeconds);
    account.demand += weight * (rate - account.demand);
    account.countedArrivals = arrivals;
    account.demandMeasuredAt = now;
}

// Called on the control thread when a request found no token and starts to wait for one.
void Admission::handleShortage(const std::string& workspace)
{
    auto found = this->accounts.find(workspace);
    if (found == this->accounts.end())
        return;
    TimePoint now = Clock::now();
    this->refill(*found->second, now);
    this->requestTokens(workspace, *found->second, now);
}

// Peer addresses of the other instances that hold a share of the workspace's rate, in rank order.
std::vector<std::string> Admission::otherHolders(const Account& account) const
{
    std::vector<std::string> holders;
    for (std::uint32_t slot : account.shareSlots) {
        const InstanceRecord* holder = this->membership->holderOf(slot);
        if (holder && holder->name != this->membership->self().name)
            holders.push_back(holder->address);
    }
    return holders;
}

// Requests the tokens that the waiting requests lack from one other slot holder, and updates the maximum number of
// waiting requests: many while another holder may still grant tokens, otherwise only as many as the own units can serve
// within `maxTokenWait`.
void Admission::requestTokens(const std::string& workspace, Account& account, TimePoint now)
{
    std::int64_t missing = account.reserve->waiting.load() * milliPerToken - account.reserve->level.load();
    if (missing <= 0) {
        account.reserve->maxWaiting = maxWaitingRequests;
        return;
    }
    auto prefetch = static_cast<std::int64_t>(account.demand * prefetchSeconds * milliPerToken);
    std::vector<std::string> holders = this->otherHolders(account);
    auto query = account.requester.next(missing, prefetch, holders, ++this->lastRequestId, now);
    if (query) {
        wire::Envelope envelope;
        wire::TokenRequest& request = *envelope.mutable_token_request();
        request.set_id(query->id);
        request.set_workspace(workspace);
        request.set_wanted_milli(static_cast<std::uint64_t>(query->milliTokens));
        this->link->send(query->holder, envelope);
    }
    double accruedTokens = account.bucket.accrualRate() * std::chrono::duration<double>(maxTokenWait).count();
    bool tokensMayArrive = account.requester.tokensMayArrive(holders, now);
    account.reserve->maxWaiting = tokensMayArrive ? maxWaitingRequests : 1 + static_cast<std::uint32_t>(accruedTokens);
}

TokenTraffic Admission::tokenTraffic() const
{
    TokenTraffic total;
    for (const auto& [name, account] : this->accounts) {
        const TokenReplyCounts& replies = account->requester.replies();
        total.replies.granted += replies.granted;
        total.replies.empty += replies.empty;
        total.replies.lost += replies.lost;
        total.expiredMilliTokens += account->bucket.expiredMilliTokens();
    }
    return total;
}

void Admission::receiveTokenRequest(const std::string& sender, const wire::TokenRequest& request)
{
    auto found = this->accounts.find(request.workspace());
    TokenGrant grant;
    if (found != this->accounts.end()) {
        Account& account = *found->second;
        TimePoint now = Clock::now();
        this->refill(account, now);
        auto wanted = static_cast<std::int64_t>(request.wanted_milli());
        auto reserved = static_cast<std::int64_t>(account.demand * reservedSeconds * milliPerToken)
            + account.reserve->waiting.load() * milliPerToken;
        this->updateBucket(account, now, [&](ShareBucket& bucket, std::int64_t level) {
            grant = bucket.grant(now, wanted, reserved, level);
            return level;
        });
    }
    wire::Envelope envelope;
    wire::TokenReply& reply = *envelope.mutable_token_reply();
    reply.set_id(request.id());
    reply.set_workspace(request.workspace());
    reply.set_tokens_milli(static_cast<std::uint64_t>(grant.milliTokens));
    reply.set_duration_ms(static_cast<std::uint32_t>(grant.duration.count()));
    // The tokens were already debited here. If the reply is lost, the tokens are lost, but they are never spent twice.
    this->link->send(sender, envelope);
}

void Admission::receiveTokenReply(const wire::TokenReply& reply)
{
    auto found = this->accounts.find(reply.workspace());
    if (found == this->accounts.end())
        return;
    Account& account = *found->second;
    TimePoint now = Clock::now();
    auto milliTokens = static_cast<std::int64_t>(reply.tokens_milli());
    auto requestedAt = account.requester.recordReply(reply.id(), milliTokens, now);
    if (!requestedAt)
        return;
    TokenGrant grant { milliTokens, Milliseconds(reply.duration_ms()) };
    this->updateBucket(account, now,
        [&](ShareBucket& bucket, std::int64_t level) { return bucket.receive(*requestedAt, now, grant, level); });
    if (account.reserve->waiting.load())
        this->requestTokens(reply.workspace(), account, now);
}

} // namespace catkinlock
