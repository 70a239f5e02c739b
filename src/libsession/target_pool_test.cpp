// Connections to a member, against a stand-in member.

#include "libsession/target_link.h"
#include "libsession/target_pool.h"
#include "platform/line_codec.h"
#include "standin/line_member.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace catkinlock;

namespace asio = boost::asio;

namespace {

// One instance's pool before a member.
struct Site {
    Site()
        : member(std::make_shared<standin::LineMember>(this->context, this->group, 0, "m"))
        , protocol(std::make_shared<platform::LineTargetProtocol>())
    {
        this->record.id = "m";
        this->record.service = "orders";
        this->record.address = this->member->start();
    }

    std::shared_ptr<TargetPool> pool(std::size_t share)
    {
        auto made = std::make_shared<TargetPool>(this->context.get_executor(), this->protocol, this->record);
        made->setShare(share);
        return made;
    }

    template <typename Work> void run(Work work) { standin::runToEnd(this->context, work); }

    asio::io_context context;
    std::shared_ptr<standin::LineGroup> group = std::make_shared<standin::LineGroup>();
    std::shared_ptr<standin::LineMember> member;
    std::shared_ptr<const TargetProtocol> protocol;
    TargetRecord record;
};

TimePoint soon() { return Clock::now() + Milliseconds(10000); }

} // namespace

TEST(TargetPool, LendsAnIdleConnectionOfTheWorkspaceAgain)
{
    Site site;
    auto pool = site.pool(3);
    site.run([&]() -> asio::awaitable<void> {
        auto first = co_await pool->borrow("tours", 1, soon());
        EXPECT_TRUE(first);
        pool->giveBack(*first);
        auto second = co_await pool->borrow("tours", 1, soon());
        EXPECT_EQ(*first, *second);
        // A connection is bound to its workspace.
        auto other = co_await pool->borrow("museum", 1, soon());
        EXPECT_NE(*second, *other);
        EXPECT_EQ(pool->handshakes(), 2u);
    });
}

// After a loss of power a member still counts the connections of the dead: a statement waits for room and is served.
TEST(TargetPool, AMemberWithoutRoomForConnectionsIsAskedAgainWhileTheStatementWaits)
{
    Site site;
    site.member->setMostConnections(0);
    auto pool = site.pool(3);
    site.run([&]() -> asio::awaitable<void> {
        asio::steady_timer timer(site.context);
        timer.expires_after(Milliseconds(100));
        timer.async_wait([&](boost::system::error_code) { site.member->setMostConnections(1); });
        auto link = co_await pool->borrow("tours", 1, soon());
        EXPECT_TRUE(link);
        EXPECT_GT(pool->handshakes(), 1u);
    });
}

// While others can't connect, an instance keeps nothing that it does not use.
TEST(TargetPool, KeepsNoIdleConnectionAtAMemberThatIsFull)
{
    Site site;
    site.member->setMostConnections(1);
    auto first = site.pool(3);
    auto second = site.pool(3);
    site.run([&]() -> asio::awaitable<void> {
        auto held = co_await first->borrow("tours", 1, soon());
        EXPECT_TRUE(held);
        // The first pool learns that the member is full.
        auto refused = co_await first->borrow("museum", 1, Clock::now() + Milliseconds(60));
        EXPECT_FALSE(refused);
        first->giveBack(*held);
        EXPECT_EQ(first->open(), 0u);
        auto link = co_await second->borrow("museum", 1, soon());
        EXPECT_TRUE(link);
    });
}

TEST(TargetPool, WithMoreInstancesThanConnectionsNoneIsKept)
{
    Site site;
    auto pool = site.pool(0);
    site.run([&]() -> asio::awaitable<void> {
        auto link = co_await pool->borrow("tours", 1, soon());
        EXPECT_TRUE(link);
        pool->giveBack(*link);
        pool->closeIdle(Clock::now() + Milliseconds(2500));
        EXPECT_EQ(pool->open(), 0u);
    });
}
