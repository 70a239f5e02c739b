#include "libserver/slot_keeper.h"

#include "catkinlock/log.h"
#include "catkinlock/rendezvous.h"
#include "catkinlock/store_revision.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds maintenanceInterval { 150 };
    // Maintenance interval until the slots of an earlier run have been taken over.
    constexpr Milliseconds startupInterval { 20 };
    // Delay of the first claim, so that the other instances are known by then. An instance that knew of no others would
    // claim all slots and soon release most of them, and each change of a slot's holder costs the fleet a round of
    // gossip.
    constexpr Milliseconds initialClaimDelay { 1200 };
    // The holder stops using its slots earlier than the lease ends, by the lease's duration divided by this number, in
    // case its clock runs slower than the store's.
    constexpr int leaseMarginDivisor = 20;
    // The lease is renewed when its duration divided by this number has passed.
    constexpr int renewDivisor = 3;
    // Delay after a failed renewal of the lease.
    constexpr Milliseconds renewRetryDelay { 500 };

    // True if a slot's value names this instance and its peer address. While this process listens on that address, only
    // an earlier run of the instance can have written the value.
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

std::optional<std::uint32_t> slotOf(const std::string& key)
{
    std::uint32_t slot = 0;
    const char* end = key.data() + key.size();
    auto parsed = std::from_chars(key.data() + std::string_view(slotPrefix).size(), end, slot);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(slot) : std::nullopt;
}

SlotKeeper::SlotKeeper(asio::io_context& context, std::shared_ptr<MetadataStore> store, Options options, Hooks hooks)
    : context(context)
    , store(std::move(store))
    , options(std::move(options))
    , hooks(std::move(hooks))
    , validUntil(Clock::now())
    , renewAt(Clock::now())
    , claims(Clock::now() + initialClaimDelay)
{
}

void SlotKeeper::start()
{
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->context, [self] { return self->runMaintenance(); }, asio::detached);
}

std::string SlotKeeper::keyOf(std::uint32_t slot) const { return fmt::format("{}{:05}", slotPrefix, slot); }

std::size_t SlotKeeper::fairShare() const
{
    std::vector<std::string> fleet = this->hooks.fleet();
    if (std::find(fleet.begin(), fleet.end(), this->options.instance) == fleet.end())
        return 0;
    return (this->options.slotCount + fleet.size() - 1) / fleet.size();
}

// Number of instances that rank before this one for a slot, by rendezvous hashing. Without the ranks, all instances of
// a large fleet would try to claim each free slot at once, and all calls to the store but one would fail.
std::size_t SlotKeeper::rankFor(std::uint32_t slot, const std::vector<std::string>& fleet) const
{
    std::uint64_t own = stableHash(this->options.instance, slot);
    return static_cast<std::size_t>(std::count_if(
        fleet.begin(), fleet.end(), [own, slot](const std::string& name) { return stableHash(name, slot) < own; }));
}

void SlotKeeper::notifyChanged()
{
    if (this->slots != this->loggedSlots) {
        writeLog(LogLevel::Info, "slots_changed",
            { { "slots", fmt::format("{}", this->slots.size()) },
                { "before", fmt::format("{}", this->loggedSlots.size()) },
                { "fair_share", fmt::format("{}", this->fairShare()) } });
        this->loggedSlots = this->slots;
    }
    this->hooks.changed(this->slots, this->validUntil);
}

void SlotKeeper::dropIfExpired()
{
    if (!this->leaseId || Clock::now() < this->validUntil)
        return;
    writeLog(LogLevel::Warning, "slot_lease_over", { { "slots", fmt::format("{}", this->slots.size()) } });
    this->slots.clear();
    this->leaseId = 0;
    this->notifyChanged();
}

asio::awaitable<void> SlotKeeper::runMaintenance()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->context);
    bool takeoverDone = false;
    while (!this->leaving) {
        this->dropIfExpired();
        bool leaseIsOver = this->leaseId && StoreRevision::fromSequence(this->leaseId).era < this->storeEra;
        if (leaseIsOver && Clock::now() >= this->renewAt && !co_await this->reclaim())
            this->renewAt = Clock::now() + renewRetryDelay;
        else if (!leaseIsOver && this->leaseId && Clock::now() >= this->renewAt && !co_await this->renew())
            this->renewAt = Clock::now() + renewRetryDelay;
        if (!takeoverDone)
            takeoverDone = co_await this->takeOverEarlierSlotsAtStart();
        this->followFreeSlots();
        bool missing = takeoverDone && this->slots.size() < this->fairShare();
        if (missing && this->claims.isDue(Clock::now())) {
            std::size_t before = this->slots.size();
            co_await this->claimMissing();
            this->claims.recordRound(this->slots.size() > before, Clock::now());
        }
        if (this->slots.size() > this->fairShare())
            co_await this->releaseSurplus();
        timer.expires_after(takeoverDone ? maintenanceInterval : startupInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::set<std::uint32_t> SlotKeeper::freeSlots() const
{
    std::set<std::uint32_t> free;
    for (std::uint32_t slot = 0; slot < this->options.slotCount; ++slot) {
        if (!this->slots.count(slot) && !this->hooks.isTaken(slot))
            free.insert(slot);
    }
    return free;
}

void SlotKeeper::followFreeSlots()
{
    std::set<std::uint32_t> free = this->freeSlots();
    bool freed = !std::includes(this->lastFreeSlots.begin(), this->lastFreeSlots.end(), free.begin(), free.end());
    this->lastFreeSlots = std::move(free);
    if (!freed)
        return;
    this->claims.recordFreeSlot(Clock::now());
    this->slotsRead = false;
}

// Obtains a lease if there is none. It is called only before slots are claimed, so that instances without slots cause
// no lease renewals.
asio::awaitable<bool> SlotKeeper::ensureLease()
{
    if (this->leaseId)
        co_return true;
    co_return co_await this->renew();
}

// Takes over the slots that an earlier run of this instance left. True once that is done or known to be unnecessary.
asio::awaitable<bool> SlotKeeper::takeOverEarlierSlotsAtStart()
{
    auto mayHoldSlots = this->hooks.mayHoldEarlierSlots();
    if (!mayHoldSlots)
        co_return false;
    if (!*mayHoldSlots)
        co_return true;
    if (!co_await this->readSlots())
        co_return false;
    // Without the permission the slots are taken over together with free ones, later.
    if (!co_await this->mayClaimFreeSlots())
        co_return true;
    if (!co_await this->ensureLease())
        co_return false;
    co_await this->takeOverEarlierSlots();
    co_return true;
}

void SlotKeeper::recordEra(std::int64_t era)
{
    if (era <= this->storeEra)
        return;
    this->storeWasRestored = this->storeEra >= 0;
    this->storeEra = era;
    this->storeEraSince = Clock::now();
    this->eraSettled = false;
    this->slotsRead = false;
    this->earlierSlots.clear();
    this->renewAt = this->storeEraSince;
}

asio::awaitable<bool> SlotKeeper::reclaim()
{
    TimePoint requestedAt = Clock::now();
    auto granted = co_await this->store->grantLease(this->options.leaseSeconds);
    if (!granted)
        co_return false;
    auto range = co_await this->store->readPrefix(slotPrefix);
    if (!range)
        co_return false;
    this->recordEra(StoreRevision::fromSequence(*granted).era);
    bool restored = !StoreRevision::sameEra(this->leaseId, *granted);
    // Without a restore the lease has expired in the store, so other instances may already hold the slots.
    if (!restored)
        this->validUntil = requestedAt;
    this->dropIfExpired();
    std::map<std::string, std::int64_t> revisions;
    for (const KeyValue& value : range->values)
        revisions[value.key] = value.revision;
    std::set<std::uint32_t> lost;
    this->leaseId = *granted;
    for (std::uint32_t slot : std::set<std::uint32_t>(this->slots)) {
        if (!co_await this->claim(slot, revisions[this->keyOf(slot)]))
            lost.insert(slot);
    }
    for (std::uint32_t slot : lost)
        this->slots.erase(slot);
    auto duration = std::chrono::seconds(this->options.leaseSeconds);
    this->validUntil = requestedAt + duration - duration / leaseMarginDivisor;
    this->renewAt = requestedAt + duration / renewDivisor;
    writeLog(LogLevel::Info, "slots_claimed_again",
        { { "era", fmt::format("{}", this->storeEra) }, { "slots", fmt::format("{}", this->slots.size()) },
            { "lost", fmt::format("{}", lost.size()) } });
    this->notifyChanged();
    co_return true;
}

asio::awaitable<bool> SlotKeeper::mayClaimFreeSlots()
{
    if (this->eraSettled)
        co_return true;
    auto found = co_await this->store->read(slotEraKey);
    if (!found)
        co_return false;
    std::string present = fmt::format("{}", this->storeEra);
    std::int64_t revision = *found ? (*found)->revision : 0;
    this->eraSettled = *found && (*found)->value == present;
    if (this->eraSettled)
        co_return true;
    // Without the key no instance has ever held a slot, unless the copy is from before the fleet's first start.
    bool firstStart = !*found && !this->storeWasRestored;
    bool leasesEnded = Clock::now() - this->storeEraSince >= std::chrono::seconds(this->options.leaseSeconds);
    if (firstStart || leasesEnded)
        co_await this->writeSlotEra(revision);
    co_return this->eraSettled;
}

asio::awaitable<void> SlotKeeper::writeSlotEra(std::int64_t expectedRevision)
{
    std::int64_t era = this->storeEra;
    auto written = co_await this->store->swap(slotEraKey, expectedRevision, fmt::format("{}", era), 0);
    this->eraSettled = written && written->swapped && era == this->storeEra;
}

asio::awaitable<bool> SlotKeeper::renew()
{
    TimePoint requestedAt = Clock::now();
    auto duration = std::chrono::seconds(this->options.leaseSeconds);
    if (this->leaseId) {
        auto renewed = co_await this->store->keepLeaseAlive(this->leaseId);
        if (!renewed)
            co_return false;
        if (!*renewed)
            co_return co_await this->reclaim();
    } else {
        auto granted = co_await this->store->grantLease(this->options.leaseSeconds);
        if (!granted)
            co_return false;
        this->leaseId = *granted;
    }
    this->validUntil = requestedAt + duration - duration / leaseMarginDivisor;
    this->renewAt = requestedAt + duration / renewDivisor;
    this->notifyChanged();
    co_return true;
}

asio::awaitable<void> SlotKeeper::claimMissing()
{
    std::size_t wanted = this->fairShare();
    std::vector<std::string> fleet = this->hooks.fleet();
    std::vector<std::uint32_t> candidates;
    for (std::uint32_t slot : this->freeSlots()) {
        if (this->rankFor(slot, fleet) <= this->claims.maxRank())
            candidates.push_back(slot);
    }
    if (candidates.empty())
        co_return;
    if (!this->slotsRead && !co_await this->readSlots())
        co_return;
    if (!co_await this->mayClaimFreeSlots() || !co_await this->ensureLease())
        co_return;
    co_await this->takeOverEarlierSlots();
    for (std::uint32_t slot : candidates) {
        if (this->slots.size() >= wanted || this->leaving)
            break;
        if (this->slots.count(slot) || this->takenByOthers.count(slot) || this->hooks.isTaken(slot))
            continue;
        if (!co_await this->claim(slot, 0))
            this->takenByOthers.insert(slot);
        if (!this->leaseId)
            co_return;
    }
    // Slots that others held may be free by the next round, so the slots are read again unless enough are held.
    this->slotsRead = this->slots.size() >= wanted;
    this->notifyChanged();
}

// Claims the slots of an earlier run. That run has ended, since this process listens on the same address.
asio::awaitable<void> SlotKeeper::takeOverEarlierSlots()
{
    for (auto [slot, revision] : std::exchange(this->earlierSlots, {})) {
        if (this->leaseId)
            co_await this->claim(slot, revision);
    }
    this->notifyChanged();
}

asio::awaitable<bool> SlotKeeper::readSlots()
{
    auto range = co_await this->store->readPrefix(slotPrefix);
    if (!range)
        co_return false;
    this->recordEra(StoreRevision::fromSequence(range->revision).era);
    this->takenByOthers.clear();
    for (const KeyValue& value : range->values) {
        auto slot = slotOf(value.key);
        if (!slot)
            continue;
        if (!this->slots.count(*slot) && isHeldBy(value.value, this->options.instance, this->options.peerAddress))
            this->earlierSlots[*slot] = value.revision;
        else
            this->takenByOthers.insert(*slot);
    }
    this->slotsRead = true;
    co_return true;
}

asio::awaitable<bool> SlotKeeper::claim(std::uint32_t slot, std::int64_t expectedRevision)
{
    std::int64_t claimLeaseId = this->leaseId;
    std::string value = boost::json::serialize(boost::json::object {
        { "instance", this->options.instance }, { "peer", this->options.peerAddress }, { "lease", claimLeaseId } });
    auto swapped = co_await this->store->swap(this->keyOf(slot), expectedRevision, value, claimLeaseId);
    bool owned = swapped && swapped->swapped;
    if (!swapped && swapped.error().mayHaveRun) {
        // The write may have been applied although the call failed; the key's value shows who holds the slot.
        auto found = co_await this->store->read(this->keyOf(slot));
        owned = found && *found && (*found)->value == value && StoreRevision::sameEra((*found)->revision, claimLeaseId);
    }
    // The lease may have expired or been replaced while the call was in progress.
    if (owned && this->leaseId == claimLeaseId && !this->leaving)
        this->slots.insert(slot);
    co_return owned;
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
    std::int64_t releaseLeaseId = this->leaseId;
    this->notifyChanged();
    asio::steady_timer timer(this->context, this->options.releaseDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    for (std::uint32_t slot : surplus) {
        auto found = co_await this->store->read(this->keyOf(slot));
        bool owned = found && *found && this->leaseId == releaseLeaseId
            && StoreRevision::sameEra((*found)->revision, releaseLeaseId);
        if (owned)
            co_await this->store->swap(this->keyOf(slot), (*found)->revision, std::nullopt, 0);
    }
}

asio::awaitable<void> SlotKeeper::releaseAll(TimePoint deadline)
{
    auto self = this->shared_from_this();
    this->leaving = true;
    this->slots.clear();
    this->notifyChanged();
    asio::steady_timer timer(this->context, std::min<Duration>(deadline - Clock::now(), this->options.releaseDelay));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->leaseId)
        co_await this->store->revokeLease(this->leaseId);
}

} // namespace catkinlock
