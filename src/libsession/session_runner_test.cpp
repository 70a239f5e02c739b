// Tests that a statement has its reply by its deadline, however many steps it takes, against a stand-in member that
// responds slowly. The steps together take longer than the deadline allows, and each of them alone does not, so that
// the reply shows whether they share the time; no test measures it.

#include "libsession/session_runner.h"

#include "libsession/view_freshness.h"
#include "platform/line_codec.h"
#include "standin/line_member.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace catkinlock;

namespace asio = boost::asio;

namespace {

// Values that the session sets.
constexpr int valueCount = 6;
// The member's delay before each response, in tests that set values.
constexpr Milliseconds responseDelay { 100 };
// Time for a statement: enough for two or three responses.
constexpr Milliseconds statementTime { 300 };

// A session at an instance, and a group of one stand-in member, its primary.
struct RunnerFixture {
    RunnerFixture()
        : member(std::make_shared<standin::LineMember>(this->context, this->group, 0, "m"))
    {
        TargetRecord record;
        record.id = "m";
        record.service = "orders";
        record.primary = true;
        record.address = this->member->start();
        FleetView view;
        view.serial = 1;
        view.targets.set(record);
        view.groups["orders"] = { GroupRecord::State::Serving, "m", 1 };
        Tables tables;
        tables.pools["orders"].databases.resize(1);
        tables.pools["orders"].databases[0].connections = 40;
        view.tables = std::make_shared<const Tables>(tables);
        auto snapshot = std::make_shared<RcuSnapshot<FleetView>>();
        snapshot->replace(view);
        this->sessions->executor = this->context.get_executor();
        this->sessions->view = snapshot;
        this->sessions->freshness = std::make_shared<ViewFreshness>(Milliseconds(60000));
        this->sessions->freshness->confirm(Clock::now());
        this->sessions->groups = std::make_shared<TargetGroups>(this->context.get_executor(),
            std::make_shared<platform::LineTargetProtocol>(), this->sessions->freshness, "i", "");
        this->sessions->groups->refresh(view, Clock::now());
    }

    // Runs a statement that has this much time.
    asio::awaitable<TargetReply> run(StatementKind kind, const char* text, Milliseconds time)
    {
        SessionStatement statement;
        statement.kind = kind;
        statement.id = "1";
        statement.text = text;
        StatementCall call;
        call.route.pool = "orders";
        call.route.latencyObjectiveMs = 4000;
        call.workspace = "tours";
        call.arrivedAt = Clock::now();
        call.deadline = call.arrivedAt + time;
        call.isAllowed = [] { return true; };
        this->runner.beginStatement();
        return this->runner.run(std::move(statement), std::move(call));
    }

    // Opens a connection to the member, sets the session's values and lets the member respond slowly from then on.
    asio::awaitable<void> prepareSlowMember()
    {
        auto reply = co_await this->run(StatementKind::Read, "READ seat", Milliseconds(10000));
        EXPECT_FALSE(reply.error);
        for (int i = 0; i < valueCount; ++i) {
            SessionStatement set;
            set.kind = StatementKind::SetValue;
            set.name = fmt::format("v{}", i);
            set.argument = "x";
            StatementCall call;
            co_await this->runner.run(set, call);
        }
        this->member->setResponseDelay(responseDelay);
    }

    template <typename Work> void play(Work work) { standin::runToEnd(this->context, work); }

    asio::io_context context;
    std::shared_ptr<standin::LineGroup> group = std::make_shared<standin::LineGroup>();
    std::shared_ptr<standin::LineMember> member;
    std::shared_ptr<SessionContext> sessions = std::make_shared<SessionContext>();
    SessionRunner runner { this->sessions };
};

} // namespace

TEST(SessionRunner, AReadWhoseValuesTakeTooLongIsRefusedByItsDeadline)
{
    RunnerFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.prepareSlowMember();
        auto reply = co_await fixture.run(StatementKind::Read, "READ seat", statementTime);
        EXPECT_EQ(reply.error, StatementError::Busy);
    });
}

TEST(SessionRunner, AWriteWhoseValuesTakeTooLongIsNotSent)
{
    RunnerFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.prepareSlowMember();
        auto reply = co_await fixture.run(StatementKind::Write, "WRITE seat one", statementTime);
        EXPECT_EQ(reply.error, StatementError::Busy);
        EXPECT_EQ(reply.state, TransactionState::Idle);
        EXPECT_TRUE(fixture.group->committedWriteIds.empty());
    });
}

// The values are set within the transaction, which is bound to a connection already.
TEST(SessionRunner, ATransactionWhoseValuesTakeTooLongIsAbortedByItsStatementsDeadline)
{
    RunnerFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.run(StatementKind::Begin, "BEGIN", statementTime);
        co_await fixture.prepareSlowMember();
        auto reply = co_await fixture.run(StatementKind::Read, "READ seat", statementTime);
        EXPECT_EQ(reply.error, StatementError::Aborted);
        EXPECT_EQ(reply.state, TransactionState::Failed);
    });
}

// Guards against LOST at a promotion: a write is on its way to a primary that is being replaced, which acknowledges it
// although the next one will lack it.
TEST(SessionRunner, AWriteIsNotReportedAsDoneOnceItsPrimaryIsBeingReplaced)
{
    RunnerFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.run(StatementKind::Read, "READ seat", Milliseconds(10000));
        fixture.member->setResponseDelay(responseDelay);
        asio::steady_timer timer(fixture.context, responseDelay / 2);
        timer.async_wait([&](boost::system::error_code) {
            FleetView view = *fixture.sessions->view->read();
            view.groups["orders"].state = GroupRecord::State::Replacing;
            fixture.sessions->view->replace(view);
        });
        auto reply = co_await fixture.run(StatementKind::Write, "WRITE seat one", Milliseconds(10000));
        EXPECT_EQ(fixture.group->committedWriteIds.size(), 1u);
        EXPECT_EQ(reply.error, StatementError::InDoubt);
    });
}

// Half of the time goes to the opening of a connection. The reply that the write then waits for comes too late.
TEST(SessionRunner, AWriteThatWaitedForAConnectionHasOnlyTheRestOfItsTime)
{
    RunnerFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        fixture.member->setResponseDelay(Milliseconds(250));
        auto reply = co_await fixture.run(StatementKind::Write, "WRITE seat one", Milliseconds(400));
        EXPECT_EQ(reply.error, StatementError::InDoubt);
    });
}

// A member that accepts connections and sends nothing: the statement doesn't wait for the opening beyond its deadline.
TEST(SessionRunner, AStatementDoesNotOutwaitTheOpeningOfAConnection)
{
    RunnerFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        fixture.member->setUnresponsive(true);
        asio::steady_timer limit(fixture.context, Milliseconds(650));
        bool limitPassed = false;
        limit.async_wait([&](boost::system::error_code error) { limitPassed = !error; });
        auto reply = co_await fixture.run(StatementKind::Write, "WRITE seat one", Milliseconds(100));
        EXPECT_EQ(reply.error, StatementError::Busy);
        // The pool gives up the opening after 700 ms.
        EXPECT_FALSE(limitPassed);
    });
}
