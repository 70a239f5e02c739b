#include "libserver/slot_keeper.h"

#include "catkinlock/log.h"
#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds keepInterval { 150 };
    constexpr Milliseconds startInterval { 20 };
    // Time to learn of the other instances before the first claim. One that claims alone has to give most of it back,
    // and each change of hands costs the fleet a round of gossip.
    constexpr Milliseconds learningTime { 1200 };
    // The holder stops this part of the lease early, for clocks that run at different speeds.
    constexpr int leaseMarginDivisor = 20;
    // The lease is renewed after this part of it.
    constexpr int renewDivisor = 3;
    // What a slot stands for may be in use this much longer, and only then is it given back.
    constexpr Milliseconds releaseDelay { 2500 };
    constexpr Milliseconds firstClaimPause { 500 };
    constexpr Milliseconds longestClaimPause { 30000 };
    // The instances that may claim a slot double with each round, this many times; after that all may.
    constexpr unsigned mostDoublings = 10;

    // True if a slot's value names this instance at this address. Nobody else can listen there.
    bool isHeldBy(const std::string& text, const std::string& instance, const std::string& peerAddress)
    {
        boost::json::error_code error;
        boost::json::value value = boost::json::parse(text, error);
        const boost::json::object* object = error ? nullptr : value.if_object();
        const boost::json::value* name = object ? object->if_contains("instance") : nullptr;
        const boost::json::value* peer = object ? object->if_contains("peer") : nullptr;
        return name && peer && *name == boost::json::value(instance) && *peer == boost::json::value(peerAddress);
    }

} // namespace

SlotKeeper::SlotKeeper(asio::io_context& context, std::shared_ptr<MetadataStore> platform, Options options, Hooks hooks)
    : context(context)
    , platform(std::move(platform))
    , options(std::move(options))
    , hooks(std::move(hooks))
    , validUntil(Clock::now())
    , renewAt(Clock::now())
{
}

void SlotKeeper::start()
{
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->context, [self] { return self->keep(); }, asio::detached);
}

std::string SlotKeeper::keyOf(std::uint32_t slot) const { return fmt::format("{}{:05}", slotPrefix, slot); }

std::size_t SlotKeeper::fairShare() const
{
    std::size_t fleet = std::max<std::size_t>(this->hooks.fleet().size(), 1);
    return (this->options.slotCount + fleet - 1) / fleet;
}

// Instances that go before this one in the order of those for a slot. Without the order a large fleet would race for
// each slot, and all but one would have asked the store in vain.
std::size_t SlotKeeper::rankFor(std::uint32_t slot, const std::vector<std::string>& fleet) const
{
    std::uint64_t own = stableHash(this->options.instance, slot);
    return static_cast<std::size_t>(std::count_if(
        fleet.begin(), fleet.end(), [own, slot](const std::string& name) { return stableHash(name, slot) < own; }));
}

void SlotKeeper::announce() { this->hooks.changed(this->slots, this->validUntil); }

void SlotKeeper::dropIfOver()
{
    if (!this->lease || Clock::now() < this->validUntil)
        return;
    writeLog(LogLevel::Warning, "slot_lease_over", { { "slots", fmt::format("{}", this->slots.size()) } });
    this->slots.clear();
    this->lease = 0;
    this->announce();
}

asio::awaitable<void> SlotKeeper::keep()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->context);
    Milliseconds claimPause = firstClaimPause;
    TimePoint claimAt = Clock::now() + learningTime;
    bool tookOver = false;
    while (!this->leaving) {
        this->dropIfOver();
        if (this->lease && Clock::now() >= this->renewAt && !co_await this->renew())
            this->renewAt = Clock::now() + claimPause;
        if (!tookOver)
            tookOver = co_await this->takeOverAtStart();
        bool missing = tookOver && this->slots.size() < this->fairShare();
        if (missing && Clock::now() >= claimAt) {
            std::size_t before = this->slots.size();
            co_await this->claimMissing();
            bool gained = this->slots.size() > before;
            bool inOrder = this->rounds < mostDoublings;
            claimPause = gained || inOrder ? firstClaimPause : std::min(claimPause * 2, longestClaimPause);
            claimAt = Clock::now() + claimPause;
        }
        if (this->slots.size() > this->fairShare())
            co_await this->releaseSurplus();
        timer.expires_after(tookOver ? keepInterval : startInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Instances without slots hold no lease.
asio::awaitable<bool> SlotKeeper::ensureLease()
{
    if (this->lease)
        co_return true;
    co_return co_await this->renew();
}

// Takes the slots that an earlier start held. True once that is settled.
asio::awaitable<bool> SlotKeeper::takeOverAtStart()
{
    auto mayHave = this->hooks.mayHaveLeftSlots();
    if (!mayHave)
        co_return false;
    if (!*mayHave)
        co_return true;
    if (!co_await this->ensureLease())
        co_return false;
    if (!co_await this->readSlots())
        co_return false;
    co_await this->takeOver();
    co_return true;
}

asio::awaitable<bool> SlotKeeper::renew()
{
    TimePoint askedAt = Clock::now();
    auto duration = std::chrono::seconds(this->options.leaseSeconds);
    bool kept = false;
    if (this->lease) {
        auto renewed = co_await this->platform->keepLeaseAlive(this->lease);
        if (!renewed)
            co_return false;
        kept = *renewed;
        if (!kept) {
            // The platform says that the lease is over, so others may have the slots already.
            this->validUntil = askedAt;
            this->dropIfOver();
        }
    }
    if (!kept) {
        askedAt = Clock::now();
        auto granted = co_await this->platform->grantLease(this->options.leaseSeconds);
        if (!granted)
            co_return false;
        this->lease = *granted;
    }
    this->validUntil = askedAt + duration - duration / leaseMarginDivisor;
    this->renewAt = askedAt + duration / renewDivisor;
    this->announce();
    co_return true;
}

asio::awaitable<void> SlotKeeper::claimMissing()
{
    std::size_t wanted = this->fairShare();
    std::vector<std::string> fleet = this->hooks.fleet();
    std::size_t mostRank = this->rounds < mostDoublings ? (std::size_t { 1 } << this->rounds) - 1 : fleet.size();
    ++this->rounds;
    std::vector<std::uint32_t> free;
    for (std::uint32_t slot = 0; slot < this->options.slotCount; ++slot) {
        if (!this->slots.count(slot) && !this->hooks.isTaken(slot) && this->rankFor(slot, fleet) <= mostRank)
            free.push_back(slot);
    }
    if (free.empty())
        co_return;
    if (!co_await this->ensureLease())
        co_return;
    if (!this->slotsRead && !co_await this->readSlots())
        co_return;
    co_await this->takeOver();
    for (std::uint32_t slot : free) {
        if (this->slots.size() >= wanted || this->leaving)
            break;
        if (this->slots.count(slot) || this->takenByOthers.count(slot) || this->hooks.isTaken(slot))
            continue;
        if (!co_await this->claim(slot, 0))
            this->takenByOthers.insert(slot);
        if (!this->lease)
            co_return;
    }
    // What others held may have come free by the next round.
    this->slotsRead = this->slots.size() >= wanted;
    this->announce();
}

// An earlier start on this address has ended, so its slots are this one's.
asio::awaitable<void> SlotKeeper::takeOver()
{
    for (auto [slot, revision] : std::exchange(this->leftBehind, {})) {
        if (this->lease)
            co_await this->claim(slot, revision);
    }
    this->announce();
}

asio::awaitable<bool> SlotKeeper::readSlots()
{
    auto range = co_await this->platform->readPrefix(slotPrefix);
    if (!range)
        co_return false;
    this->takenByOthers.clear();
    for (const KeyValue& value : range->values) {
        auto slot = static_cast<std::uint32_t>(
            std::strtoul(value.key.substr(std::string_view(slotPrefix).size()).c_str(), nullptr, 10));
        if (!this->slots.count(slot) && isHeldBy(value.value, this->options.instance, this->options.peerAddress))
            this->leftBehind[slot] = value.revision;
        else
            this->takenByOthers.insert(slot);
    }
    this->slotsRead = true;
    co_return true;
}

asio::awaitable<bool> SlotKeeper::claim(std::uint32_t slot, std::int64_t expected)
{
    std::int64_t claimLease = this->lease;
    std::string value = boost::json::serialize(boost::json::object {
        { "instance", this->options.instance }, { "peer", this->options.peerAddress }, { "lease", claimLease } });
    auto swapped = co_await this->platform->swap(this->keyOf(slot), expected, value, claimLease);
    bool mine = swapped && swapped->swapped;
    if (!swapped && swapped.error().mayHaveRun) {
        // The answer is lost; the key tells who has the slot.
        auto found = co_await this->platform->read(this->keyOf(slot));
        mine = found && *found && (*found)->value == value;
    }
    // The lease may have ended while the answer was on its way.
    if (mine && this->lease == claimLease && !this->leaving)
        this->slots.insert(slot);
    co_return mine;
}

asio::awaitable<void> SlotKeeper::releaseSurplus()
{
    std::set<std::uint32_t> surplus;
    auto it = this->slots.rbegin();
    for (std::size_t extra = this->slots.size() - this->fairShare(); extra; --extra)
        surplus.insert(*it++);
    co_await this->release(std::move(surplus));
}

asio::awaitable<void> SlotKeeper::release(std::set<std::uint32_t> surplus)
{
    for (std::uint32_t slot : surplus)
        this->slots.erase(slot);
    std::int64_t releaseLease = this->lease;
    this->announce();
    asio::steady_timer timer(this->context, releaseDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    for (std::uint32_t slot : surplus) {
        auto found = co_await this->platform->read(this->keyOf(slot));
        bool mine = found && *found && this->lease == releaseLease;
        if (mine)
            co_await this->platform->swap(this->keyOf(slot), (*found)->revision, std::nullopt, 0);
    }
}

asio::awaitable<void> SlotKeeper::releaseAll(TimePoint deadline)
{
    auto self = this->shared_from_this();
    this->leaving = true;
    this->slots.clear();
    this->announce();
    asio::steady_timer timer(this->context, std::min<Duration>(deadline - Clock::now(), releaseDelay));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->lease)
        co_await this->platform->revokeLease(this->lease);
}

} // namespace catkinlock
