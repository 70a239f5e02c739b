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
    constexpr Milliseconds waitStep { 5 };
    // Requests of one workspace that may wait here at once.
    constexpr std::uint32_t mostWaiting = 256;
    // A loan that ends within this time is already replaced.
    constexpr Milliseconds renewAhead { 150 };
    // Least time between two requests to the same lender, and after one that had nothing to spare.
    constexpr Milliseconds askInterval { 60 };
    constexpr Milliseconds askAgainAfterNothing { 200 };
    // Lenders that are asked at once.
    constexpr std::size_t mostAsked = 3;
    // Requests a second below which a workspace counts as idle here.
    constexpr double idleDemand = 0.01;
    constexpr double demandTimeConstantSeconds = 0.3;
    // A borrower holds this many times what its demand takes.
    constexpr double borrowMargin = 1.1;
    // It gives back what is over this many times its demand.
    constexpr double surplusMargin = 1.3;
    constexpr Milliseconds reportInterval { 2000 };
    constexpr std::size_t mostKnownLenders = 256;

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
    };

    Workspace workspace;
    ShareBucket bucket;
    std::shared_ptr<Purse> purse;
    std::vector<std::uint32_t> shareSlots;
    // Arrivals a second, smoothed.
    double demand = 0;
    std::uint64_t arrivalsSeen = 0;
    TimePoint measuredAt;
    std::map<std::string, Asked> asked;
    std::map<std::string, TimePoint> askAgainAt;
    // Address of the lender of each loan that is held.
    std::map<std::uint64_t, std::string> lenders;
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
    , nextLoanId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
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
    bool mayWait = ++purse->waiting <= mostWaiting;
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
    // The account of a deleted workspace stays: units that it lent must not be counted anew if the workspace comes
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
            [&](ShareBucket& bucket, std::int64_t level) { return bucket.setHome(units, validUntil, level); });
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
            this->giveBackSurplus(name, *account, now);
            this->borrowFor(name, *account, now);
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

// A session that has roamed elsewhere needs there what it left here.
void Admission::giveBackSurplus(const std::string& workspace, Account& account, TimePoint now)
{
    std::uint64_t needed = account.bucket.unitsFor(account.demand * surplusMargin);
    std::vector<ShareLoan> returned;
    this->change(account, now, [&](ShareBucket& bucket, std::int64_t level) {
        returned = bucket.giveBack(needed, level);
        return level;
    });
    for (const ShareLoan& loan : returned) {
        wire::Envelope envelope;
        wire::LoanReturn& message = *envelope.mutable_loan_return();
        message.set_workspace(workspace);
        message.set_loan(loan.id);
        message.set_tokens_milli(static_cast<std::uint64_t>(std::max<std::int64_t>(loan.milliTokens, 0)));
        this->link->send(account.lenders[loan.id], envelope);
        account.lenders.erase(loan.id);
    }
    // Lenders of loans that ended on their own are forgotten in time.
    if (account.lenders.size() > mostKnownLenders)
        account.lenders.erase(account.lenders.begin());
}

void Admission::borrowFor(const std::string& workspace, Account& account, TimePoint now)
{
    // Without this an idle instance would renew its last loan for ever.
    if (account.demand < idleDemand)
        return;
    std::uint64_t have = account.bucket.unitsAt(now + renewAhead);
    // Enough for the demand, and for at least one token's burst.
    std::uint64_t wanted = account.bucket.unitsFor(account.demand * borrowMargin);
    bool empty = account.purse->level.load() < milliPerToken;
    std::uint64_t forOneToken = unitsPerWorkspace / account.workspace.burst + 1;
    if (empty)
        wanted = std::max(wanted, have + 2 * forOneToken);
    if (wanted <= have)
        return;
    std::uint64_t missing = std::min(wanted - have, unitsPerWorkspace);
    std::size_t askedNow = 0;
    for (std::size_t i = 0; i < account.shareSlots.size() && askedNow < mostAsked; ++i) {
        std::uint32_t slot = account.shareSlots[(account.turn + i) % account.shareSlots.size()];
        const InstanceRecord* holder = this->membership->holderOf(slot);
        if (!holder || holder->name == this->membership->self().name || account.askAgainAt[holder->name] > now)
            continue;
        wire::Envelope envelope;
        wire::LoanRequest& request = *envelope.mutable_loan_request();
        request.set_id(++this->nextLoanId);
        request.set_workspace(workspace);
        request.set_wanted_units(missing);
        request.set_duration_ms(static_cast<std::uint32_t>(loanDuration.count()));
        account.asked[holder->name] = { this->nextLoanId, now };
        account.askAgainAt[holder->name] = now + askInterval;
        this->link->send(holder->address, envelope);
        ++askedNow;
    }
    ++account.turn;
}

void Admission::receiveLoanRequest(const std::string& sender, const wire::LoanRequest& request)
{
    auto found = this->accounts.find(request.workspace());
    Milliseconds duration(std::min<std::int64_t>(request.duration_ms(), loanDuration.count()));
    std::optional<ShareLoan> loan;
    if (found != this->accounts.end()) {
        Account& account = *found->second;
        TimePoint now = Clock::now();
        std::uint64_t id = ++this->nextLoanId;
        this->refill(account, now);
        this->change(account, now, [&](ShareBucket& bucket, std::int64_t level) {
            loan = bucket.lend(id, now, request.wanted_units(), duration, account.demand, level);
            return level;
        });
    }
    wire::Envelope envelope;
    wire::LoanReply& reply = *envelope.mutable_loan_reply();
    reply.set_id(request.id());
    reply.set_workspace(request.workspace());
    if (loan) {
        reply.set_loan(loan->id);
        reply.set_units(loan->units);
        reply.set_tokens_milli(static_cast<std::uint64_t>(loan->milliTokens));
        reply.set_duration_ms(static_cast<std::uint32_t>(loan->duration.count()));
    }
    // The lender has debited before it sends; what is lost on the way is lost, never doubled.
    this->link->send(sender, envelope);
}

void Admission::receiveLoanReply(const std::string& sender, const wire::LoanReply& reply)
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
    if (!reply.units())
        account.askAgainAt[asked->first] = now + askAgainAfterNothing;
    ShareLoan loan { reply.loan(), reply.units(), static_cast<std::int64_t>(reply.tokens_milli()),
        Milliseconds(reply.duration_ms()) };
    TimePoint askedAt = asked->second.at;
    account.asked.erase(asked);
    if (!loan.units)
        return;
    account.lenders[loan.id] = sender;
    this->change(account, now,
        [&](ShareBucket& bucket, std::int64_t level) { return bucket.borrow(askedAt, now, loan, level); });
}

void Admission::receiveLoanReturn(const wire::LoanReturn& message)
{
    auto found = this->accounts.find(message.workspace());
    if (found == this->accounts.end())
        return;
    this->change(*found->second, Clock::now(), [&](ShareBucket& bucket, std::int64_t level) {
        return bucket.takeBack(message.loan(), static_cast<std::int64_t>(message.tokens_milli()), level);
    });
}

} // namespace catkinlock
