// The shares of a workspace's rate: all instances together must never admit more than rate and burst, although messages
// are lost, delayed or duplicated, instances pause or restart, and slots change holders.

#include "catkinlock/share_bucket.h"
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <random>
#include <rapidcheck/gtest.h>

using namespace catkinlock;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t instanceCount = 6;
constexpr std::uint32_t shareSlots = 12;
constexpr std::uint64_t unitsPerSlot = unitsPerWorkspace / shareSlots;

// A deliberate fault in the protocol. The tests verify that the simulation detects each of them.
enum class Mutation {
    None,
    HolderKeepsTokens,
    HolderReusesGrantedCapacity,
    ReceiverCountsFromArrival,
    DuplicateGrantsAreAccepted,
    RestartKeepsTokens,
};

struct Message {
    TimePoint at;
    std::size_t holder;
    std::size_t receiver;
    std::uint64_t id;
    TimePoint requestedAt;
    TokenGrant grant;
};

struct Instance {
    std::vector<ShareBucket> bucket;
    std::int64_t level = 0;
    TimePoint pausedUntil;
    // Slots held, and the end of their lease by the holder's own clock.
    std::vector<std::uint32_t> slots;
    TimePoint leaseEnd;
    std::vector<std::pair<std::uint64_t, TimePoint>> pendingRequests;
};

// Simulates a fleet whose instances grant each other tokens under faults: messages are delayed, lost or duplicated;
// holders are paused beyond the end of their lease, or restart and keep their slots; and slots change holders when the
// platform ends a lease.
class Fleet {
public:
    Fleet(std::uint64_t seed, std::uint32_t rate, std::uint32_t burst, Mutation mutation)
        : random(seed)
        , rate(rate)
        , burst(burst)
        , mutation(mutation)
        , slotFreeAt(shareSlots, this->start)
        , slotHolder(shareSlots, instanceCount)
    {
        for (Instance& instance : this->instances)
            instance.bucket.emplace_back(rate, burst, this->start);
    }

    // Runs the simulation. Returns the times in milliseconds at which requests were admitted, in ascending order.
    std::vector<int> run(int lengthMs)
    {
        std::vector<int> admitted;
        for (int now = 0; now < lengthMs; ++now) {
            this->now = this->start + milliseconds(now);
            for (std::size_t i = 0; i < instanceCount; ++i) {
                if (this->instances[i].pausedUntil > this->now)
                    continue;
                // A holder that resumes after a pause admits requests before it processes any update.
                this->admit(this->instances[i], now, admitted);
                this->renewSlots(this->instances[i], i);
                this->maybeRestart(this->instances[i]);
                this->exchangeGrants(i);
            }
        }
        return admitted;
    }

private:
    int pick(int min, int max) { return std::uniform_int_distribution<int>(min, max)(this->random); }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(this->random); }

    // Leases last 3 s at the platform. The holder stops relying on its lease after 2.85 s.
    void renewSlots(Instance& instance, std::size_t index)
    {
        if (this->chance(0.00004))
            instance.pausedUntil = this->now + milliseconds(this->pick(100, 6000));
        if (this->chance(0.01) || instance.slots.empty()) {
            bool leaseValid = !instance.slots.empty() && this->now < instance.leaseEnd;
            if (!leaseValid)
                instance.slots.clear();
            for (std::uint32_t slot = 0; slot < shareSlots; ++slot) {
                bool alreadyHeld = leaseValid && this->slotHolder[slot] == index;
                bool free = this->slotFreeAt[slot] <= this->now && instance.slots.size() < 3;
                if (!alreadyHeld && !free)
                    continue;
                this->slotHolder[slot] = index;
                this->slotFreeAt[slot] = this->now + milliseconds(3000);
                if (!alreadyHeld)
                    instance.slots.push_back(slot);
            }
            instance.leaseEnd = this->now + milliseconds(2850);
            instance.level = instance.bucket[0].advance(this->now, instance.level);
            instance.level
                = instance.bucket[0].setUnits(unitsPerSlot * instance.slots.size(), instance.leaseEnd, instance.level);
        }
    }

    // A restarted holder has its slots at once, but no tokens. The grants that it made before are still outstanding.
    void maybeRestart(Instance& instance)
    {
        if (!this->chance(0.0005))
            return;
        ShareBucket restarted(this->rate, this->burst, this->now);
        std::int64_t initialLevel = this->mutation == Mutation::RestartKeepsTokens ? 1000000 : 0;
        instance.level = restarted.setUnits(unitsPerSlot * instance.slots.size(), instance.leaseEnd, initialLevel);
        instance.bucket[0] = restarted;
        instance.pendingRequests.clear();
    }

    void exchangeGrants(std::size_t index)
    {
        Instance& instance = this->instances[index];
        if (this->chance(0.02)) {
            std::size_t holder = static_cast<std::size_t>(this->pick(0, instanceCount - 1));
            instance.pendingRequests.emplace_back(++this->lastId, this->now);
            if (holder != index && !this->chance(0.1))
                this->requests.push_back(
                    { this->now + milliseconds(this->pick(1, 40)), holder, index, this->lastId, this->now, {} });
        }
        // Responds to requests for tokens. Replies may be lost, delayed or duplicated.
        for (std::size_t i = 0; i < this->requests.size();) {
            Message message = this->requests[i];
            if (message.holder != index || message.at > this->now) {
                ++i;
                continue;
            }
            this->requests.erase(this->requests.begin() + static_cast<std::ptrdiff_t>(i));
            instance.level = instance.bucket[0].advance(this->now, instance.level);
            ShareBucket before = instance.bucket[0];
            std::int64_t levelBefore = instance.level;
            message.grant
                = instance.bucket[0].grant(this->now, this->pick(1, 60) * milliPerToken / 2, 0, instance.level);
            if (this->mutation == Mutation::HolderKeepsTokens) {
                instance.bucket[0] = before;
                instance.level = levelBefore;
            }
            if (this->mutation == Mutation::HolderReusesGrantedCapacity) {
                // The tokens are deducted as if they had been spent here, without reducing the bucket's capacity.
                instance.bucket[0] = before;
                instance.level = instance.bucket[0].advance(this->now, instance.level);
            }
            if (!message.grant.milliTokens || this->chance(0.1))
                continue;
            for (int copy = this->chance(0.2) ? 2 : 1; copy; --copy) {
                message.at = this->now + milliseconds(this->chance(0.1) ? this->pick(200, 3000) : this->pick(1, 40));
                this->replies.push_back(message);
            }
        }
        for (std::size_t i = 0; i < this->replies.size();) {
            Message message = this->replies[i];
            if (message.receiver != index || message.at > this->now) {
                ++i;
                continue;
            }
            this->replies.erase(this->replies.begin() + static_cast<std::ptrdiff_t>(i));
            auto pending = std::find_if(instance.pendingRequests.begin(), instance.pendingRequests.end(),
                [&](const auto& item) { return item.first == message.id; });
            bool known = pending != instance.pendingRequests.end();
            if (!known && this->mutation != Mutation::DuplicateGrantsAreAccepted)
                continue;
            if (known)
                instance.pendingRequests.erase(pending);
            TimePoint countedFrom
                = this->mutation == Mutation::ReceiverCountsFromArrival ? this->now : message.requestedAt;
            instance.level = instance.bucket[0].advance(this->now, instance.level);
            instance.level = instance.bucket[0].receive(countedFrom, this->now, message.grant, instance.level);
        }
    }

    void admit(Instance& instance, int nowMs, std::vector<int>& admitted)
    {
        // Idle periods fill every bucket, and the following peak spends all tokens of the fleet.
        bool peak = nowMs % 2000 > 1600;
        int arrivals = peak && this->chance(0.5) ? this->pick(0, 20) : 0;
        bool refillDue = nowMs % 20 == 0;
        if (refillDue)
            instance.level = instance.bucket[0].advance(this->now, instance.level);
        for (; arrivals; --arrivals) {
            bool valid = this->now < instance.bucket[0].validUntil();
            if (!valid || instance.level < milliPerToken)
                return;
            instance.level -= milliPerToken;
            admitted.push_back(nowMs);
        }
    }

    std::mt19937_64 random;
    std::uint32_t rate;
    std::uint32_t burst;
    Mutation mutation;
    TimePoint start { milliseconds(1000) };
    TimePoint now;
    std::array<Instance, instanceCount> instances;
    std::vector<TimePoint> slotFreeAt;
    std::vector<std::size_t> slotHolder;
    std::deque<Message> requests;
    std::deque<Message> replies;
    std::uint64_t lastId = 0;
};

// Largest excess, over all time windows, of the requests admitted over rate * time + burst. Not positive if no window
// exceeds the limit.
double maxExcess(const std::vector<int>& admitted, double rate, double burst)
{
    // Of all windows that end at a given request, the one that starts at the request i with the smallest
    // i - rate * t(i) has the largest excess.
    double minOffset = 1e18;
    double excess = -1e18;
    for (std::size_t i = 0; i < admitted.size(); ++i) {
        double refilled = rate * admitted[i] / 1000.0;
        minOffset = std::min(minOffset, static_cast<double>(i) - refilled);
        excess = std::max(excess, static_cast<double>(i + 1) - refilled - minOffset - burst);
    }
    return excess;
}

bool someSeedExceeds(Mutation mutation)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        if (maxExcess(Fleet(seed, 400, 100, mutation).run(12000), 400, 100) > 0)
            return true;
    }
    return false;
}

} // namespace

RC_GTEST_PROP(ShareBucket, AllInstancesTogetherStayWithinRateAndBurst, ())
{
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto rate = *rc::gen::inRange<std::uint32_t>(1, 2000);
    auto burst = *rc::gen::inRange<std::uint32_t>(1, 500);
    auto admitted = Fleet(seed, rate, burst, Mutation::None).run(8000);
    RC_ASSERT(maxExcess(admitted, rate, burst) <= 0);
}

TEST(ShareBucket, CheckDetectsAHolderThatKeepsGrantedTokens)
{
    EXPECT_TRUE(someSeedExceeds(Mutation::HolderKeepsTokens));
}

TEST(ShareBucket, CheckDetectsAHolderThatReusesGrantedCapacity)
{
    EXPECT_TRUE(someSeedExceeds(Mutation::HolderReusesGrantedCapacity));
}

TEST(ShareBucket, CheckDetectsAReceiverThatCountsFromTheArrival)
{
    EXPECT_TRUE(someSeedExceeds(Mutation::ReceiverCountsFromArrival));
}

TEST(ShareBucket, CheckDetectsAReceiverThatAcceptsDuplicateGrants)
{
    EXPECT_TRUE(someSeedExceeds(Mutation::DuplicateGrantsAreAccepted));
}

TEST(ShareBucket, CheckDetectsARestartThatKeepsTokens) { EXPECT_TRUE(someSeedExceeds(Mutation::RestartKeepsTokens)); }

namespace {

// A holder with a full bucket is paused beyond the end of its lease. Another holder takes over all slots and fills its
// bucket, and then the first one resumes. Returns the millitokens that both together can spend at that moment.
std::int64_t spendableByBoth(bool checksDeadline)
{
    TimePoint start(milliseconds(1000));
    ShareBucket paused(100, 10, start);
    std::int64_t pausedLevel = paused.setUnits(unitsPerWorkspace, start + milliseconds(2850), 0);
    pausedLevel = paused.advance(start + milliseconds(1000), pausedLevel);
    ShareBucket next(100, 10, start + milliseconds(3000));
    std::int64_t nextLevel = next.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    TimePoint resumedAt = start + milliseconds(4000);
    nextLevel = next.advance(resumedAt, nextLevel);
    bool spends = !checksDeadline || resumedAt < paused.validUntil();
    return nextLevel + (spends ? pausedLevel : 0);
}

} // namespace

TEST(ShareBucket, AHolderThatResumesAfterItsLeaseSpendsNothing)
{
    EXPECT_EQ(spendableByBoth(true), 10 * milliPerToken);
    EXPECT_EQ(spendableByBoth(false), 20 * milliPerToken);
}

TEST(ShareBucket, AHolderOfAllUnitsGetsTheWholeRate)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 10, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    level = bucket.advance(start + milliseconds(50), level);
    EXPECT_EQ(level, 5 * milliPerToken);
    EXPECT_EQ(bucket.advance(start + milliseconds(5000), level), 10 * milliPerToken);
}

// A burst after an idle period must not be refilled with tokens that accrued during that period.
TEST(ShareBucket, ABurstAfterAnIdlePeriodIsNotRefilledFromThatPeriod)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 10, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    level = bucket.advance(start + milliseconds(1000), level);
    ASSERT_EQ(level, 10 * milliPerToken);
    EXPECT_EQ(bucket.advance(start + milliseconds(2000), level - 10 * milliPerToken), 0);
}

TEST(ShareBucket, UnitsExpireWithTheirLease)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 10, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + milliseconds(500), 0);
    EXPECT_EQ(bucket.advance(start + milliseconds(600), level), 0);
    EXPECT_EQ(bucket.units(), 0u);
}

TEST(ShareBucket, ALowerBurstReducesTheLevel)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 10, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    level = bucket.advance(start + milliseconds(5000), level);
    EXPECT_EQ(bucket.setRate(50, 3, level), 3 * milliPerToken);
}

TEST(ShareBucket, UnspentReceivedTokensExpireAndOwnOnesStay)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 100, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    TimePoint requestedAt = start + milliseconds(200);
    level = bucket.advance(requestedAt, level);
    level = bucket.receive(requestedAt, requestedAt, { 3 * milliPerToken, milliseconds(60) }, level);
    EXPECT_EQ(level, 23 * milliPerToken);
    // One of the three received tokens is spent, two expire, and six accrue.
    level = bucket.advance(requestedAt + milliseconds(60), level - milliPerToken);
    EXPECT_EQ(level, 26 * milliPerToken);
}

TEST(ShareBucket, GrantsExcludeReservedAndReceivedTokens)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 100, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    TimePoint now = start + milliseconds(200);
    level = bucket.advance(now, level);
    level = bucket.receive(now, now, { 3 * milliPerToken, milliseconds(60) }, level);
    auto grant = bucket.grant(now, 50 * milliPerToken, milliPerToken, level);
    EXPECT_EQ(grant.milliTokens, 19 * milliPerToken);
    EXPECT_EQ(level, 4 * milliPerToken);
}

TEST(ShareBucket, AtMostHalfOfTheBurstIsGrantedAtOnce)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 20, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    TimePoint now = start + milliseconds(1000);
    level = bucket.advance(now, level);
    EXPECT_EQ(bucket.grant(now, 20 * milliPerToken, 0, level).milliTokens, 10 * milliPerToken);
    EXPECT_EQ(bucket.grant(now, 20 * milliPerToken, 0, level).milliTokens, 0);
}

// While a change of the burst spreads, some holders use the previous number of shares.
TEST(ShareBucket, SharesOfTwoBurstsTogetherExceedTheLargerOneByLessThanAShare)
{
    constexpr double smallestShare = 4;
    auto shareAt = [](std::uint32_t burst, std::uint32_t rank) {
        std::uint32_t count = shareCountFor(burst);
        return rank < count ? static_cast<double>(burst) / count : 0;
    };
    for (std::uint32_t before = 1; before <= 100; ++before) {
        for (std::uint32_t after = 1; after <= 100; ++after) {
            double total = 0;
            for (std::uint32_t rank = 0; rank < maxSharesPerWorkspace; ++rank)
                total += std::max(shareAt(before, rank), shareAt(after, rank));
            EXPECT_LT(total, std::max(before, after) + smallestShare) << before << " to " << after;
        }
    }
}
