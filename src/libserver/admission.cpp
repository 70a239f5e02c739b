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
    // Longest wait of a request for a token, and between two looks.
    constexpr Milliseconds longestWait { 150 };
    constexpr Milliseconds waitStep { 4 };
    // Requests of one workspace that may wait here while tokens may still come from elsewhere.
    constexpr std::uint32_t mostWaiting = 64;
    // What an instance asks for beyond what it lacks now: its demand of this time.
    constexpr double prefetchSeconds = 0.05;
    // An answer that takes longer counts as lost.
    constexpr Milliseconds answerTimeout { 60 };
    // A holder without a token to spare is asked again after this time.
    constexpr Milliseconds askAgainAfterNothing { 100 };
    // One that did not answer is left alone for this time.
    constexpr Milliseconds askAgainAfterSilence { 1000 };
    // Requests a second below which a workspace counts as idle here.
    constexpr double idleDemand = 0.01;
    constexpr double demandTimeConstantSeconds = 0.3;
    // A holder keeps what its own demand takes in this time.
    constexpr double reservedSeconds = 0.1;
    constexpr Milliseconds reportInterval { 2000 };

} // namespace

struct Admission::Account {
    Account(const Workspace& workspace, TimePoint now)
        : workspace(workspace)
        , bucket(workspace.rate, workspace.burst, now)
        , purse(std::make_shared<Purse>())
        , measuredAt(now)
    {
    }

    struct Asked {
        std::uint64_t id;
        TimePoint at;
        std::int64_t milliTokens;
    };

    Workspace workspace;
    ShareBucket bucket;
    std::shared_ptr<Purse> purse;
    std::vector<std::uint32_t> shareSlots;
    // Arrivals a second, smoothed.
    double demand = 0;
    std::uint64_t arrivalsSeen = 0;
    TimePoint measuredAt;
    // Requests without an answer, by the holder's name.
    std::map<std::string, Asked> asked;
    // Holders that had nothing to spare, and when they are asked again.
    std::map<std::string, TimePoint> askAgainAt;
    // The place in `shareSlots` of the holder that is asked first.
    std::size_t turn = 0;
    TimePoint reportedAt;
    std::uint64_t admittedReported = 0;
    std::uint64_t refusedReported = 0;
};

bool Admission::Purse::take()
{
    std::int64_t held = this->level.load();
    while (held >= milliPerToken) {
        // A holder that was paused past the end of its units has nothing to spend.
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
    , slotsValidUntil(Clock::now())
    , nextRequestId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
{
}

asio::awaitable<tl::expected<void, Refusal>> Admission::admit(std::string workspace, TimePoint deadline)
{
    auto self = this->shared_from_this();
    auto current = this->purses.read();
    auto found = current->find(workspace);
    if (found == current->end())
        co_return tl::unexpected(notRun("unknown_workspace", "the workspace has no rate yet"));
    std::shared_ptr<Purse> purse = found->second;
    ++purse->arrivals;
    if (purse->take()) {
        ++purse->admitted;
        ++this->admittedCount;
        co_return tl::expected<void, Refusal> {};
    }
    TimePoint end = std::min(deadline, Clock::now() + longestWait);
    // More than this would wait in vain.
    bool mayWait = ++purse->waiting <= purse->waitingRoom;
    if (mayWait)
        asio::post(this->control, [self, workspace] { self->serveShortage(workspace); });
    bool taken = false;
    while (mayWait && !taken && Clock::now() < end) {
        asio::steady_timer timer(this->requests, waitStep);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        taken = purse->take();
    }
    --purse->waiting;
    ++(taken ? this->admittedCount : this->refusedCount);
    ++(taken ? purse->admitted : purse->refused);
    if (!taken)
        co_return tl::unexpected(notRun("rate_exceeded", "the workspace is at its rate; try again later"));
    co_return tl::expected<void, Refusal> {};
}

void Admission::refund(const std::string& workspace)
{
    auto current = this->purses.read();
    auto found = current->find(workspace);
    if (found != current->end())
        found->second->level += milliPerToken;
}

// Applies a change to the bucket and the level together, although requests take tokens meanwhile.
template <typename Change> void Admission::change(Account& account, TimePoint now, Change change)
{
    std::int64_t before = account.purse->level.load();
    for (;;) {
        ShareBucket next = account.bucket;
        std::int64_t after = change(next, next.advance(now, before));
        if (account.purse->level.compare_exchange_weak(before, after)) {
            account.bucket = std::move(next);
            break;
        }
    }
    account.purse->validUntil.store(account.bucket.validUntil());
}

void Admission::updateTables(const Tables& tables)
{
    TimePoint now = Clock::now();
    Purses next;
    for (const auto& item : tables.workspaces) {
        const std::string& name = item.first;
        const Workspace& workspace = item.second;
        auto& account = this->accounts[name];
        if (!account) {
            account = std::make_shared<Account>(workspace, now);
            account->shareSlots = rankSlots(name, this->slotCount, sharesPerWorkspace);
        } else if (account->workspace != workspace) {
            writeLog(LogLevel::Info, "rate_changed",
                { { "workspace", name }, { "rate", fmt::format("{}", workspace.rate) },
                    { "burst", fmt::format("{}", workspace.burst) } });
            account->workspace = workspace;
            this->change(*account, now, [&](ShareBucket& bucket, std::int64_t level) {
                return bucket.setRate(workspace.rate, workspace.burst, level);
            });
        }
        next[name] = account->purse;
    }
    // The account of a deleted workspace stays: tokens that it granted must not be counted anew if the workspace comes
    // back.
    if (next != *this->purses.read())
        this->purses.replace(next);
    this->updateSlots(this->slots, this->slotsValidUntil, this->slotCount);
}

void Admission::updateSlots(const std::set<std::uint32_t>& held, TimePoint validUntil, std::uint32_t count)
{
    TimePoint now = Clock::now();
    bool recount = count != this->slotCount;
    this->slots = held;
    this->slotsValidUntil = validUntil;
    this->slotCount = count;
    for (auto& [name, account] : this->accounts) {
        if (recount)
            account->shareSlots = rankSlots(name, count, sharesPerWorkspace);
        std::uint64_t mine = 0;
        for (std::uint32_t slot : account->shareSlots)
            mine += held.count(slot);
        std::uint64_t units = mine * (unitsPerWorkspace / account->shareSlots.size());
        this->change(*account, now,
            [&](ShareBucket& bucket, std::int64_t level) { return bucket.setUnits(units, validUntil, level); });
    }
}

void Admission::start()
{
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->control, [self] { return self->tick(); }, asio::detached);
}

asio::awaitable<void> Admission::tick()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->control);
    while (!this->stopped) {
        timer.expires_after(refillInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        TimePoint now = Clock::now();
        for (auto& [name, account] : this->accounts) {
            bool idle = account->purse->arrivals.load() == account->arrivalsSeen && account->demand < idleDemand;
            bool ending = account->bucket.validUntil() <= now;
            if (idle && !ending)
                continue;
            this->refill(*account, now);
            this->askForTokens(name, *account, now);
            this->reportRefusals(name, *account, now);
        }
    }
}

// One line for all refusals of a while, whatever a workspace sends.
void Admission::reportRefusals(const std::string& workspace, Account& account, TimePoint now)
{
    std::uint64_t refused = account.purse->refused.load();
    if (refused == account.refusedReported || now - account.reportedAt < reportInterval)
        return;
    std::uint64_t admitted = account.purse->admitted.load();
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

void Admission::refill(Account& account, TimePoint now)
{
    this->change(account, now, [](ShareBucket&, std::int64_t level) { return level; });
    double seconds = std::chrono::duration<double>(now - account.measuredAt).count();
    std::uint64_t arrivals = account.purse->arrivals.load();
    double rate = static_cast<double>(arrivals - account.arrivalsSeen) / std::max(seconds, 1e-6);
    double weight = 1 - std::exp(-seconds / demandTimeConstantSeconds);
    account.demand += weight * (rate - account.demand);
    account.arrivalsSeen = arrivals;
    account.measuredAt = now;
}

// A request waits for a token.
void Admission::serveShortage(const std::string& workspace)
{
    auto found = this->accounts.find(workspace);
    if (found == this->accounts.end())
        return;
    TimePoint now = Clock::now();
    this->refill(*found->second, now);
    this->askForTokens(workspace, *found->second, now);
}

// Asks holders for the tokens that the waiting requests lack. Who may wait follows from whether some can still come.
void Admission::askForTokens(const std::string& workspace, Account& account, TimePoint now)
{
    std::erase_if(account.asked, [&account, now](const auto& item) {
        bool silent = now - item.second.at > answerTimeout;
        if (silent)
            account.askAgainAt[item.first] = now + askAgainAfterSilence;
        return silent;
    });
    std::int64_t missing = account.purse->waiting.load() * milliPerToken - account.purse->level.load();
    // Two holders asked for the same tokens would both grant them, and half would end unspent.
    for (const auto& [name, request] : account.asked)
        missing -= request.milliTokens;
    std::size_t slotCountHere = account.shareSlots.size();
    bool someMayCome = !account.asked.empty();
    for (std::size_t i = 0; i < slotCountHere; ++i) {
        std::uint32_t slot = account.shareSlots[(account.turn + i) % slotCountHere];
        const InstanceRecord* holder = this->membership->holderOf(slot);
        if (!holder || holder->name == this->membership->self().name || account.askAgainAt[holder->name] > now)
            continue;
        someMayCome = true;
        if (missing <= 0)
            break;
        if (account.asked.count(holder->name))
            continue;
        missing += static_cast<std::int64_t>(account.demand * prefetchSeconds * milliPerToken);
        wire::Envelope envelope;
        wire::TokenRequest& request = *envelope.mutable_token_request();
        request.set_id(++this->nextRequestId);
        request.set_workspace(workspace);
        request.set_wanted_milli(static_cast<std::uint64_t>(missing));
        account.asked[holder->name] = { this->nextRequestId, now, missing };
        this->link->send(holder->address, envelope);
        missing = 0;
    }
    double accrued = account.bucket.accrualRate() * std::chrono::duration<double>(longestWait).count();
    account.purse->waitingRoom = someMayCome ? mostWaiting : 1 + static_cast<std::uint32_t>(accrued);
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
            + account.purse->waiting.load() * milliPerToken;
        this->change(account, now, [&](ShareBucket& bucket, std::int64_t level) {
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
    // The holder has debited before it sends; what is lost on the way is lost, never doubled.
    this->link->send(sender, envelope);
}

void Admission::receiveTokenReply(const wire::TokenReply& reply)
{
    auto found = this->accounts.find(reply.workspace());
    if (found == this->accounts.end())
        return;
    Account& account = *found->second;
    auto asked = std::find_if(
        account.asked.begin(), account.asked.end(), [&](const auto& item) { return item.second.id == reply.id(); });
    // Doubled and forgotten answers are not taken in.
    if (asked == account.asked.end())
        return;
    TimePoint now = Clock::now();
    TimePoint askedAt = asked->second.at;
    if (reply.tokens_milli() < milliPerToken) {
        account.askAgainAt[asked->first] = now + askAgainAfterNothing;
        ++account.turn;
    }
    account.asked.erase(asked);
    TokenGrant grant { static_cast<std::int64_t>(reply.tokens_milli()), Milliseconds(reply.duration_ms()) };
    this->change(account, now,
        [&](ShareBucket& bucket, std::int64_t level) { return bucket.receive(askedAt, now, grant, level); });
    if (account.purse->waiting.load())
        this->askForTokens(reply.workspace(), account, now);
}

} // namespace catkinlock
