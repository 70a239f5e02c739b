#pragma once

#include "catkinlock/clock.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace catkinlock {

/// Units that the rate and burst of a workspace are divided into. Divisible by every count of share slots up to 16.
inline constexpr std::uint64_t unitsPerWorkspace = 720720;
/// Tokens are counted in thousandths; a request takes this many.
inline constexpr std::int64_t milliPerToken = 1000;

/// A loan of part of a workspace's rate and burst, with the tokens that lay in that part.
struct ShareLoan {
    /// The lender's name for the loan; each is used once.
    std::uint64_t id = 0;
    std::uint64_t units = 0;
    std::int64_t milliTokens = 0;
    Milliseconds duration { 0 };

    auto operator<=>(const ShareLoan&) const = default;
};

/// One instance's part of a workspace's rate. The whole is a fixed number of units. Each unit is at one instance at
/// most and stands for its fraction of the rate and of the burst, so that all instances together never admit more than
/// the rate and burst allow, whatever is lost, doubled or late between them. No clock is read here.
///
/// Home units come with the slots that the instance holds under a lease. A loan moves units for a bounded time: the
/// borrower counts it from when it asked, the lender from when it granted and a little longer, so nothing has to be
/// given back; what a borrower no longer needs may come back early. The level (the tokens that may be spent) is kept by
/// the caller, who passes it in and takes the new one.
class ShareBucket {
public:
    ShareBucket(std::uint32_t rate, std::uint32_t burst, TimePoint now);

    /// Accrues tokens up to `now`, ends what is over, and returns the new level. Never more than the burst of the units
    /// held.
    std::int64_t advance(TimePoint now, std::int64_t level);
    /// Changes rate and burst from now on.
    std::int64_t setRate(std::uint32_t rate, std::uint32_t burst, std::int64_t level);
    /// Changes the home units and how long the lease on them lasts. Units come without tokens; with fewer units the
    /// level may shrink.
    std::int64_t setHome(std::uint64_t units, TimePoint validUntil, std::int64_t level);
    /// Lends up to `wanted` units that `demand` (requests a second) does not need, and takes their tokens off `level`.
    /// Nothing if there is nothing to spare. Call `advance` first.
    std::optional<ShareLoan> lend(std::uint64_t id, TimePoint now, std::uint64_t wanted, Milliseconds duration,
        double demand, std::int64_t& level);
    /// Takes in a loan that was asked for at `askedAt`. The caller makes sure that each is taken in once.
    std::int64_t borrow(TimePoint askedAt, TimePoint now, const ShareLoan&, std::int64_t level);

    /// Gives back loans without which `needed` units are still held, and takes their tokens off `level`. The borrower
    /// has debited before it sends; a return that is lost ends with its loan. Call `advance` first.
    std::vector<ShareLoan> giveBack(std::uint64_t needed, std::int64_t& level);
    /// Takes back a loan; one that has ended or was taken back before changes nothing. Call `advance` first.
    std::int64_t takeBack(std::uint64_t id, std::int64_t milliTokens, std::int64_t level);

    /// Units held at present.
    std::uint64_t units() const;
    /// Units that will still be held at `then`, as far as is known.
    std::uint64_t unitsAt(TimePoint then) const;
    std::uint64_t homeUnits() const { return this->home; }
    /// Largest level.
    std::int64_t capacity() const;
    /// When units next end; until then the level may be spent without another `advance`.
    TimePoint validUntil() const;
    /// Units that a demand in requests a second takes.
    std::uint64_t unitsFor(double demand) const;

private:
    struct Term {
        std::uint64_t id;
        std::uint64_t units;
        TimePoint end;
    };

    std::int64_t accrueTo(TimePoint, std::int64_t level);
    std::int64_t keep(std::int64_t level);

    std::uint32_t rate;
    std::uint32_t burst;
    std::uint64_t home = 0;
    TimePoint homeUntil;
    std::vector<Term> lent;
    std::vector<Term> borrowed;
    TimePoint accruedTo;
    // The level after the last change; what is missing from it since was spent.
    std::int64_t base = 0;
    // What the last accrual left over, in units of 1 / (unitsPerWorkspace * 1e6) thousandths of a token.
    std::uint64_t remainder = 0;
};

} // namespace catkinlock
