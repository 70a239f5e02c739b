#pragma once

#include "catkinlock/clock.h"
#include <compare>
#include <cstdint>
#include <vector>

namespace catkinlock {

/// Units that the rate and burst of a workspace are divided into. Divisible by every count of share slots up to 16.
inline constexpr std::uint64_t unitsPerWorkspace = 720720;
/// Tokens are counted in thousandths; a request takes this many.
inline constexpr std::int64_t milliPerToken = 1000;

/// How long granted tokens may be spent, from when they were asked for.
inline constexpr Milliseconds grantDuration { 120 };

/// Tokens that one instance gives another; they may be spent for a bounded time.
struct TokenGrant {
    std::int64_t milliTokens = 0;
    Milliseconds duration { 0 };

    auto operator<=>(const TokenGrant&) const = default;
};

/// One instance's part of a workspace's rate. The whole is a fixed number of units. Each unit is at one instance at
/// most and stands for its fraction of the rate and of the burst, so that all instances together never admit more than
/// the rate and burst allow, whatever is lost, doubled or late between them. No clock is read here.
///
/// Units come with the slots that the instance holds under a lease; tokens accrue on them. Where requests arrive at
/// instances without enough of them, the holders grant tokens. The holder takes them off its own, and leaves the room
/// that they had in its burst empty until they can't be spent any more; the receiver counts their time from when it
/// asked. So a grant that is lost loses tokens, and nothing has to come back. At most half of the burst is out at once,
/// so a new holder of units, or one that starts again, uses them at once: without tokens, and with half of their burst
/// as long as an earlier holder's grants may be spent. The level (the tokens that may be spent) is kept by the caller,
/// who passes it in and takes the new one.
class ShareBucket {
public:
    ShareBucket(std::uint32_t rate, std::uint32_t burst, TimePoint now);

    /// Accrues tokens up to `now`, ends what is over, and returns the new level. Never more than the burst of the units
    /// held and the tokens received.
    std::int64_t advance(TimePoint now, std::int64_t level);
    /// Changes rate and burst from now on.
    std::int64_t setRate(std::uint32_t rate, std::uint32_t burst, std::int64_t level);
    /// Changes the units and how long the lease on them lasts. Units come without tokens; with fewer units the level
    /// may shrink. Call `advance` first.
    std::int64_t setHome(std::uint64_t units, TimePoint validUntil, std::int64_t level);
    /// Grants up to `wanted` thousandths of a token out of those that accrued here, in whole tokens if the burst allows
    /// to, and takes them off `level`. `reserved` of them stay. Call `advance` first.
    TokenGrant grant(TimePoint now, std::int64_t wanted, std::int64_t reserved, std::int64_t& level);
    /// Takes in a grant that was asked for at `askedAt`. The caller makes sure that each is taken in once.
    std::int64_t receive(TimePoint askedAt, TimePoint now, const TokenGrant&, std::int64_t level);

    std::uint64_t units() const { return this->home; }
    /// Largest level.
    std::int64_t capacity() const;
    /// When units or received tokens next end; until then the level may be spent without another `advance`.
    TimePoint validUntil() const;
    /// Tokens a second that accrue on the units held.
    double accrualRate() const;

private:
    struct Batch {
        std::int64_t milliTokens;
        TimePoint end;
    };

    std::int64_t accrueTo(TimePoint, std::int64_t level);
    std::int64_t keep(std::int64_t level);
    std::int64_t burstOf(std::uint64_t units) const;
    std::int64_t grantedTokens() const;
    std::int64_t homeCapacity() const;
    std::int64_t receivedTokens() const;
    void spendReceived(std::int64_t spent);

    std::uint32_t rate;
    std::uint32_t burst;
    std::uint64_t home = 0;
    TimePoint homeUntil;
    // Tokens at other instances that may still be spent there.
    std::vector<Batch> granted;
    // Tokens of other instances that are unspent, the first to end first.
    std::vector<Batch> received;
    TimePoint accruedTo;
    // The level after the last change; what is missing from it since was spent.
    std::int64_t base = 0;
    // What the last accrual left over, in units of 1 / (unitsPerWorkspace * 1e6) thousandths of a token.
    std::uint64_t remainder = 0;
};

} // namespace catkinlock
