// The limits of callers' connections, without a network.

#include "catkinlock/caller_budget.h"
#include <gtest/gtest.h>
#include <random>
#include <vector>

using namespace catkinlock;

namespace {

using Part = CallerCharge::Part;

constexpr std::uint64_t mib = 1 << 20;
constexpr std::uint64_t freeBytes = CallerBudget::freeBytes;

std::shared_ptr<CallerCharge> admit(CallerBudget& budget, const std::string& address = "10.0.0.1")
{
    auto charge = budget.admit(address);
    EXPECT_TRUE(charge);
    return charge ? *charge : nullptr;
}

} // namespace

TEST(CallerBudget, ConnectionsAreLimitedAndGivenBack)
{
    auto budget = std::make_shared<CallerBudget>(CallerLimits { 0, 0, 2 });
    auto first = admit(*budget);
    auto second = admit(*budget);
    auto third = budget->admit("10.0.0.2");
    ASSERT_FALSE(third);
    EXPECT_EQ(third.error(), CallerLimit::Connections);
    first.reset();
    EXPECT_TRUE(budget->admit("10.0.0.2"));
    EXPECT_EQ(budget->connections(), 1u);
}

TEST(CallerBudget, AnAddressAtItsLimitLeavesOthersAlone)
{
    auto budget = std::make_shared<CallerBudget>(CallerLimits { 0, 0, 0, 1 });
    auto first = admit(*budget);
    auto second = budget->admit("10.0.0.1");
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error(), CallerLimit::ConnectionsPerAddress);
    EXPECT_TRUE(budget->admit("10.0.0.2"));
    first.reset();
    EXPECT_TRUE(budget->admit("10.0.0.1"));
}

TEST(CallerBudget, AConnectionsPartsAreAddedUp)
{
    auto budget = std::make_shared<CallerBudget>(CallerLimits { 2 * mib, 0 });
    auto charge = admit(*budget);
    EXPECT_FALSE(charge->hold(Part::Received, mib));
    EXPECT_FALSE(charge->hold(Part::Session, mib));
    EXPECT_EQ(charge->hold(Part::Statement, 1), CallerLimit::ConnectionBytes);
    EXPECT_EQ(charge->bytes(), 2 * mib);
    EXPECT_EQ(charge->takeLimitMet(), CallerLimit::ConnectionBytes);
    EXPECT_FALSE(charge->takeLimitMet());
    EXPECT_FALSE(charge->hold(Part::Received, 0));
    EXPECT_FALSE(charge->hold(Part::Statement, mib));
}

// Guards against a crowd that holds the whole sum and thereby keeps ordinary callers from being served.
TEST(CallerBudget, SmallConnectionsAreServedWhileOthersHoldTheSum)
{
    auto budget = std::make_shared<CallerBudget>(CallerLimits { 0, mib });
    auto large = admit(*budget);
    EXPECT_FALSE(large->hold(Part::Received, mib + freeBytes));
    auto ordinary = admit(*budget);
    EXPECT_FALSE(ordinary->hold(Part::Received, freeBytes));
    EXPECT_EQ(ordinary->hold(Part::Received, freeBytes + 1), CallerLimit::TotalBytes);
    large.reset();
    EXPECT_FALSE(ordinary->hold(Part::Received, mib));
    EXPECT_EQ(budget->totalBytes(), mib - freeBytes);
}

TEST(CallerBudget, WhatIsHeldInAnyCaseCountsForOthers)
{
    auto budget = std::make_shared<CallerBudget>(CallerLimits { mib, mib });
    auto first = admit(*budget);
    first->record(Part::Reply, 3 * mib);
    EXPECT_FALSE(first->hold(Part::Reply, 2 * mib));
    auto second = admit(*budget);
    EXPECT_EQ(second->hold(Part::Received, mib), CallerLimit::TotalBytes);
}

// Guards against bytes that are given back twice or never.
TEST(CallerBudget, TheSumIsThatOfTheConnections)
{
    std::minstd_rand random(7);
    auto budget = std::make_shared<CallerBudget>(CallerLimits { 4 * mib, 16 * mib, 20, 8 });
    std::vector<std::shared_ptr<CallerCharge>> open;
    for (int step = 0; step < 20000; ++step) {
        if (auto charge = budget->admit(std::to_string(random() % 4)); charge && random() % 2)
            open.push_back(*charge);
        if (!open.empty() && random() % 3 == 0)
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(random() % open.size()));
        if (!open.empty())
            open[random() % open.size()]->hold(Part(random() % CallerCharge::partCount), random() % (3 * mib));
        std::uint64_t expected = 0;
        for (const auto& charge : open)
            expected += charge->bytes() - std::min(charge->bytes(), freeBytes);
        ASSERT_EQ(budget->totalBytes(), expected) << "step " << step;
        ASSERT_LE(expected, 16 * mib);
        ASSERT_EQ(budget->connections(), open.size());
        ASSERT_LE(open.size(), 20u);
    }
}

TEST(CallerBudget, ALargeReplyHasMoreTime)
{
    CallerLimits limits;
    limits.replyTime = Milliseconds(100);
    CallerBudget budget(limits);
    EXPECT_EQ(budget.replyTime(1), Milliseconds(100));
    EXPECT_EQ(budget.replyTime(3 * mib), Milliseconds(400));
}

TEST(CallerBudget, LogLinesOfALimitAreLimited)
{
    CallerBudget budget(CallerLimits {});
    TimePoint now = Clock::now();
    int lines = 0;
    for (int i = 0; i < 100; ++i)
        lines += budget.recordLimitMet(CallerLimit::TotalBytes, now);
    EXPECT_EQ(lines, static_cast<int>(CallerBudget::maxLogLinesPerSecond));
    EXPECT_EQ(budget.timesMet(CallerLimit::TotalBytes), 100u);
    EXPECT_TRUE(budget.recordLimitMet(CallerLimit::ArrivalTime, now));
}

// The smallest machine of the deployments serves its share of 4,000 sessions and several messages of 1 MiB at a time.
TEST(CallerBudget, DefaultsFitTheSmallestMachine)
{
    CallerLimits limits = deriveCallerLimits({}, 112, 3010);
    EXPECT_EQ(limits.maxTotalBytes, 28 * mib);
    EXPECT_EQ(limits.maxConnectionBytes, 14 * mib);
    EXPECT_EQ(limits.maxConnections, 1505u);
    EXPECT_EQ(limits.maxConnectionsPerAddress, 0u);
    EXPECT_EQ(deriveCallerLimits({}, 0, 0).maxTotalBytes, 0u);
    EXPECT_EQ(deriveCallerLimits({}, 0, 0).maxConnectionBytes, 0u);
}
