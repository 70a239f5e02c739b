#include "catkinlock/share_bucket.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // Elapsed nanoseconds * rate * units / accrualDivisor gives millitokens.
    constexpr std::uint64_t accrualDivisor = unitsPerWorkspace * 1000000;
    // Additional time for which the holder considers a grant outstanding, since its clock may run faster than the
    // receiver's.
    constexpr Duration holderMargin = grantDuration / 50;
    // A smaller share could rarely spare a whole token.
    constexpr std::uint32_t minShareBurst = 4;
    // Outstanding grants are limited to the burst divided by this, but to no less than one token.
    constexpr std::int64_t maxGrantedDivisor = 2;

} // namespace

std::uint32_t shareCountFor(std::uint32_t burst)
{
    return std::clamp<std::uint32_t>(burst / minShareBurst, 1, maxSharesPerWorkspace);
}

ShareBucket::ShareBucket(std::uint32_t rate, std::uint32_t burst, TimePoint now)
    : rate(rate)
    , burst(burst)
    , leaseEnd(now)
    , accruedUntil(now)
{
}

double ShareBucket::accrualRate() const
{
    return static_cast<double>(this->rate) * static_cast<double>(this->ownUnits)
        / static_cast<double>(unitsPerWorkspace);
}

std::int64_t ShareBucket::burstOf(std::uint64_t units) const
{
    auto product = static_cast<unsigned __int128>(units) * this->burst * milliPerToken;
    return static_cast<std::int64_t>(product / unitsPerWorkspace);
}

// Limit of the grants that may be outstanding at once for that many units.
std::int64_t ShareBucket::maxGranted(std::uint64_t units) const
{
    std::int64_t unitsBurst = this->burstOf(units);
    return std::max(unitsBurst / maxGrantedDivisor, std::min(unitsBurst, milliPerToken));
}

std::int64_t ShareBucket::grantedMilliTokens() const
{
    std::int64_t total = 0;
    for (const Batch& batch : this->outstandingGrants)
        total += batch.milliTokens;
    return total;
}

// Burst of the units held, less the tokens granted out of it that may still be spent elsewhere.
std::int64_t ShareBucket::ownCapacity() const
{
    return std::max<std::int64_t>(this->burstOf(this->ownUnits) - this->grantedMilliTokens(), 0);
}

std::int64_t ShareBucket::receivedMilliTokens() const
{
    std::int64_t total = 0;
    for (const Batch& batch : this->receivedBatches)
        total += batch.milliTokens;
    return total;
}

std::int64_t ShareBucket::capacity() const { return this->ownCapacity() + this->receivedMilliTokens(); }

TimePoint ShareBucket::validUntil() const
{
    TimePoint end = this->ownUnits ? this->leaseEnd : TimePoint::max();
    for (const Batch& batch : this->receivedBatches)
        end = std::min(end, batch.end);
    return end;
}

std::int64_t ShareBucket::accrueTo(TimePoint time, std::int64_t level)
{
    if (time <= this->accruedUntil)
        return level;
    auto elapsed = static_cast<unsigned __int128>((time - this->accruedUntil).count());
    this->accruedUntil = time;
    std::int64_t limit = this->capacity();
    unsigned __int128 earned = elapsed * this->rate * this->ownUnits + this->remainder;
    this->remainder = static_cast<std::uint64_t>(earned % accrualDivisor);
    unsigned __int128 milliTokens = earned / accrualDivisor;
    if (milliTokens > static_cast<unsigned __int128>(limit - std::min(level, limit))) {
        this->remainder = 0;
        return limit;
    }
    return level + static_cast<std::int64_t>(milliTokens);
}

// Received tokens are spent before those accrued here, since they expire sooner.
void ShareBucket::spendReceived(std::int64_t spent)
{
    // Negative if refunds exceeded what was spent.
    spent = std::max<std::int64_t>(spent, 0);
    for (Batch& batch : this->receivedBatches) {
        std::int64_t fromBatch = std::min(batch.milliTokens, spent);
        batch.milliTokens -= fromBatch;
        spent -= fromBatch;
    }
    std::erase_if(this->receivedBatches, [](const Batch& batch) { return !batch.milliTokens; });
}

std::int64_t ShareBucket::spend(std::int64_t spent, std::int64_t level)
{
    this->spendReceived(spent);
    // A refund may exceed the capacity if the bucket has filled in the meantime.
    return std::min(level - spent, this->capacity());
}

// Removes the units, received tokens and outstanding grants that end at `time`. The capacity is constant before.
std::int64_t ShareBucket::expire(TimePoint time, std::int64_t level)
{
    std::int64_t expired = 0;
    for (const Batch& batch : this->receivedBatches)
        expired += batch.end <= time ? batch.milliTokens : 0;
    this->expiredTotal += expired;
    level = std::max<std::int64_t>(level - expired, 0);
    std::erase_if(this->receivedBatches, [time](const Batch& batch) { return batch.end <= time; });
    std::erase_if(this->outstandingGrants, [time](const Batch& batch) { return batch.end <= time; });
    if (this->leaseEnd <= time)
        this->ownUnits = 0;
    return std::min(level, this->capacity());
}

TimePoint ShareBucket::nextExpiry() const
{
    TimePoint next = this->validUntil();
    for (const Batch& batch : this->outstandingGrants)
        next = std::min(next, batch.end);
    return next;
}

std::int64_t ShareBucket::advance(TimePoint now, std::int64_t level)
{
    // The times at which tokens were spent since the last change are unknown. Spending is counted at the latest moment
    // at which it may have happened, so that tokens that a full bucket drops before the spending are not added after
    // it. Nothing is spent after `validUntil` without another `advance`. The end of a grant to another instance does
    // not stop spending here.
    std::int64_t spent = this->recordedLevel - level;
    TimePoint spentBy = std::min(this->validUntil(), now);
    bool spendingCounted = false;
    level = this->recordedLevel;
    for (TimePoint next = this->nextExpiry(); next <= now; next = this->nextExpiry()) {
        level = this->accrueTo(next, level);
        if (!spendingCounted && next >= spentBy) {
            level = this->spend(spent, level);
            spendingCounted = true;
        }
        level = this->expire(next, level);
    }
    level = this->accrueTo(now, level);
    if (!spendingCounted)
        level = this->spend(spent, level);
    return this->recordLevel(level);
}

// Remembers the level that is returned to the caller.
std::int64_t ShareBucket::recordLevel(std::int64_t level)
{
    this->recordedLevel = level;
    return level;
}

std::int64_t ShareBucket::setRate(std::uint32_t newRate, std::uint32_t newBurst, std::int64_t level)
{
    this->rate = newRate;
    this->burst = newBurst;
    this->remainder = 0;
    return this->recordLevel(std::min(level, this->capacity()));
}

std::int64_t ShareBucket::setUnits(std::uint64_t newUnits, TimePoint validUntil, std::int64_t level)
{
    // Grants made by an earlier holder of the added units may still be outstanding. Assume the maximum.
    if (newUnits > this->ownUnits)
        this->outstandingGrants.push_back(
            { this->maxGranted(newUnits - this->ownUnits), this->accruedUntil + grantDuration + holderMargin });
    this->ownUnits = newUnits;
    this->leaseEnd = validUntil;
    return this->recordLevel(std::min(level, this->capacity()));
}

TokenGrant ShareBucket::grant(TimePoint now, std::int64_t wanted, std::int64_t reserved, std::int64_t& level)
{
    // Received tokens are not granted again: a new grant would last beyond the expiry that the original holder assumes.
    std::int64_t available = level - this->receivedMilliTokens() - reserved;
    std::int64_t allowance = this->maxGranted(this->ownUnits) - this->grantedMilliTokens();
    std::int64_t amount = std::min({ wanted, available, allowance });
    // A fraction of a token is useless to a receiver that cannot obtain the rest.
    amount -= amount % milliPerToken;
    if (amount <= 0)
        return {};
    this->outstandingGrants.push_back({ amount, now + grantDuration + holderMargin });
    level = this->recordLevel(level - amount);
    return { amount, grantDuration };
}

std::int64_t ShareBucket::receive(TimePoint requestedAt, TimePoint now, const TokenGrant& grant, std::int64_t level)
{
    TimePoint end = requestedAt + grant.duration;
    if (end <= now || grant.milliTokens <= 0)
        return level;
    auto later = std::find_if(this->receivedBatches.begin(), this->receivedBatches.end(),
        [end](const Batch& batch) { return batch.end > end; });
    this->receivedBatches.insert(later, { grant.milliTokens, end });
    return this->recordLevel(level + grant.milliTokens);
}

} // namespace catkinlock
