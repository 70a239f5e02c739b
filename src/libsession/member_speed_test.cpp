// Tests of the learned speeds of members, on virtual time: several gateways, each of which sees only its own
// statements, send reads to a group of members that change their speeds.

#include "catkinlock/rendezvous.h"
#include "libsession/member_choice.h"
#include "libsession/member_speed.h"
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <vector>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };

constexpr std::size_t memberCount = 3;
constexpr std::size_t gatewayCount = 3;
constexpr std::size_t slotsPerMember = 6;
constexpr std::size_t workspaceCount = 82;

using Speeds = std::array<double, memberCount>;

struct WorkClass {
    WorkKind kind;
    double share;
    double meanMs;
};

WorkClass workClass(
    ReadConsistency consistency, std::uint32_t priority, std::uint32_t objectiveMs, double share, double ms)
{
    return { { consistency, WorkKind::Access::Read, priority, objectiveMs }, share, ms };
}

// Shares, work and objectives of the routes of the first of the two deployments that the gateways are made for.
const std::vector<WorkClass> classes {
    workClass(ReadConsistency::Primary, 0, 200, 0.13, 11),
    workClass(ReadConsistency::BoundedAge, 2, 1500, 0.24, 55),
    workClass(ReadConsistency::ReadYourWrites, 1, 400, 0.63, 33),
};

double meanWorkMs()
{
    double sum = 0;
    for (const WorkClass& each : classes)
        sum += each.share * each.meanMs;
    return sum;
}

std::string memberName(std::size_t member) { return "m" + std::to_string(member); }

enum class Policy { Learned, KnownSpeeds, EqualShares, LeastInFlight };

struct Statement {
    TimePoint arrivedAt;
    TimePoint sentAt;
    std::size_t gateway = 0;
    const WorkClass* work = nullptr;
    double workMs = 0;
    std::size_t member = 0;
};

// Gateways and members with FIFO queues. `speedsAt`: the members' speeds; 1 is normal.
class Fleet {
public:
    Fleet(Policy policy, unsigned seed, std::function<Speeds(Duration)> speedsAt,
        std::function<Speeds(Duration)> failuresAt)
        : policy(policy)
        , random(seed)
        , speedsAt(std::move(speedsAt))
        , failuresAt(std::move(failuresAt))
    {
    }

    void run(Duration length, double statementsPerSecond)
    {
        std::exponential_distribution<double> gap(statementsPerSecond);
        TimePoint arrival = start;
        while (arrival < start + length) {
            arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->random)));
            this->finishUntil(arrival);
            this->now = arrival;
            this->arrive();
        }
        this->finishUntil(arrival + std::chrono::seconds(60));
    }

    // Statements that were served within their objective.
    std::size_t served = 0;
    std::size_t total = 0;
    // Time of sending of each statement, by member.
    std::array<std::vector<TimePoint>, memberCount> sent;

    // Part of the statements sent from `from` to `until` after the start that went to the member.
    double shareOf(std::size_t member, Milliseconds from, Milliseconds until) const
    {
        std::array<double, memberCount> counts {};
        for (std::size_t each = 0; each < memberCount; ++each) {
            for (TimePoint at : this->sent[each])
                counts[each] += at >= start + from && at < start + until;
        }
        return counts[member] / (counts[0] + counts[1] + counts[2]);
    }

private:
    struct Member {
        std::size_t running = 0;
        std::deque<Statement> queue;
    };

    // Work whose logarithm is normally distributed; three of a hundred statements take seven times as long.
    double drawWork(double meanMs)
    {
        constexpr double sigma = 0.5;
        constexpr double longShare = 0.03;
        constexpr double longFactor = 7;
        double tail = 1 + longShare * (longFactor - 1);
        std::lognormal_distribution<double> work(std::log(meanMs / tail) - sigma * sigma / 2, sigma);
        bool isLong = std::bernoulli_distribution(longShare)(this->random);
        return work(this->random) * (isLong ? longFactor : 1);
    }

    const WorkClass& drawClass()
    {
        double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
        for (const WorkClass& each : classes) {
            draw -= each.share;
            if (draw < 0)
                return each;
        }
        return classes.back();
    }

    std::size_t choose(const Statement& statement)
    {
        if (this->policy == Policy::EqualShares)
            return std::uniform_int_distribution<std::size_t>(0, memberCount - 1)(this->random);
        std::uint64_t workspace = this->random() % workspaceCount;
        Speeds speeds = this->speedsAt(this->now - start);
        std::vector<MemberLoad> loads(memberCount);
        for (std::size_t i = 0; i < memberCount; ++i) {
            MemberSpeed& speed = this->learned[statement.gateway];
            loads[i].inFlight = this->inFlight[statement.gateway][i];
            loads[i].maxConcurrentStatements = slotsPerMember / gatewayCount;
            loads[i].hasIdleConnection = true;
            loads[i].tieBreak = stableHash(memberName(i), workspace);
            if (this->policy == Policy::KnownSpeeds)
                loads[i].responseTime = std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>(statement.work->meanMs / speeds[i]));
            if (this->policy == Policy::Learned) {
                loads[i].responseTime
                    = speed.expectedTime(memberName(i), statement.work->kind).value_or(Milliseconds(20));
                loads[i].needsProbe = speed.needsProbe(memberName(i), this->now);
            }
        }
        return *chooseMember(loads);
    }

    void arrive()
    {
        Statement statement;
        statement.arrivedAt = this->now;
        statement.gateway = this->random() % gatewayCount;
        statement.work = &this->drawClass();
        statement.workMs = this->drawWork(statement.work->meanMs);
        ++this->total;
        this->send(statement);
    }

    void send(Statement statement)
    {
        statement.sentAt = this->now;
        statement.member = this->choose(statement);
        this->sent[statement.member].push_back(this->now);
        this->learned[statement.gateway].recordSent(memberName(statement.member), this->now);
        ++this->inFlight[statement.gateway][statement.member];
        this->members[statement.member].queue.push_back(statement);
        this->startNext(statement.member);
    }

    void startNext(std::size_t index)
    {
        Member& member = this->members[index];
        while (member.running < slotsPerMember && !member.queue.empty()) {
            Statement statement = member.queue.front();
            member.queue.pop_front();
            ++member.running;
            double ms = statement.workMs / this->speedsAt(this->now - start)[index];
            auto took = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
            this->ends.emplace(this->now + took, statement);
        }
    }

    void finishUntil(TimePoint until)
    {
        while (!this->ends.empty() && this->ends.begin()->first <= until) {
            auto [at, statement] = *this->ends.begin();
            this->ends.erase(this->ends.begin());
            this->now = at;
            this->finish(statement);
        }
    }

    void finish(const Statement& statement)
    {
        std::size_t index = statement.member;
        --this->members[index].running;
        --this->inFlight[statement.gateway][index];
        this->startNext(index);
        MemberSpeed& speed = this->learned[statement.gateway];
        Duration took = this->now - statement.sentAt;
        bool inTime = this->now - statement.arrivedAt <= Milliseconds(statement.work->kind.latencyObjectiveMs);
        double failures = this->failuresAt(this->now - start)[index];
        if (std::bernoulli_distribution(failures)(this->random)) {
            speed.recordFailure(memberName(index), statement.work->kind, took, this->now);
            if (inTime)
                this->send(statement);
            return;
        }
        speed.recordReply(memberName(index), statement.work->kind, took, this->now);
        this->served += inTime;
    }

    Policy policy;
    std::mt19937 random;
    std::function<Speeds(Duration)> speedsAt;
    std::function<Speeds(Duration)> failuresAt;
    std::array<MemberSpeed, gatewayCount> learned;
    std::array<std::array<std::size_t, memberCount>, gatewayCount> inFlight {};
    std::array<Member, memberCount> members;
    std::multimap<TimePoint, Statement> ends;
    TimePoint now = start;
};

Speeds never(Duration) { return { 0, 0, 0 }; }

// The speeds 1, 1/2 and 1/5, which the members exchange every ten seconds.
Speeds exchangedSpeeds(Duration since)
{
    const Speeds speeds { 1, 0.5, 0.2 };
    auto round = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(since).count()) / 10;
    return { speeds[round % 3], speeds[(round + 1) % 3], speeds[(round + 2) % 3] };
}

// Part of the capacity at the speeds 1, 1/2 and 1/5 that the callers ask for.
constexpr double utilisation = 0.8;

double servedShare(Policy policy, unsigned seed)
{
    double perSecond = utilisation * (1 + 0.5 + 0.2) * slotsPerMember * 1000 / meanWorkMs();
    Fleet fleet(policy, seed, exchangedSpeeds, never);
    fleet.run(std::chrono::seconds(60), perSecond);
    return static_cast<double>(fleet.served) / static_cast<double>(fleet.total);
}

// Statements a second of three members and three gateways: 25 for each member and gateway.
constexpr double normalRate = 225;

} // namespace

// Guards against statements that wait at a slow member while a fast one has free places.
TEST(MemberSpeed, ServesNearlyAsMuchAsAnAllocationThatKnowsTheSpeeds)
{
    for (unsigned seed : { 1, 2, 3, 4, 5 }) {
        double learned = servedShare(Policy::Learned, seed);
        double known = servedShare(Policy::KnownSpeeds, seed);
        double equal = servedShare(Policy::EqualShares, seed);
        double least = servedShare(Policy::LeastInFlight, seed);
        EXPECT_GE(learned, 0.95 * known);
        EXPECT_GT(learned, equal);
        EXPECT_GE(learned, 0.95 * least);
    }
}

// Guards against a member that goes on getting its share for seconds after it became slow, and against one that is
// avoided for ever because nothing shows that it recovered.
TEST(MemberSpeed, ASlowMemberLosesLoadWithinASecondAndGetsItBackWithinTwo)
{
    auto speeds = [](Duration since) {
        bool slow = since >= std::chrono::seconds(10) && since < std::chrono::seconds(20);
        return Speeds { slow ? 1.0 / 3 : 1, 1, 1 };
    };
    for (unsigned seed : { 1, 2, 3, 4, 5 }) {
        Fleet fleet(Policy::Learned, seed, speeds, never);
        fleet.run(std::chrono::seconds(30), normalRate);
        double before = fleet.shareOf(0, Milliseconds(5000), Milliseconds(10000));
        double slow = fleet.shareOf(0, Milliseconds(11000), Milliseconds(12000));
        double later = fleet.shareOf(0, Milliseconds(12000), Milliseconds(20000));
        double recovered = fleet.shareOf(0, Milliseconds(22000), Milliseconds(24000));
        EXPECT_LT(slow, before / 2);
        EXPECT_LT(later, before / 2);
        EXPECT_GT(recovered, before / 2);
    }
}

// Guards against a member that fails quickly and therefore looks like the fastest one.
TEST(MemberSpeed, AMemberThatFailsAFractionOfItsStatementsLosesLoad)
{
    auto speeds = [](Duration) { return Speeds { 1, 1, 1 }; };
    auto failures = [](Duration since) { return Speeds { since >= std::chrono::seconds(10) ? 0.4 : 0, 0, 0 }; };
    for (unsigned seed : { 1, 2, 3 }) {
        Fleet fleet(Policy::Learned, seed, speeds, failures);
        fleet.run(std::chrono::seconds(20), normalRate);
        double before = fleet.shareOf(0, Milliseconds(5000), Milliseconds(10000));
        double failing = fleet.shareOf(0, Milliseconds(11000), Milliseconds(20000));
        EXPECT_LT(failing, before / 2);
    }
}

TEST(MemberSpeed, AnAvoidedMemberIsProbed)
{
    MemberSpeed speed;
    WorkKind kind;
    TimePoint now = start;
    for (int i = 0; i < 40; ++i) {
        now += Milliseconds(20);
        speed.recordReply("fast", kind, Milliseconds(10), now);
        speed.recordReply("slow", kind, Milliseconds(50), now);
    }
    EXPECT_NEAR(speed.slowness("slow"), 5, 0.5);
    speed.recordSent("slow", now);
    EXPECT_FALSE(speed.needsProbe("slow", now + Milliseconds(100)));
    EXPECT_TRUE(speed.needsProbe("slow", now + Milliseconds(400)));
    EXPECT_FALSE(speed.needsProbe("fast", now + Milliseconds(400)));
}

// Guards against a member that looks slow only because it gets the long kind of work.
TEST(MemberSpeed, ComparesMembersByKindOfWork)
{
    MemberSpeed speed;
    WorkKind quick;
    WorkKind lengthy;
    lengthy.consistency = ReadConsistency::BoundedAge;
    TimePoint now = start;
    for (int i = 0; i < 100; ++i) {
        now += Milliseconds(20);
        speed.recordReply("a", quick, Milliseconds(10), now);
        speed.recordReply("a", lengthy, Milliseconds(60), now);
        speed.recordReply("b", i % 5 ? lengthy : quick, i % 5 ? Milliseconds(60) : Milliseconds(10), now);
    }
    EXPECT_LT(speed.slowness("a"), 1.2);
    EXPECT_LT(speed.slowness("b"), 1.2);
}
