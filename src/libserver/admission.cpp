#include "libserver/admission.h"

#include "catkinlock/log.h"
#include "catkinlock/membership.h"
#include "catkinlock/rendezvous.h"
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
    // Interval at which a waiting request checks for a token.
    constexpr Milliseconds tokenPollInterval { 4 };
    // Maximum number of requests of one workspace that may wait here while other holders may still grant tokens.
    constexpr std::uint32_t maxWaitingRequests = 64;
    // An instance requests the tokens that it lacks now, plus its expected demand over this time.
    constexpr double prefetchSeconds = 0.05;
    // A token request without a reply after this time counts as lost.
    constexpr Milliseconds replyTimeout { 60 };
    // Delay before the next request to a holder that granted less than one token.
    constexpr Milliseconds emptyGrantRetryDelay { 100 };
    // Delay before the next request to a holder that did not reply in time.
    constexpr Milliseconds unresponsiveRetryDelay { 1000 };
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

    // A request for tokens that was sent to a holder.
    struct PendingRequest {
        std::uint64_t id;
        TimePoint sentAt;
        std::int64_t milliTokens;
    };

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
    // Token requests that await a reply, by the holder's name.
    std::map<std::string, PendingRequest> pendingRequests;
    // Earliest time of the next request to a holder that granted nothing or did not reply.
    std::map<std::string, TimePoint> retryAt;
    // Index in `shareSlots` of the slot whose holder receives the next request first. It advances after a grant of less
    // than one token, so that another holder comes first.
    std::size_t firstShareIndex = 0;
    // Time and counts of the last "rate_limited" log line.
    TimePoint reportedAt;
    std::uint64_t admittedReported = 0;
    std::uint64_t refusedReported = 0;
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
    , nextRequestId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
{
}

asio::awaitable<tl::expected<void, Refusal>> Admission::admit(std::string workspace, TimePoint deadline)
{
    auto self = this->shared_from_this();
    auto current = this->reserves.read();
    auto found = current->find(workspace);
    if (found == current->end())
        co_return tl::unexpected(notRun("unknown_workspace", "this instance has no rate for the workspace yet"));
    std::shared_ptr<TokenReserve> reserve = found->second;
    ++reserve->arrivals;
    if (reserve->take()) {
        ++reserve->admitted;
        ++this->admittedCount;
        co_return tl::expected<void, Refusal> {};
    }
    TimePoint end = std::min(deadline, Clock::now() + maxTokenWait);
    // Requests beyond this limit are refused at once, since they could not expect a token within `maxTokenWait`.
    bool mayWait = ++reserve->waiting <= reserve->maxWaiting;
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
            account->shareSlots = rankSlots(name, this->slotCount, maxSharesPerWorkspace);
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
        if (slotCountChanged)
            account->shareSlots = rankSlots(name, count, maxSharesPerWorkspace);
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
        for (auto& [name, account] : this->accounts) {
            bool idle = account->reserve->arrivals.load() == account->countedArrivals
                && account->demand < idleDemandPerSecond;
            bool expired = account->bucket.validUntil() <= now;
            if (idle && !expired)
                continue;
            this->refill(*account, now);
            this->requestTokens(name, *account, now);
            this->reportRefusals(name, *account, now);
        }
    }
}

// Writes at most one log line per `reportInterval` and workspace, however many requests were refused.
void Admission::reportRefusals(const std::string& workspace, Account& account, TimePoint now)
{
    std::uint64_t refused = account.reserve->refused.load();
    if (refused == account.refusedReported || now - account.reportedAt < reportInterval)
        return;
    std::uint64_t admitted = account.reserve->admitted.load();
    writeLog(LogLevel::Info, "rate_limited",
        { { "workspace", workspace }, { "admitted", fmt::format("{}", admitted - account.admittedReported) },
            { "refused", fmt::format("{}", refused - account.refusedReported) },
            { "rate", fmt::format("{}", account.workspace.rate) },
            { "units", fmt::format("{}", account.bucket.units()) },
            { "demand", fmt::format("{:.1f}", account.demand) } });
    account.reportedAt = now;
    account.admittedReported = admitted;
    account.refusedReported = refused;
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

// Requests the tokens that the waiting requests lack from one other slot holder, and updates the maximum number of
// waiting requests: many while another holder may still grant tokens, otherwise only as many as the own units can serve
// within `maxTokenWait`.
void Admission::requestTokens(const std::string& workspace, Account& account, TimePoint now)
{
    std::erase_if(account.pendingRequests, [&account, now](const auto& item) {
        bool timedOut = now - item.second.sentAt > replyTimeout;
        if (timedOut)
            account.retryAt[item.first] = now + unresponsiveRetryDelay;
        return timedOut;
    });
    std::int64_t missing = account.reserve->waiting.load() * milliPerToken - account.reserve->level.load();
    // If the same tokens were requested from two holders, both would grant them and half would expire unspent.
    for (const auto& [name, request] : account.pendingRequests)
        missing -= request.milliTokens;
    std::size_t shareCount = account.shareSlots.size();
    bool tokensMayArrive = !account.pendingRequests.empty();
    for (std::size_t i = 0; i < shareCount; ++i) {
        std::uint32_t slot = account.shareSlots[(account.firstShareIndex + i) % shareCount];
        const InstanceRecord* holder = this->membership->holderOf(slot);
        if (!holder || holder->name == this->membership->self().name || account.retryAt[holder->name] > now)
            continue;
        tokensMayArrive = true;
        if (missing <= 0)
            break;
        if (account.pendingRequests.count(holder->name))
            continue;
        missing += static_cast<std::int64_t>(account.demand * prefetchSeconds * milliPerToken);
        wire::Envelope envelope;
        wire::TokenRequest& request = *envelope.mutable_token_request();
        request.set_id(++this->nextRequestId);
        request.set_workspace(workspace);
        request.set_wanted_milli(static_cast<std::uint64_t>(missing));
        account.pendingRequests[holder->name] = { this->nextRequestId, now, missing };
        this->link->send(holder->address, envelope);
        missing = 0;
    }
    double accruedTokens = account.bucket.accrualRate() * std::chrono::duration<double>(maxTokenWait).count();
    account.reserve->maxWaiting = tokensMayArrive ? maxWaitingRequests : 1 + static_cast<std::uint32_t>(accruedTokens);
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
    auto pending = std::find_if(account.pendingRequests.begin(), account.pendingRequests.end(),
        [&](const auto& item) { return item.second.id == reply.id(); });
    // Ignores duplicate replies and replies to requests that have timed out.
    if (pending == account.pendingRequests.end())
        return;
    TimePoint now = Clock::now();
    TimePoint requestedAt = pending->second.sentAt;
    if (reply.tokens_milli() < milliPerToken) {
        account.retryAt[pending->first] = now + emptyGrantRetryDelay;
        ++account.firstShareIndex;
    }
    account.pendingRequests.erase(pending);
    TokenGrant grant { static_cast<std::int64_t>(reply.tokens_milli()), Milliseconds(reply.duration_ms()) };
    this->updateBucket(account, now,
        [&](ShareBucket& bucket, std::int64_t level) { return bucket.receive(requestedAt, now, grant, level); });
    if (account.reserve->waiting.load())
        this->requestTokens(reply.workspace(), account, now);
}

} // namespace catkinlock
