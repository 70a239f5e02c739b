// Checks that several instances, which exchange messages over loopback, enforce the rate of one workspace together.

#include "catkinlock/membership.h"
#include "catkinlock/peer_link.h"
#include "libserver/admission.h"
#include "peer.pb.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <set>

using namespace catkinlock;

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t slotCount = 8;
constexpr std::uint32_t rate = 100;
constexpr std::uint32_t burst = 40;

struct Instance {
    Instance(asio::io_context& context, const std::string& name)
        : link(std::make_shared<PeerLink>(context, "a-secret-of-the-test"))
    {
        this->record = { name, this->link->bind("127.0.0.1:0"), "dc", 1, 1, InstanceState::Live, {} };
        this->membership = std::make_shared<Membership>(this->record);
        this->admission = std::make_shared<Admission>(context, context.get_executor(), this->link, this->membership);
        this->link->start([this](const wire::Envelope& envelope) {
            if (envelope.has_token_request())
                this->admission->receiveTokenRequest(envelope.sender(), envelope.token_request());
            if (envelope.has_token_reply())
                this->admission->receiveTokenReply(envelope.token_reply());
        });
        this->admission->updateSlots({}, Clock::now(), slotCount);
        Tables tables;
        tables.workspaces["tours"] = { "tours", rate, burst, 1 };
        this->admission->updateTables(tables);
        this->admission->start();
    }

    void setSlots(std::set<std::uint32_t> slots)
    {
        this->record.slots = { slots.begin(), slots.end() };
        this->membership->setSelf(InstanceState::Live, this->record.slots);
        this->admission->updateSlots(slots, Clock::now() + std::chrono::hours(1), slotCount);
    }
    void addPeer(Instance& other)
    {
        InstanceRecord peerRecord = other.record;
        peerRecord.version = ++this->version;
        this->membership->apply(peerRecord, Clock::now());
    }

    std::shared_ptr<PeerLink> link;
    InstanceRecord record;
    std::shared_ptr<Membership> membership;
    std::shared_ptr<Admission> admission;
    std::uint64_t version = 1;
};

// Instance `a` holds half of the rate and `b` the other half; `c` holds nothing.
struct Fleet {
    Fleet()
    {
        this->a.setSlots({ 0, 1, 2, 3 });
        this->b.setSlots({ 4, 5, 6, 7 });
        for (Instance* one : { &this->a, &this->b, &this->c }) {
            for (Instance* other : { &this->a, &this->b, &this->c }) {
                if (one != other)
                    one->addPeer(*other);
            }
        }
    }

    template <typename Work> void run(Work work) { standin::runToEnd(this->context, work); }

    asio::awaitable<void> pause(Milliseconds time)
    {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::io_context context;
    Instance a { this->context, "a" };
    Instance b { this->context, "b" };
    Instance c { this->context, "c" };
};

} // namespace

// Load: few requests at an instance that holds no part of the rate; it depends on grants from the other two.
TEST(Admission, AnInstanceWithoutUnitsServesFromTheHoldersTokens)
{
    Fleet fleet;
    int admitted = 0;
    fleet.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < 200 && admitted < 20; ++i) {
            auto taken = co_await fleet.c.admission->admit("tours", Clock::now() + std::chrono::seconds(5));
            admitted += taken.has_value();
            co_await fleet.pause(Milliseconds(5));
        }
    });
    EXPECT_EQ(admitted, 20);
}

// Load: the same again after a pause, in which the workspace is no longer refilled at the interval.
TEST(Admission, AWorkspaceIsServedAtItsRateAgainAfterItWasIdle)
{
    // Longer than it takes the demand to fall below that of an idle workspace.
    constexpr Milliseconds idleTime { 3000 };
    Fleet fleet;
    int admitted = 0;
    fleet.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < 10; ++i)
            co_await fleet.a.admission->admit("tours", Clock::now() + std::chrono::seconds(5));
        co_await fleet.pause(idleTime);
        for (int i = 0; i < 100; ++i) {
            auto taken = co_await fleet.a.admission->admit("tours", Clock::now() + std::chrono::seconds(5));
            admitted += taken.has_value();
            co_await fleet.pause(Milliseconds(1000 / rate));
        }
    });
    EXPECT_EQ(admitted, 100);
}

// Load: requests at an instance that has just started, before any holder has its slots, as after a loss of power.
TEST(Admission, ARequestWaitsLongerAtTheStartForHoldersThatStartToo)
{
    asio::io_context context;
    Instance holder(context, "holder");
    Instance other(context, "other");
    bool admittedAtStart = false;
    bool admittedLater = true;
    standin::runToEnd(context, [&]() -> asio::awaitable<void> {
        auto pause = [&](Milliseconds time) -> asio::awaitable<void> {
            asio::steady_timer timer(context, time);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        };
        asio::steady_timer slots(context, Milliseconds(200));
        slots.async_wait([&](const boost::system::error_code&) {
            holder.setSlots({ 0, 1, 2, 3, 4, 5, 6, 7 });
            other.addPeer(holder);
        });
        auto taken = co_await other.admission->admit(
            "tours", Clock::now() + Milliseconds(20), Clock::now() + Milliseconds(500));
        admittedAtStart = taken.has_value();
        holder.setSlots({});
        co_await pause(Milliseconds(2000));
        TimePoint askedAt = Clock::now();
        auto refused
            = co_await other.admission->admit("tours", askedAt + Milliseconds(20), askedAt + Milliseconds(500));
        admittedLater = refused.has_value() || Clock::now() > askedAt + Milliseconds(400);
    });
    EXPECT_TRUE(admittedAtStart);
    EXPECT_FALSE(admittedLater);
}

// Load: far more than the rate at all three instances. Whatever they grant each other, the total must not exceed rate
// and burst.
TEST(Admission, AllTogetherStayWithinRateAndBurst)
{
    Fleet fleet;
    int admitted = 0;
    TimePoint start = Clock::now();
    fleet.run([&]() -> asio::awaitable<void> {
        while (Clock::now() - start < Milliseconds(1500)) {
            for (Instance* instance : { &fleet.a, &fleet.b, &fleet.c }) {
                auto taken = co_await instance->admission->admit("tours", Clock::now() + Milliseconds(1));
                admitted += taken.has_value();
            }
        }
    });
    double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    EXPECT_LE(admitted, rate * seconds + burst);
    EXPECT_GE(admitted, 1);
}

// The token of an operation of which nothing ran must be available to the next operation.
TEST(Admission, ARefundedTokenIsSpentAgain)
{
    Fleet fleet;
    int admitted = 0;
    fleet.run([&]() -> asio::awaitable<void> {
        // Long enough for a full bucket. An idle instance adds the accrued tokens only when its first request arrives.
        co_await fleet.pause(Milliseconds(600));
        while (!co_await fleet.a.admission->admit("tours", Clock::now() + std::chrono::seconds(1))) { }
        for (int i = 0; i < 200; ++i) {
            auto taken = co_await fleet.a.admission->admit("tours", Clock::now());
            if (!taken)
                continue;
            ++admitted;
            fleet.a.admission->refund("tours");
        }
    });
    EXPECT_EQ(admitted, 200);
}
