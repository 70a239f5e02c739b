#include "libsession/leader_lease.h"

#include "catkinlock/store_revision.h"
#include "libsession/spawn.h"
#include "libsession/time_source.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Between two checks of an idle lease.
    constexpr Milliseconds idleCheckInterval { 100 };
    // Between two checks whether another call on the lease has ended.
    constexpr Milliseconds changeCheckInterval { 5 };

} // namespace

LeaderLease::LeaderLease(asio::io_context& context, Parts parts, Hooks hooks)
    : context(context)
    , parts(std::move(parts))
    , hooks(std::move(hooks))
    , decisions(this->parts.instance, this->parts.time->now())
{
}

asio::awaitable<bool> LeaderLease::obtain(std::optional<StoredLeader> stored, HolderContact contact, bool urgent)
{
    auto self = this->shared_from_this();
    while (this->changing)
        co_await this->parts.time->sleepFor(changeCheckInterval);
    LeaderStep step = this->decisions.next(stored, contact, urgent, this->parts.time->now());
    if (step != LeaderStep::Act) {
        this->changing = true;
        bool taken = co_await this->take(step, stored ? stored->revision : 0);
        this->changing = false;
        if (!taken)
            co_return false;
        this->hooks.obtained(step, stored ? stored->record.holder : "", this->decisions.fencingToken());
    }
    ++this->replacements;
    co_return true;
}

asio::awaitable<bool> LeaderLease::take(LeaderStep step, std::int64_t expectedRevision)
{
    if (step == LeaderStep::Resume)
        co_return co_await this->resume();
    if (step == LeaderStep::Acquire || step == LeaderStep::TakeOver)
        co_return co_await this->acquire(expectedRevision);
    co_return false;
}

// Writes the record if the stored one is at `expectedRevision` (0: there is none). Returns the new revision, or 0 if it
// was not written or if that is not known.
asio::awaitable<std::int64_t> LeaderLease::write(std::int64_t expectedRevision, LeaderRecord record)
{
    std::string value = writeLeaderRecord(record);
    auto swapped = co_await this->parts.store->swap(leaderLeaseKey, expectedRevision, value, record.leaseId);
    if (swapped)
        co_return swapped->swapped ? swapped->revision : 0;
    if (!swapped.error().mayHaveRun)
        co_return 0;
    // The response was lost; read the key to find out whether the write took effect.
    auto found = co_await this->parts.store->read(leaderLeaseKey);
    // In a later era of the store, the record is under a lease of another instance.
    bool written = found && *found && (*found)->value == value && (*found)->revision > expectedRevision
        && StoreRevision::sameEra((*found)->revision, record.leaseId);
    co_return written ? (*found)->revision : 0;
}

// Writes this instance's record, under a new lease, in place of the one at `expectedRevision`. Returns false if another
// instance was faster or the store failed.
asio::awaitable<bool> LeaderLease::acquire(std::int64_t expectedRevision)
{
    // No replacement goes on under an earlier lease once another one is requested.
    this->decisions.recordLoss();
    TimePoint requestedAt = this->parts.time->now();
    auto leaseId = co_await this->parts.store->grantLease(static_cast<std::uint32_t>(leaderLeaseDuration.count()));
    if (!leaseId)
        co_return false;
    this->requestedLease = *leaseId;
    LeaderRecord record { LeaderRecord::State::Acting, this->parts.instance, *leaseId };
    std::int64_t revision = co_await this->write(expectedRevision, record);
    if (revision)
        this->decisions.recordActing({ record, revision }, requestedAt);
    if (revision && expectedRevision)
        this->decisions.recordTakeOver(this->parts.time->now());
    bool mayAct = revision && this->decisions.mayAct(this->parts.time->now());
    // Another instance was faster, or the store took so long that too little of the lease is left.
    if (!mayAct) {
        this->decisions.recordLoss();
        co_await this->parts.store->revokeLease(*leaseId);
    }
    this->requestedLease = 0;
    co_return mayAct;
}

asio::awaitable<bool> LeaderLease::resume()
{
    StoredLeader held = *this->decisions.held();
    held.record.state = LeaderRecord::State::Acting;
    std::int64_t revision = co_await this->write(held.revision, held.record);
    if (revision)
        this->decisions.recordResumed(revision);
    else
        this->decisions.recordLoss();
    co_return this->decisions.mayAct(this->parts.time->now());
}

asio::awaitable<void> LeaderLease::renew(std::int64_t leaseId)
{
    TimePoint requestedAt = this->parts.time->now();
    auto renewed = co_await this->parts.store->keepLeaseAlive(leaseId);
    if (renewed && *renewed)
        this->decisions.recordRenewal(leaseId, requestedAt);
    else if (renewed)
        this->decisions.recordLoss();
}

asio::awaitable<void> LeaderLease::renewIfNeeded()
{
    auto self = this->shared_from_this();
    auto held = this->decisions.held();
    if (held && this->decisions.needsRenewal(this->parts.time->now()))
        co_await this->renew(held->record.leaseId);
}

asio::awaitable<bool> LeaderLease::prepareOrder()
{
    auto self = this->shared_from_this();
    auto held = this->decisions.held();
    if (held && !this->decisions.coversOrder(this->parts.time->now() + orderAllowance))
        co_await this->renew(held->record.leaseId);
    co_return this->decisions.coversOrder(this->parts.time->now());
}

void LeaderLease::finish()
{
    if (--this->replacements || this->idling)
        return;
    this->idling = true;
    spawn(this->context, [self = this->shared_from_this()] { return self->runIdle(); });
}

// Keeps the lease, or ends it, while no replacement runs under it.
asio::awaitable<void> LeaderLease::runIdle()
{
    auto self = this->shared_from_this();
    while (!this->replacements && this->decisions.held()) {
        if (!this->changing) {
            this->changing = true;
            co_await this->takeIdleStep();
            this->changing = false;
        }
        co_await this->parts.time->sleepFor(idleCheckInterval);
    }
    this->idling = false;
}

asio::awaitable<void> LeaderLease::takeIdleStep()
{
    auto held = this->decisions.held();
    TenureStep step = this->decisions.idleStep(this->parts.time->now());
    if (step == TenureStep::Release)
        co_return co_await this->release();
    if (held->record.state == LeaderRecord::State::Acting)
        co_await this->writeIdle();
    else if (step == TenureStep::Renew)
        co_await this->renew(held->record.leaseId);
}

// Tells the other instances that this one orders nothing until it writes the record again.
asio::awaitable<void> LeaderLease::writeIdle()
{
    StoredLeader held = *this->decisions.held();
    held.record.state = LeaderRecord::State::Idle;
    std::int64_t revision = co_await this->write(held.revision, held.record);
    if (revision)
        this->decisions.recordIdle(revision);
    else
        this->decisions.recordLoss();
}

asio::awaitable<void> LeaderLease::release()
{
    auto held = this->decisions.held();
    this->decisions.recordLoss();
    co_await this->parts.store->revokeLease(held->record.leaseId);
    this->hooks.released(this->decisions.fencingToken());
}

} // namespace catkinlock
