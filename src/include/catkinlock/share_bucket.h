#pragma once

#include "catkinlock/clock.h"
#include <compare>
#include <cstdint>
#include <vector>

namespace catkinlock {

/// Number of units that the rate and burst of a workspace are divided into. Divisible by every number of slots from 1
/// to 16, so that a workspace's slots get equal shares.
inline constexpr std::uint64_t unitsPerWorkspace = 720720;
/// Tokens are counted in thousandths (millitokens). A request consumes one token.
inline constexpr std::int64_t milliPerToken = 1000;

/// Maximum number of slots that the rate of one workspace is divided among.
inline constexpr std::uint32_t maxSharesPerWorkspace = 8;

/// Number of slots that the rate and burst of a workspace are divided among. A small burst is divided less often, so
/// that each share can hold whole tokens and one request never has to collect parts of a token from several holders.
///
/// While a change of the burst spreads, some instances use the previous number. Their shares and the new ones together
/// exceed the larger burst by less than the smallest share, because shares differ little in size. The same holds for
/// the rate as far as it changes in proportion to the burst.
std::uint32_t shareCountFor(std::uint32_t burst);

/// Time for which granted tokens may be spent, counted from the request for them.
inline constexpr Milliseconds grantDuration { 120 };

/// Tokens that one instance grants to another. They expire after `duration`.
struct TokenGrant {
    std::int64_t milliTokens = 0;
    Milliseconds duration { 0 };

    auto operator<=>(const TokenGrant&) const = default;
};

/// One instance's share of a workspace's distributed token bucket. The workspace's rate and burst are divided into
/// `unitsPerWorkspace` units. At most one instance holds a given unit at any time, and a unit entitles its holder to
/// the corresponding fraction of rate and burst. All instances together therefore never admit more than the rate and
/// burst allow, even if messages between them are lost, duplicated or delayed. Reads no clock.
///
/// An instance holds the units of the slots that it holds under a lease, and tokens accrue on them. An instance that
/// receives more requests than its units cover obtains grants of tokens from the holders of other units. The holder
/// deducts granted tokens from its level and also reduces the capacity of its bucket by them until the grant has
/// expired, so that the bucket cannot refill while the tokens may still be spent elsewhere. The receiver counts the
/// duration of a grant from the time of its request, and so never spends tokens after the holder considers them
/// expired. A lost grant only loses tokens, and grants need no acknowledgement.
///
/// A holder makes a grant only if its outstanding grants then amount to at most half of the burst of its units, or to
/// one token if that is more. A new holder of units, or a holder that has restarted, does not know which grants are
/// outstanding; it starts without tokens and keeps that much of the units' burst free until earlier grants have
/// expired.
///
/// The level (the number of millitokens that may be spent now) is stored by the caller, who passes the current level
/// and stores the returned one.
class ShareBucket {
public:
    /// Starts without units and tokens. `rate` is in requests per second, `burst` in requests.
    ShareBucket(std::uint32_t rate, std::uint32_t burst, TimePoint now);

    /// Accrues tokens up to `now`, removes expired units, grants and received tokens, and returns the new level, which
    /// is at most `capacity`.
    std::int64_t advance(TimePoint now, std::int64_t level);
    /// Changes rate (requests per second) and burst (requests), and returns the new level. Call `advance` first.
    std::int64_t setRate(std::uint32_t rate, std::uint32_t burst, std::int64_t level);
    /// Sets the number of units held and the end of the lease on them, and returns the new level. Added units bring no
    /// tokens; removing units may reduce the level. Call `advance` first.
    std::int64_t setUnits(std::uint64_t units, TimePoint validUntil, std::int64_t level);
    /// Grants up to `wanted` millitokens of those that accrued here, rounded down to whole tokens, and deducts them
    /// from `level`. `reserved` millitokens are retained. Returns a grant of 0 millitokens if no token can be granted.
    /// Call `advance` first.
    TokenGrant grant(TimePoint now, std::int64_t wanted, std::int64_t reserved, std::int64_t& level);
    /// Adds a grant that was requested at `requestedAt` and returns the new level. An expired grant has no effect. The
    /// caller must discard duplicates of a grant. Call `advance` first.
    std::int64_t receive(TimePoint requestedAt, TimePoint now, const TokenGrant&, std::int64_t level);

    /// Units held.
    std::uint64_t units() const { return this->ownUnits; }
    /// Maximum level, in millitokens: the burst of the units held, less outstanding grants, plus received tokens.
    std::int64_t capacity() const;
    /// Time at which units or received tokens next expire; TimePoint::max() if the bucket has neither. Until then the
    /// level may be spent without another `advance`.
    TimePoint validUntil() const;
    /// Millitokens that were received and expired unspent, since the start.
    std::int64_t expiredMilliTokens() const { return this->expiredTotal; }
    /// Tokens per second that accrue on the units held.
    double accrualRate() const;

private:
    // Tokens that expire together.
    struct Batch {
        std::int64_t milliTokens;
        TimePoint end;
    };

    std::int64_t accrueTo(TimePoint, std::int64_t level);
    std::int64_t recordLevel(std::int64_t level);
    std::int64_t burstOf(std::uint64_t units) const;
    std::int64_t maxGranted(std::uint64_t units) const;
    std::int64_t grantedMilliTokens() const;
    std::int64_t ownCapacity() const;
    std::int64_t receivedMilliTokens() const;
    void spendReceived(std::int64_t spent);
    std::int64_t spend(std::int64_t spent, std::int64_t level);
    std::int64_t expire(TimePoint, std::int64_t level);
    TimePoint nextExpiry() const;

    std::uint32_t rate;
    std::uint32_t burst;
    std::uint64_t ownUnits = 0;
    TimePoint leaseEnd;
    // Tokens granted to other instances, which may still spend them. For units that were added, this includes the
    // maximum that their earlier holder may have granted.
    std::vector<Batch> outstandingGrants;
    // Unspent tokens received from other instances, ordered by expiry.
    std::vector<Batch> receivedBatches;
    // Time up to which accrued tokens are contained in the level.
    TimePoint accruedUntil;
    // Level returned by the last change. The difference to the level passed next is what was spent in between.
    std::int64_t recordedLevel = 0;
    std::int64_t expiredTotal = 0;
    // Rounding remainder of the last accrual, in 1 / (unitsPerWorkspace * 1e6) millitokens.
    std::uint64_t remainder = 0;
};

} // namespace catkinlock
