#include "libserver/slot_keeper.h"
#include "platform/kv_store.h"
#include "standin/kv_service.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace catkinlock;
using namespace catkinlock::standin;

namespace {

namespace asio = boost::asio;

constexpr std::uint32_t slotCount = 4;
constexpr std::uint32_t leaseSeconds = 6;
// Longest time that a test waits for a condition.
constexpr std::chrono::seconds patience { 30 };

struct Holder {
    Holder(asio::io_context& context, const std::string& storeAddress, const std::string& name,
        const std::vector<std::string>& fleet)
        : keeper(std::make_shared<SlotKeeper>(context, std::make_shared<platform::KvStore>(context, storeAddress),
            SlotKeeper::Options { slotCount, leaseSeconds, name, name + ":1" },
            SlotKeeper::Hooks { [this](const auto& held, TimePoint until) {
                                   this->slots = held;
                                   this->validUntil = until;
                               },
                [&fleet] { return fleet; }, [] { return std::optional<bool>(false); },
                [](std::uint32_t) { return false; } }))
    {
        this->keeper->start();
    }

    std::set<std::uint32_t> inUse() const
    {
        return Clock::now() < this->validUntil ? this->slots : std::set<std::uint32_t>();
    }

    std::set<std::uint32_t> slots;
    TimePoint validUntil;
    std::shared_ptr<SlotKeeper> keeper;
};

class SlotsAfterARestore : public testing::Test {
protected:
    SlotsAfterARestore()
        : service(std::make_shared<KvService>(this->context, [](const std::string&) {}))
        , storeAddress(this->service->start())
    {
    }

    // Runs all instances until the condition holds, and checks all the while that no slot is in use twice.
    bool runUntil(std::function<bool()> condition)
    {
        TimePoint end = Clock::now() + patience;
        while (!condition() && Clock::now() < end) {
            this->context.run_one_for(std::chrono::milliseconds(5));
            this->checkOneHolder();
        }
        return condition();
    }
    void runFor(Milliseconds time)
    {
        TimePoint end = Clock::now() + time;
        this->runUntil([end] { return Clock::now() >= end; });
    }
    void checkOneHolder()
    {
        std::size_t inUse = 0;
        std::set<std::uint32_t> distinct;
        for (const auto& holder : this->holders) {
            auto slots = holder->inUse();
            inUse += slots.size();
            distinct.insert(slots.begin(), slots.end());
        }
        ASSERT_EQ(distinct.size(), inUse);
    }
    Holder& add(const std::string& name)
    {
        this->holders.push_back(std::make_unique<Holder>(this->context, this->storeAddress, name, this->fleet));
        return *this->holders.back();
    }

    asio::io_context context;
    std::shared_ptr<KvService> service;
    std::string storeAddress;
    std::vector<std::string> fleet { "a", "b" };
    std::vector<std::unique_ptr<Holder>> holders;
};

} // namespace

TEST_F(SlotsAfterARestore, AnInstanceThatStartsDoesNotTakeSlotsThatAreStillInUse)
{
    Holder& first = this->add("a");
    ASSERT_TRUE(this->runUntil([&] { return first.inUse().size() == 2; }));
    this->service->takeCopy();
    this->fleet = { "a" };
    ASSERT_TRUE(this->runUntil([&] { return first.inUse().size() == slotCount; }));
    TimePoint until = first.validUntil;
    // The lease has just been renewed, so the holder learns of the restore as late as it can.
    ASSERT_TRUE(this->runUntil([&] { return first.validUntil > until; }));
    this->service->restoreCopy();
    Holder& second = this->add("b");
    ASSERT_TRUE(this->runUntil([&] { return this->service->contents().size() == slotCount + 1; }));
    EXPECT_EQ(first.inUse().size(), slotCount);
    this->fleet = { "a", "b" };
    EXPECT_TRUE(this->runUntil([&] { return second.inUse().size() == 2; }));
}

TEST_F(SlotsAfterARestore, AnInstanceThatDoesNotShareTheSlotsGivesItsOwnBack)
{
    Holder& first = this->add("a");
    ASSERT_TRUE(this->runUntil([&] { return first.inUse().size() == 2; }));
    this->fleet = { "b" };
    Holder& second = this->add("b");
    EXPECT_TRUE(this->runUntil([&] { return second.inUse().size() == slotCount; }));
    EXPECT_TRUE(first.inUse().empty());
}

// Guards against a renewal that is retried no sooner than the claim of slots that others hold.
TEST_F(SlotsAfterARestore, AHolderThatWantsMoreSlotsKeepsItsOwnThroughAShortOutage)
{
    for (std::uint32_t slot = 1; slot < slotCount; ++slot)
        this->service->put(std::string(slotPrefix) + std::to_string(slot), "{}");
    Holder& holder = this->add("a");
    ASSERT_TRUE(this->runUntil([&] { return holder.inUse().size() == 1; }));
    this->runFor(std::chrono::seconds(14));
    this->service->setUnavailable(true);
    this->runFor(std::chrono::milliseconds(2500));
    this->service->setUnavailable(false);
    bool lost = false;
    TimePoint end = Clock::now() + std::chrono::seconds(leaseSeconds);
    this->runUntil([&] {
        lost = lost || holder.inUse().empty();
        return Clock::now() >= end;
    });
    EXPECT_FALSE(lost);
}

TEST_F(SlotsAfterARestore, AHolderClaimsItsSlotsAgainWithoutAGap)
{
    this->fleet = { "a" };
    Holder& first = this->add("a");
    this->service->takeCopy();
    ASSERT_TRUE(this->runUntil([&] { return first.inUse().size() == slotCount; }));
    this->service->restoreCopy();
    first.keeper->recordEra(1);
    bool gap = false;
    EXPECT_TRUE(this->runUntil([&] {
        gap = gap || first.inUse().size() < slotCount;
        return this->service->contents().size() >= slotCount;
    }));
    EXPECT_FALSE(gap);
}
