// The shares of a workspace's rate: all instances together must never admit more than rate and burst, although messages
// are lost, delayed or duplicated, instances pause or restart, and slots change holders.

#include "catkinlock/share_bucket.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

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

// One token bucket with the rate and burst of a whole workspace, in integers. Its level, in millitokens, is negative at
// some time exactly if in some window, of any length, more than rate * length + burst requests were admitted.
class ExactBucket {
public:
    ExactBucket(std::uint32_t rate, std::uint32_t burst)
        : rate(rate)
        , capacity(burst * milliPerToken)
        , level(this->capacity)
    {
    }

    void advance(milliseconds elapsed)
    {
        this->level = std::min(this->capacity, this->level + elapsed.count() * std::int64_t { this->rate });
    }
    void take() { this->lowest = std::min(this->lowest, this->level -= milliPerToken); }
    std::int64_t lowestLevel() const { return this->lowest; }

private:
    std::uint32_t rate;
    std::int64_t capacity;
    std::int64_t level;
    std::int64_t lowest = 0;
};

struct ScheduleStep {
    enum class Kind {
        // Spends up to `count` tokens without a refill.
        Spend,
        Refill,
        // Requests `count` tokens from `other`. The reply is lost, late or duplicated if the flags say so.
        Request,
        Restart,
        // Gives up the lease on one slot, which `other` acquires at once.
        Release,
        // Does not renew its lease again until the platform has ended it and `other` has acquired all its slots.
        LoseLease,
    };
    // Time since the previous step.
    milliseconds wait { 0 };
    Kind kind = Kind::Spend;
    std::size_t instance = 0;
    std::size_t other = 0;
    int count = 0;
    bool isLost = false;
    bool isLate = false;
    bool isDuplicate = false;
};

std::ostream& operator<<(std::ostream& out, const ScheduleStep& step)
{
    return out << "+" << step.wait.count() << " ms kind " << static_cast<int>(step.kind) << " at " << step.instance
               << " other " << step.other << " count " << step.count << (step.isLost ? " lost" : "")
               << (step.isLate ? " late" : "") << (step.isDuplicate ? " duplicate" : "");
}

constexpr std::size_t scheduledInstances = 3;

// Most waits are short; some are long enough for grants, and a few for leases, to end.
rc::Gen<ScheduleStep> scheduleStep()
{
    using Kind = ScheduleStep::Kind;
    auto wait = rc::gen::map(rc::gen::weightedOneOf<int>({ { 6, rc::gen::inRange(0, 30) },
                                 { 3, rc::gen::inRange(100, 200) }, { 3, rc::gen::inRange(200, 4500) } }),
        [](int ms) { return milliseconds(ms); });
    auto kind = rc::gen::weightedElement<Kind>({ { 8, Kind::Spend }, { 1, Kind::Refill }, { 5, Kind::Request },
        { 1, Kind::Restart }, { 1, Kind::Release }, { 1, Kind::LoseLease } });
    auto instance = rc::gen::inRange<std::size_t>(0, scheduledInstances);
    auto count = rc::gen::weightedOneOf<int>({ { 1, rc::gen::inRange(1, 20) }, { 2, rc::gen::inRange(20, 600) } });
    auto rarely = rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
    return rc::gen::build<ScheduleStep>(rc::gen::set(&ScheduleStep::wait, wait),
        rc::gen::set(&ScheduleStep::kind, kind), rc::gen::set(&ScheduleStep::instance, instance),
        rc::gen::set(&ScheduleStep::other, instance), rc::gen::set(&ScheduleStep::count, count),
        rc::gen::set(&ScheduleStep::isLost, rarely), rc::gen::set(&ScheduleStep::isLate, rarely),
        rc::gen::set(&ScheduleStep::isDuplicate, rarely));
}

// As long for the first cases of a property as for the last ones.
rc::Gen<std::vector<ScheduleStep>> schedule()
{
    constexpr std::size_t stepCount = 500;
    return rc::gen::resize(100, rc::gen::container<std::vector<ScheduleStep>>(stepCount, scheduleStep()));
}

// A deliberate fault of the schedules' fleet, which the comparison has to detect.
enum class ScheduleFault {
    None,
    RestartKeepsTokens,
    SlotsChangeHandsBeforeTheLeaseEnds,
    HolderTakesBackTokensOfALostReply,
};

// Plays a schedule in virtual time. The instances renew their leases every 4 s and refill only then or when a step says
// so, like an instance with a quiet workspace.
class ScheduledFleet {
public:
    ScheduledFleet(std::uint32_t rate, std::uint32_t burst, ScheduleFault fault)
        : rate(rate)
        , burst(burst)
        , fault(fault)
        , exact(rate, burst)
    {
        for (std::size_t i = 0; i < scheduledInstances; ++i) {
            this->instances[i].bucket.emplace_back(rate, burst, this->now);
            this->instances[i].slots = i == 0 ? 2 : 1;
            this->renew(i);
        }
    }

    // Returns the lowest level of the exact bucket, which is 0 if no window exceeds the limit.
    std::int64_t play(const std::vector<ScheduleStep>& steps)
    {
        for (const ScheduleStep& step : steps) {
            this->advanceTo(this->now + step.wait);
            this->run(step);
        }
        return this->exact.lowestLevel();
    }

private:
    struct ScheduledInstance {
        // Empty before the start.
        std::vector<ShareBucket> bucket;
        std::int64_t level = 0;
        std::uint32_t slots = 0;
        TimePoint leaseEnd;
        bool renews = true;
        // Ids of the requests that no reply has arrived for; a restart forgets them.
        std::set<std::uint64_t> pending;
    };

    static constexpr std::uint64_t unitsPerScheduledSlot = unitsPerWorkspace / 4;
    static constexpr milliseconds leaseTime { 12000 };
    static constexpr milliseconds renewalInterval { 4000 };
    static constexpr milliseconds messageDelay { 3 };

    void advanceTo(TimePoint time)
    {
        while (!this->events.empty() && this->events.begin()->first <= time) {
            auto event = this->events.extract(this->events.begin());
            this->setTime(event.key());
            event.mapped()();
        }
        this->setTime(time);
    }

    void setTime(TimePoint time)
    {
        this->exact.advance(std::chrono::duration_cast<milliseconds>(time - this->now));
        this->now = time;
    }

    ShareBucket& refill(std::size_t index)
    {
        ScheduledInstance& instance = this->instances[index];
        instance.level = instance.bucket[0].advance(this->now, instance.level);
        return instance.bucket[0];
    }

    void applySlots(std::size_t index)
    {
        ScheduledInstance& instance = this->instances[index];
        ShareBucket& bucket = this->refill(index);
        instance.level = bucket.setUnits(unitsPerScheduledSlot * instance.slots, instance.leaseEnd, instance.level);
    }

    void renew(std::size_t index)
    {
        ScheduledInstance& instance = this->instances[index];
        if (instance.renews) {
            instance.leaseEnd = this->now + leaseTime;
            this->applySlots(index);
        }
        this->events.emplace(this->now + renewalInterval, [this, index] { this->renew(index); });
    }

    void run(const ScheduleStep& step)
    {
        switch (step.kind) {
        case ScheduleStep::Kind::Spend:
            return this->spend(step.instance, step.count);
        case ScheduleStep::Kind::Refill:
            this->refill(step.instance);
            return;
        case ScheduleStep::Kind::Request:
            return this->request(step);
        case ScheduleStep::Kind::Restart:
            return this->restart(step.instance);
        case ScheduleStep::Kind::Release:
            return this->release(step.instance, step.other);
        case ScheduleStep::Kind::LoseLease:
            return this->loseLease(step.instance, step.other);
        }
    }

    void spend(std::size_t index, int count)
    {
        ScheduledInstance& instance = this->instances[index];
        for (; count && instance.level >= milliPerToken && this->now < instance.bucket[0].validUntil(); --count) {
            instance.level -= milliPerToken;
            this->exact.take();
        }
    }

    void request(const ScheduleStep& step)
    {
        std::uint64_t id = ++this->lastId;
        this->instances[step.instance].pending.insert(id);
        this->events.emplace(this->now + messageDelay,
            [this, step, id, requestedAt = this->now] { this->reply(step, id, requestedAt); });
    }

    void reply(const ScheduleStep& step, std::uint64_t id, TimePoint requestedAt)
    {
        ScheduledInstance& holder = this->instances[step.other];
        ShareBucket& bucket = this->refill(step.other);
        TokenGrant grant = bucket.grant(this->now, step.count * milliPerToken, 0, holder.level);
        if (step.isLost && this->fault == ScheduleFault::HolderTakesBackTokensOfALostReply) {
            // A holder that takes a late reply for a lost one.
            holder.level += grant.milliTokens;
        } else if (step.isLost) {
            return;
        }
        TimePoint arrival = this->now + (step.isLate ? grantDuration : messageDelay);
        for (int copy = step.isDuplicate ? 2 : 1; copy; --copy)
            this->events.emplace(arrival,
                [this, step, id, requestedAt, grant] { this->receive(step.instance, id, requestedAt, grant); });
    }

    void receive(std::size_t index, std::uint64_t id, TimePoint requestedAt, const TokenGrant& grant)
    {
        ScheduledInstance& instance = this->instances[index];
        if (!instance.pending.erase(id))
            return;
        ShareBucket& bucket = this->refill(index);
        instance.level = bucket.receive(requestedAt, this->now, grant, instance.level);
    }

    // The instance has its slots again at once, and no tokens.
    void restart(std::size_t index)
    {
        ScheduledInstance& instance = this->instances[index];
        this->refill(index);
        std::int64_t level = this->fault == ScheduleFault::RestartKeepsTokens ? instance.level : 0;
        instance.bucket[0] = ShareBucket(this->rate, this->burst, this->now);
        instance.level = instance.bucket[0].setUnits(unitsPerScheduledSlot * instance.slots, instance.leaseEnd, 0);
        instance.level += level;
        instance.pending.clear();
    }

    void release(std::size_t from, std::size_t to)
    {
        if (!this->instances[from].slots || !this->instances[from].renews || !this->instances[to].renews)
            return;
        --this->instances[from].slots;
        this->applySlots(from);
        ++this->instances[to].slots;
        this->applySlots(to);
    }

    void loseLease(std::size_t from, std::size_t to)
    {
        ScheduledInstance& instance = this->instances[from];
        if (from == to || !instance.renews || this->now >= instance.leaseEnd)
            return;
        instance.renews = false;
        bool tooEarly = this->fault == ScheduleFault::SlotsChangeHandsBeforeTheLeaseEnds;
        TimePoint end = tooEarly ? this->now : instance.leaseEnd;
        this->events.emplace(end, [this, from, to] {
            std::uint32_t slots = std::exchange(this->instances[from].slots, 0);
            this->instances[to].slots += slots;
            if (this->instances[to].renews)
                this->applySlots(to);
        });
        this->events.emplace(instance.leaseEnd, [this, from] { this->instances[from].renews = true; });
    }

    std::uint32_t rate;
    std::uint32_t burst;
    ScheduleFault fault;
    ExactBucket exact;
    TimePoint now { milliseconds(1000) };
    std::array<ScheduledInstance, scheduledInstances> instances;
    std::multimap<TimePoint, std::function<void()>> events;
    std::uint64_t lastId = 0;
};

bool someScheduleShows(ScheduleFault fault)
{
    auto schedules = schedule();
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        auto steps = schedules(rc::Random(seed), 100).value();
        if (ScheduledFleet(100, 300, fault).play(steps) < 0)
            return true;
    }
    return false;
}

} // namespace

// Guards against tokens that accrue to a full bucket and are then added to the spent one: a quiet workspace could admit
// its burst and the rate of several seconds at once, if a grant to another instance ended in between.
RC_GTEST_PROP(ShareBucket, NoScheduleAdmitsMoreThanOneExactBucket, ())
{
    auto rate = *rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(1, 1000));
    auto burst = *rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(1, 500));
    auto steps = *schedule();
    RC_ASSERT(ScheduledFleet(rate, burst, ScheduleFault::None).play(steps) >= 0);
}

TEST(ShareBucket, SchedulesDetectARestartThatKeepsTokens)
{
    EXPECT_TRUE(someScheduleShows(ScheduleFault::RestartKeepsTokens));
}

TEST(ShareBucket, SchedulesDetectSlotsThatChangeHandsTooEarly)
{
    EXPECT_TRUE(someScheduleShows(ScheduleFault::SlotsChangeHandsBeforeTheLeaseEnds));
}

TEST(ShareBucket, SchedulesDetectAHolderThatTakesBackGrantedTokens)
{
    EXPECT_TRUE(someScheduleShows(ScheduleFault::HolderTakesBackTokensOfALostReply));
}

TEST(ShareBucket, SchedulesOfAFleetWithoutFaultShowNone) { EXPECT_FALSE(someScheduleShows(ScheduleFault::None)); }

// A grant to another instance ends while the workspace is quiet, and the burst that follows is spent before the next
// refill. The tokens that accrued before the burst were dropped by the full bucket.
TEST(ShareBucket, SpendingAfterTheEndOfAGrantIsNotCountedAtThatEnd)
{
    TimePoint start(milliseconds(1000));
    ShareBucket bucket(100, 300, start);
    std::int64_t level = bucket.setUnits(unitsPerWorkspace, start + std::chrono::hours(1), 0);
    TimePoint now = start + milliseconds(5000);
    level = bucket.advance(now, level);
    bucket.grant(now, milliPerToken, 0, level);
    ASSERT_EQ(level, 299 * milliPerToken);
    EXPECT_EQ(bucket.advance(now + milliseconds(4000), level - 299 * milliPerToken), milliPerToken);
}

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
