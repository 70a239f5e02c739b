// A fleet of 13 instances serves callers while instances are stopped, reloaded, suspended and killed, configurations
// change and members are replaced. No acknowledged commit may be lost, and no request may end without an answer around
// planned work. Plays the seeds from SOAK_SEED on, SOAK_SEEDS of them; CATKINLOCK_PROGRAM names another program.

#include "fault_soak/soak_fleet.h"
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

using namespace catkinlock::standin;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t instanceCount = 13;
constexpr int drainSeconds = 6;
constexpr milliseconds startTime { 4000 };
constexpr milliseconds playTime { 24000 };
// After the last event, so that instances that are stopping end while callers use them.
constexpr milliseconds endTime { 8000 };
constexpr std::size_t maxPrinted = 12;

unsigned numberOf(const char* variable, unsigned otherwise)
{
    const char* text = std::getenv(variable);
    return text ? static_cast<unsigned>(std::atoi(text)) : otherwise;
}

std::string programPath()
{
    const char* path = std::getenv("CATKINLOCK_PROGRAM");
    return path ? path : CATKINLOCK_BINARY;
}

const char* endName(RequestEnd end) { return end == RequestEnd::Reset ? "reset" : "closed"; }

void print(const char* kind, const std::vector<RequestRecord>& requests)
{
    for (std::size_t i = 0; i < std::min(requests.size(), maxPrinted); ++i) {
        const RequestRecord& request = requests[i];
        std::printf("%s: %s \"%s\" after \"%s\" at instance %zu, sent at %lld ms, %s at %lld ms\n", kind,
            request.id.c_str(), request.text.c_str(), request.previousText.c_str(), request.instance,
            static_cast<long long>(request.sentAt.count()), endName(request.end),
            static_cast<long long>(request.endedAt.count()));
    }
}

// One planned step.
void changeAsPlanned(SoakFleet& fleet, std::minstd_rand& random)
{
    std::size_t instance = random() % fleet.instances();
    switch (random() % 8) {
    case 0:
    case 1:
    case 2:
    case 3:
        fleet.stopInstance(instance);
        // Signals come in series too.
        if (random() % 4 == 0)
            fleet.reloadInstance(instance);
        if (random() % 4 == 0)
            fleet.stopInstance(instance);
        return;
    case 4:
        return fleet.reloadInstance(instance);
    case 5:
    case 6:
        return fleet.changeConfiguration();
    default:
        if (fleet.instances() < instanceCount + 3)
            fleet.addInstance();
        return;
    }
}

// Something happens to a group's members, and perhaps to the leader.
void disturb(SoakFleet& fleet, std::minstd_rand& random)
{
    ReplicatedGroup& group = fleet.group(random() % 3);
    milliseconds time(400 + random() % 6000);
    auto& replica = *group.members()[random() % 3];
    unsigned how = static_cast<unsigned>(random() % 5);
    fleet.disturb(fmt::format("disruption {} of {}", how, group.service()), time, [&] {
        ReplicatedMember* primary = group.primary();
        if (how == 0 && primary)
            primary->goDark(time);
        if (how == 1 && primary)
            primary->freeze(time);
        if (how == 2)
            replica.freeze(time);
        if (how == 3)
            replica.loseStore(time);
        if (how == 4)
            replica.goDark(time);
    });
    auto leader = fleet.leader();
    std::size_t instance = leader && random() % 2 ? *leader : random() % fleet.instances();
    fleet.runFor(milliseconds(random() % 3000));
    if (random() % 3 == 0)
        fleet.killInstance(instance);
    else
        fleet.suspendInstance(instance, milliseconds(100 + random() % 6000));
}

void play(unsigned seed, bool withFaults)
{
    SoakFleet fleet(programPath(), instanceCount, drainSeconds, seed);
    std::minstd_rand random(seed);
    fleet.runFor(startTime);
    fleet.setThrottled(true);
    fleet.startCallers();
    for (milliseconds at { 0 }; at < playTime;) {
        milliseconds step(300 + random() % 900);
        if (random() % 12 == 0)
            fleet.replaceMember(random() % 3, random() % 3);
        else if (withFaults && random() % 3 == 0)
            disturb(fleet, random);
        else
            changeAsPlanned(fleet, random);
        fleet.runFor(step);
        at += step;
    }
    fleet.runFor(endTime);
    fleet.endCallers();
    auto found = fleet.unanswered();
    std::printf("%s\n", fleet.summary().c_str());
    for (const auto& [error, count] : fleet.errors())
        std::printf("%zu x %s\n", count, error.c_str());
    print("lost", found.lost);
    print("cut", found.cut);
    print("opening", found.openings);
    EXPECT_EQ(fleet.lostCommits(), 0u) << "seed " << seed;
    EXPECT_EQ(fleet.repeatedWrites(), 0u) << "seed " << seed;
    EXPECT_EQ(fleet.falselyRefused(), std::set<std::string>()) << "seed " << seed;
    EXPECT_EQ(found.lost.size(), 0u) << "seed " << seed;
    EXPECT_EQ(found.cut.size(), 0u) << "seed " << seed;
    EXPECT_EQ(found.openings.size(), 0u) << "seed " << seed;
    EXPECT_EQ(fleet.instancesThatEndedBadly(), 0u) << "seed " << seed;
    // Without load, stops, promotions and operations through gateways the checks above would show nothing.
    EXPECT_TRUE(fleet.hasPrinted("statement_request:")) << "seed " << seed;
    EXPECT_GT(fleet.served(), fleet.operations() / 2) << "seed " << seed;
    EXPECT_GT(fleet.stops(), 0u) << "seed " << seed;
    EXPECT_TRUE(fleet.promotions() || !withFaults) << "seed " << seed;
    if (!testing::Test::HasFailure())
        return;
    std::printf("%s\n", fleet.history().c_str());
    const char* folder = std::getenv("SOAK_LOGS");
    for (std::size_t i = 0; folder && i < fleet.instances(); ++i) {
        if (std::FILE* file = std::fopen(fmt::format("{}/{}_{}.log", folder, seed, i).c_str(), "w")) {
            std::fputs(fleet.output(i).c_str(), file);
            std::fclose(file);
        }
    }
}

void playSeeds(bool withFaults)
{
    unsigned first = numberOf("SOAK_SEED", 1);
    for (unsigned i = 0; i < numberOf("SOAK_SEEDS", 1); ++i)
        play(first + i, withFaults);
}

} // namespace

// Guards against LOST at a planned stop: a request on an open session ends without an answer.
TEST(FaultSoak, EachRequestIsAnsweredDuringPlannedWork) { playSeeds(false); }

// Guards against LOST at a promotion while leaders stall and members fail.
TEST(FaultSoak, NoCommitIsLostWhileLeadersAndMembersStall) { playSeeds(true); }
