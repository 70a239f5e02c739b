#include "catkinlock/share_bucket.h"

#include <algorithm>

namespace catkinlock {

namespace {

    // Nanoseconds times rate, units and thousandths, divided by this, are thousandths of a token.
    constexpr std::uint64_t accrualDivisor = unitsPerWorkspace * 1000000;
    // A lender counts a loan for this much longer than the borrower, for clocks that run at different speeds.
    constexpr int lenderMarginDivisor = 50;
    // A lender keeps this part of its home units for its own first requests.
    constexpr std::uint64_t keptPart = 64;
    // A lender keeps this many times what its own demand takes.
    constexpr double demandMargin = 1.1;

} // namespace

ShareBucket::ShareBucket(std::uint32_t rate, std::uint32_t burst, TimePoint now)
    : rate(rate)
    , burst(burst)
    , homeUntil(now)
    , accruedTo(now)
{
}

std::uint64_t ShareBucket::units() const
{
    std::uint64_t away = 0;
    for (const Term& term : this->lent)
        away += term.units;
    std::uint64_t total = this->home - std::min(this->home, away);
    for (const Term& term : this->borrowed)
        total += term.units;
    return total;
}

std::uint64_t ShareBucket::unitsAt(TimePoint then) const
{
    std::uint64_t away = 0;
    for (const Term& term : this->lent)
        away += term.end > then ? term.units : 0;
    std::uint64_t total = this->homeUntil > then ? this->home - std::min(this->home, away) : 0;
    for (const Term& term : this->borrowed)
        total += term.end > then ? term.units : 0;
    return total;
}

std::int64_t ShareBucket::capacity() const
{
    auto whole = static_cast<unsigned __int128>(this->units()) * this->burst * milliPerToken;
    return static_cast<std::int64_t>(whole / unitsPerWorkspace);
}

std::uint64_t ShareBucket::unitsFor(double demand) const
{
    double fraction = std::min(1.0, demand / this->rate);
    return static_cast<std::uint64_t>(fraction * unitsPerWorkspace);
}

TimePoint ShareBucket::validUntil() const
{
    TimePoint end = this->home ? this->homeUntil : TimePoint::max();
    for (const Term& term : this->borrowed)
        end = std::min(end, term.end);
    return end;
}

std::int64_t ShareBucket::accrueTo(TimePoint then, std::int64_t level)
{
    if (then <= this->accruedTo)
        return level;
    auto elapsed = static_cast<unsigned __int128>((then - this->accruedTo).count());
    this->accruedTo = then;
    std::int64_t most = this->capacity();
    unsigned __int128 earned = elapsed * this->rate * this->units() + this->remainder;
    this->remainder = static_cast<std::uint64_t>(earned % accrualDivisor);
    unsigned __int128 tokens = earned / accrualDivisor;
    if (tokens > static_cast<unsigned __int128>(most - std::min(level, most))) {
        this->remainder = 0;
        return most;
    }
    return level + static_cast<std::int64_t>(tokens);
}

std::int64_t ShareBucket::advance(TimePoint now, std::int64_t level)
{
    // When tokens were spent since the last change is not known. Counted as spent at the latest moment, what came in
    // before runs over a full bucket; counted as spent at once, a burst after a quiet time would be refilled from it.
    std::int64_t spent = this->base - level;
    level = this->base;
    // Units end one after the other, and between two ends the rate is constant.
    for (;;) {
        TimePoint next = this->validUntil();
        for (const Term& term : this->lent)
            next = std::min(next, term.end);
        if (next > now)
            break;
        // Nothing is spent past an end without an advance.
        level = this->accrueTo(next, level) - spent;
        spent = 0;
        std::erase_if(this->borrowed, [next](const Term& term) { return term.end <= next; });
        std::erase_if(this->lent, [next](const Term& term) { return term.end <= next; });
        if (this->homeUntil <= next)
            this->home = 0;
        level = std::min(level, this->capacity());
    }
    return this->keep(this->accrueTo(now, level) - spent);
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
    this->home = newUnits;
    this->homeUntil = validUntil;
    return this->keep(std::min(level, this->capacity()));
}

std::optional<ShareLoan> ShareBucket::lend(
    std::uint64_t id, TimePoint now, std::uint64_t wanted, Milliseconds duration, double demand, std::int64_t& level)
{
    Duration counted = duration + duration / lenderMarginDivisor;
    // What is lent has to be back before the lease on it ends, or another holder could have it twice.
    if (!this->home || now + counted >= this->homeUntil)
        return std::nullopt;
    std::uint64_t own = this->units();
    std::uint64_t away = 0;
    for (const Term& term : this->lent)
        away += term.units;
    std::uint64_t homeHere = this->home - std::min(this->home, away);
    auto kept = std::max(this->home / keptPart, this->unitsFor(demand * demandMargin));
    std::uint64_t spare = std::min(homeHere, own - std::min(own, kept));
    std::uint64_t given = std::min(wanted, spare);
    if (!given)
        return std::nullopt;
    auto tokens
        = static_cast<std::int64_t>(static_cast<unsigned __int128>(std::max<std::int64_t>(level, 0)) * given / own);
    std::int64_t before = this->capacity();
    this->lent.push_back({ id, given, now + counted });
    std::int64_t left = this->capacity();
    // The level that stays must fit into the units that stay, and what goes into those that go.
    tokens = std::min(std::max(tokens, level - left), before - left);
    level = this->keep(std::min(level - tokens, left));
    return ShareLoan { id, given, tokens, duration };
}

std::int64_t ShareBucket::borrow(TimePoint askedAt, TimePoint now, const ShareLoan& loan, std::int64_t level)
{
    TimePoint end = askedAt + loan.duration;
    if (end <= now)
        return level;
    this->borrowed.push_back({ loan.id, loan.units, end });
    return this->keep(std::min(level + loan.milliTokens, this->capacity()));
}

std::vector<ShareLoan> ShareBucket::giveBack(std::uint64_t needed, std::int64_t& level)
{
    std::vector<ShareLoan> returned;
    for (std::size_t i = 0; i < this->borrowed.size();) {
        Term term = this->borrowed[i];
        std::uint64_t own = this->units();
        if (own < needed + term.units) {
            ++i;
            continue;
        }
        std::int64_t before = this->capacity();
        this->borrowed.erase(this->borrowed.begin() + static_cast<std::ptrdiff_t>(i));
        std::int64_t left = this->capacity();
        // At least what no longer fits goes with the units, and no more than fits into them.
        std::int64_t share = level * static_cast<std::int64_t>(term.units) / static_cast<std::int64_t>(own);
        std::int64_t tokens = std::min(std::max(share, level - left), before - left);
        level = std::min(level - tokens, left);
        returned.push_back({ term.id, term.units, tokens, {} });
    }
    this->keep(level);
    return returned;
}

std::int64_t ShareBucket::takeBack(std::uint64_t id, std::int64_t milliTokens, std::int64_t level)
{
    auto term
        = std::find_if(this->lent.begin(), this->lent.end(), [id](const Term& lentTerm) { return lentTerm.id == id; });
    if (term == this->lent.end())
        return level;
    this->lent.erase(term);
    return this->keep(std::min(level + milliTokens, this->capacity()));
}

} // namespace catkinlock
