#include "catkinlock/share_bucket.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // Nanoseconds times rate, units and thousandths, divided by this, are thousandths of a token.
    constexpr std::uint64_t accrualDivisor = unitsPerWorkspace * 1000000;
    // A holder counts a grant for this much longer than its receiver, for clocks that run at different speeds.
    constexpr Duration holderMargin = grantDuration / 50;
    // At most the burst divided by this is out at once.
    constexpr std::int64_t mostGrantedDivisor = 2;

} // namespace

ShareBucket::ShareBucket(std::uint32_t rate, std::uint32_t burst, TimePoint now)
    : rate(rate)
    , burst(burst)
    , homeUntil(now)
    , accruedTo(now)
{
}

double ShareBucket::accrualRate() const
{
    return static_cast<double>(this->rate) * static_cast<double>(this->home) / static_cast<double>(unitsPerWorkspace);
}

std::int64_t ShareBucket::burstOf(std::uint64_t units) const
{
    auto whole = static_cast<unsigned __int128>(units) * this->burst * milliPerToken;
    return static_cast<std::int64_t>(whole / unitsPerWorkspace);
}

std::int64_t ShareBucket::grantedTokens() const
{
    std::int64_t total = 0;
    for (const Batch& batch : this->granted)
        total += batch.milliTokens;
    return total;
}

// The burst of the units held, less what others may still spend of it.
std::int64_t ShareBucket::homeCapacity() const
{
    return std::max<std::int64_t>(this->burstOf(this->home) - this->grantedTokens(), 0);
}

std::int64_t ShareBucket::receivedTokens() const
{
    std::int64_t total = 0;
    for (const Batch& batch : this->received)
        total += batch.milliTokens;
    return total;
}

std::int64_t ShareBucket::capacity() const { return this->homeCapacity() + this->receivedTokens(); }

TimePoint ShareBucket::validUntil() const
{
    TimePoint end = this->home ? this->homeUntil : TimePoint::max();
    for (const Batch& batch : this->received)
        end = std::min(end, batch.end);
    return end;
}

std::int64_t ShareBucket::accrueTo(TimePoint then, std::int64_t level)
{
    if (then <= this->accruedTo)
        return level;
    auto elapsed = static_cast<unsigned __int128>((then - this->accruedTo).count());
    this->accruedTo = then;
    std::int64_t most = this->capacity();
    unsigned __int128 earned = elapsed * this->rate * this->home + this->remainder;
    this->remainder = static_cast<std::uint64_t>(earned % accrualDivisor);
    unsigned __int128 tokens = earned / accrualDivisor;
    if (tokens > static_cast<unsigned __int128>(most - std::min(level, most))) {
        this->remainder = 0;
        return most;
    }
    return level + static_cast<std::int64_t>(tokens);
}

// What was received is spent before what accrued here, since it ends sooner.
void ShareBucket::spendReceived(std::int64_t spent)
{
    // More may have been given back than was spent.
    spent = std::max<std::int64_t>(spent, 0);
    for (Batch& batch : this->received) {
        std::int64_t part = std::min(batch.milliTokens, spent);
        batch.milliTokens -= part;
        spent -= part;
    }
    std::erase_if(this->received, [](const Batch& batch) { return !batch.milliTokens; });
}

std::int64_t ShareBucket::advance(TimePoint now, std::int64_t level)
{
    // When tokens were spent since the last change is not known. Counted as spent at the latest moment, what came in
    // before runs over a full bucket; counted as spent at once, a burst after a quiet time would be refilled from it.
    std::int64_t spent = this->base - level;
    level = this->base;
    // Batches and units end one after the other, and between two ends the capacity is constant.
    for (;;) {
        TimePoint next = this->validUntil();
        for (const Batch& batch : this->granted)
            next = std::min(next, batch.end);
        if (next > now)
            break;
        // Nothing is spent past an end without an advance.
        level = this->accrueTo(next, level) - spent;
        this->spendReceived(spent);
        spent = 0;
        std::int64_t ended = 0;
        for (const Batch& batch : this->received)
            ended += batch.end <= next ? batch.milliTokens : 0;
        level = std::max<std::int64_t>(level - ended, 0);
        std::erase_if(this->received, [next](const Batch& batch) { return batch.end <= next; });
        std::erase_if(this->granted, [next](const Batch& batch) { return batch.end <= next; });
        if (this->homeUntil <= next)
            this->home = 0;
        level = std::min(level, this->capacity());
    }
    level = this->accrueTo(now, level) - spent;
    this->spendReceived(spent);
    // A refund has no room in a bucket that has filled meanwhile.
    return this->keep(std::min(level, this->capacity()));
}

std::int64_t ShareBucket::keep(std::int64_t level)
{
    this->base = level;
    return level;
}

std::int64_t ShareBucket::setRate(std::uint32_t newRate, std::uint32_t newBurst, std::int64_t level)
{
    this->rate = newRate;
    this->burst = newBurst;
    this->remainder = 0;
    return this->keep(std::min(level, this->capacity()));
}

std::int64_t ShareBucket::setHome(std::uint64_t newUnits, TimePoint validUntil, std::int64_t level)
{
    // What an earlier holder of new units granted may still be out.
    if (newUnits > this->home)
        this->granted.push_back({ this->burstOf(newUnits - this->home) / mostGrantedDivisor,
            this->accruedTo + grantDuration + holderMargin });
    this->home = newUnits;
    this->homeUntil = validUntil;
    return this->keep(std::min(level, this->capacity()));
}

TokenGrant ShareBucket::grant(TimePoint now, std::int64_t wanted, std::int64_t reserved, std::int64_t& level)
{
    // Received tokens are not passed on: their time runs at the instance that they were granted to.
    std::int64_t own = level - this->receivedTokens() - reserved;
    std::int64_t room = this->burstOf(this->home) / mostGrantedDivisor - this->grantedTokens();
    std::int64_t given = std::min({ wanted, own, room });
    // A part of a token is worth nothing where the rest does not come; it is granted only by those who never have more.
    bool neverHasOne = this->burstOf(this->home) < mostGrantedDivisor * milliPerToken;
    if (!neverHasOne)
        given -= given % milliPerToken;
    if (given <= 0)
        return {};
    this->granted.push_back({ given, now + grantDuration + holderMargin });
    level = this->keep(level - given);
    return { given, grantDuration };
}

std::int64_t ShareBucket::receive(TimePoint askedAt, TimePoint now, const TokenGrant& grant, std::int64_t level)
{
    TimePoint end = askedAt + grant.duration;
    if (end <= now || grant.milliTokens <= 0)
        return level;
    auto later = std::find_if(
        this->received.begin(), this->received.end(), [end](const Batch& batch) { return batch.end > end; });
    this->received.insert(later, { grant.milliTokens, end });
    return this->keep(level + grant.milliTokens);
}

} // namespace catkinlock
