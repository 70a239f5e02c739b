// Writes and transactions through a gateway: an instance with sessions and one that is their gateway, joined by a link
// that loses, delays, repeats and reorders messages, against a stand-in member.

#include "libsession/statement_forwarder.h"

#include "catkinlock/membership.h"
#include "catkinlock/peer_sender.h"
#include "libserver/admission.h"
#include "libsession/drain_schedule.h"
#include "libsession/gateway_clocks.h"
#include "libsession/read_forwarder.h"
#include "libsession/read_service.h"
#include "libsession/session_runner.h"
#include "libsession/spawn.h"
#include "libsession/statement_service.h"
#include "libsession/view_freshness.h"
#include "peer.pb.h"
#include "platform/line_codec.h"
#include "standin/line_member.h"
#include "standin/run_to_end.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace asio = boost::asio;

namespace {

// Time for a statement that is expected to succeed.
constexpr Milliseconds ampleTime { 5000 };
// Time for a statement whose reply is lost.
constexpr Milliseconds shortTime { 250 };
// Older than a gateway accepts a request.
constexpr Milliseconds lateness { 700 };
constexpr std::uint32_t idleTransactionMs = 1000;
// Rate and burst of the workspaces where rates are tested.
constexpr std::uint32_t testRate = 2;
constexpr std::uint32_t testBurst = 2;
// Gateways are used by instances with fewer than three connections each.
constexpr std::size_t instanceCount = 14;
constexpr std::size_t connectionCount = 39;

// Carries messages between the instances. By default each one arrives once and at once.
class TestNetwork {
public:
    // Delays of the copies of a message; none if it is lost.
    using Delays = std::vector<Milliseconds>;

    explicit TestNetwork(asio::io_context& context)
        : context(context)
    {
    }

    bool transmit(const std::string& address, const wire::Envelope& envelope)
    {
        if (this->refuses)
            return false;
        ++this->sent[envelope.body_case()];
        for (Milliseconds delay : this->delaysOf(address, envelope))
            this->deliver(address, envelope, delay);
        return true;
    }

    // Loses messages of this kind from now on.
    void lose(wire::Envelope::BodyCase kind)
    {
        this->delaysOf = [kind](const std::string&, const wire::Envelope& envelope) {
            return envelope.body_case() == kind ? Delays {} : Delays { Milliseconds(0) };
        };
    }
    // Delivers messages of this kind with these delays from now on.
    void delay(wire::Envelope::BodyCase kind, Delays delays)
    {
        this->delaysOf = [kind, delays](const std::string&, const wire::Envelope& envelope) {
            return envelope.body_case() == kind ? delays : Delays { Milliseconds(0) };
        };
    }
    void heal()
    {
        this->delaysOf = [](const std::string&, const wire::Envelope&) { return Delays { Milliseconds(0) }; };
    }

    std::function<Delays(const std::string&, const wire::Envelope&)> delaysOf
        = [](const std::string&, const wire::Envelope&) { return Delays { Milliseconds(0) }; };
    // By address.
    std::map<std::string, std::function<void(const wire::Envelope&)>> receivers;
    std::map<wire::Envelope::BodyCase, int> sent;
    // No message is accepted for sending.
    bool refuses = false;

private:
    // The process that has the address when the message arrives gets it.
    void deliver(const std::string& address, const wire::Envelope& envelope, Milliseconds delay)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
        timer->async_wait([this, timer, address, envelope](boost::system::error_code) {
            auto receiver = this->receivers.find(address);
            if (receiver != this->receivers.end())
                receiver->second(envelope);
        });
    }

    asio::io_context& context;
};

class TestLink : public PeerSender {
public:
    TestLink(TestNetwork& network, std::string address)
        : network(network)
        , address(std::move(address))
    {
    }
    bool send(const std::string& to, wire::Envelope& envelope) override
    {
        envelope.set_sender(this->address);
        return !this->connected || this->network.transmit(to, envelope);
    }
    // False once the process has ended.
    bool connected = true;

private:
    TestNetwork& network;
    std::string address;
};

// One process of an instance.
struct TestInstance {
    TestInstance(asio::io_context& context, TestNetwork& network, const FleetView& fleet, const std::string& name)
        : address(name + ":1")
        , link(std::make_shared<TestLink>(network, this->address))
    {
        static std::uint64_t lastRun = 0;
        auto executor = context.get_executor();
        this->view->replace(fleet);
        this->sessions->executor = executor;
        this->sessions->view = this->view;
        this->sessions->freshness = std::make_shared<ViewFreshness>(Milliseconds(600000));
        this->sessions->freshness->confirm(Clock::now());
        this->sessions->groups = std::make_shared<TargetGroups>(
            executor, std::make_shared<platform::LineTargetProtocol>(), this->sessions->freshness, name, "");
        this->sessions->groups->refresh(fleet, Clock::now());
        this->sessions->reads = std::make_shared<ReadForwarder>(
            ReadForwarder::Parts { executor, executor, this->link, this->view, this->gateways, this->clocks, name });
        this->sessions->statementForwarder = std::make_shared<StatementForwarder>(StatementForwarder::Parts {
            executor, executor, this->link, this->view, this->gateways, this->clocks, name });
        this->readService
            = std::make_shared<ReadService>(ReadService::Parts { executor, this->link, this->sessions, ++lastRun });
        this->service = std::make_shared<StatementService>(
            StatementService::Parts { executor, this->link, this->sessions, lastRun });
    }

    void receive(const wire::Envelope& envelope)
    {
        const std::string& sender = envelope.sender();
        switch (envelope.body_case()) {
        case wire::Envelope::kReadRequest:
            return this->readService->receiveRequest(sender, envelope.read_request());
        case wire::Envelope::kReadReply:
            return this->sessions->reads->receiveReply(sender, envelope.read_reply());
        case wire::Envelope::kStatementRequest:
            return this->service->receiveRequest(sender, envelope.statement_request());
        case wire::Envelope::kStatementReply:
            return this->sessions->statementForwarder->receiveReply(sender, envelope.statement_reply());
        case wire::Envelope::kTransactionEnd:
            return this->service->receiveEnd(sender, envelope.transaction_end().transaction());
        default:
            return;
        }
    }

    std::uint64_t forwarded() const { return this->sessions->statementForwarder->forwarded(); }
    std::uint64_t lost() const { return this->sessions->statementForwarder->lost(); }

    std::string address;
    std::shared_ptr<TestLink> link;
    std::shared_ptr<RcuSnapshot<FleetView>> view = std::make_shared<RcuSnapshot<FleetView>>();
    std::shared_ptr<SessionContext> sessions = std::make_shared<SessionContext>();
    std::shared_ptr<GatewayChoice> gateways = std::make_shared<GatewayChoice>();
    std::shared_ptr<GatewayClocks> clocks = std::make_shared<GatewayClocks>();
    std::shared_ptr<ReadService> readService;
    std::shared_ptr<StatementService> service;
};

// A session at the instance "a".
class TestSession {
public:
    TestSession(std::shared_ptr<SessionContext> context, std::string workspace)
        : workspace(std::move(workspace))
        , runner(context)
    {
    }

    asio::awaitable<TargetReply> run(StatementKind kind, std::string text, Milliseconds time)
    {
        SessionStatement statement;
        statement.kind = kind;
        statement.text = std::move(text);
        return this->run(std::move(statement), time);
    }
    asio::awaitable<TargetReply> run(SessionStatement statement, Milliseconds time)
    {
        static int lastNumber = 0;
        this->lastId = std::to_string(++lastNumber);
        statement.id = this->lastId;
        StatementCall call;
        call.route.pool = "orders";
        call.route.latencyObjectiveMs = this->objectiveMs;
        call.workspace = this->workspace;
        call.keyDigest = this->keyDigest;
        call.arrivedAt = Clock::now();
        call.deadline = call.arrivedAt + time;
        call.isAllowed = [] { return true; };
        this->runner.beginStatement();
        return this->runner.run(std::move(statement), std::move(call));
    }
    asio::awaitable<TargetReply> begin(Milliseconds time = ampleTime)
    {
        return this->run(StatementKind::Begin, "BEGIN", time);
    }
    asio::awaitable<TargetReply> write(Milliseconds time = ampleTime)
    {
        return this->run(StatementKind::Write, "WRITE seat one", time);
    }
    asio::awaitable<TargetReply> commit(Milliseconds time = ampleTime)
    {
        return this->run(StatementKind::Commit, "COMMIT", time);
    }

    std::string workspace;
    std::string keyDigest;
    std::uint32_t objectiveMs = 200;
    // Id of the last statement.
    std::string lastId;
    SessionRunner runner;
};

// The group's only member, the instance "a" with sessions, and the instance "b", which is their gateway.
struct GatewayFixture {
    GatewayFixture()
        : member(std::make_shared<standin::LineMember>(this->context, this->group, 0, "m"))
    {
        TargetRecord record;
        record.id = "m";
        record.service = "orders";
        record.primary = true;
        record.address = this->member->start();
        this->fleet.serial = 1;
        this->fleet.targets.set(record);
        this->fleet.groups["orders"] = { GroupRecord::State::Serving, "m", 1 };
        this->setFleet();
        this->front = std::make_unique<TestInstance>(this->context, this->network, this->fleet, "a");
        this->network.receivers["a:1"] = [this](const wire::Envelope& envelope) { this->front->receive(envelope); };
        this->network.receivers["b:1"] = [this](const wire::Envelope& envelope) { this->gateway->receive(envelope); };
        this->startGateway();
        for (int number = 0; this->workspace.empty(); ++number) {
            std::string name = fmt::format("tours-{}", number);
            if (GatewayChoice().choose(this->fleet, name, "orders", GatewayUse::Once, Clock::now()) == "b")
                this->workspace = name;
        }
    }

    // The instances "a" and "b" are the gateways, because they have the most cores.
    void setFleet()
    {
        Tables tables;
        tables.pools["orders"].databases.resize(1);
        tables.pools["orders"].databases[0].connections = connectionCount;
        tables.idleTransactionMs = idleTransactionMs;
        tables.keys["digest"] = {};
        this->fleet.tables = std::make_shared<const Tables>(tables);
        for (std::size_t i = 2; i < instanceCount; ++i)
            this->fleet.instances[fmt::format("x{}", i)] = { fmt::format("x{}:1", i), "", 1e-6 };
        this->fleet.instances["a"] = { "a:1", "", 1e6 };
        this->fleet.instances["b"] = { "b:1", "", 1e6 };
    }

    // Ends the gateway's process and starts another one at its address.
    void startGateway()
    {
        if (this->gateway) {
            this->gateway->link->connected = false;
            this->gateway->sessions->groups->closeAll();
        }
        this->gateway = std::make_unique<TestInstance>(this->context, this->network, this->fleet, "b");
    }

    TestSession session() { return TestSession(this->front->sessions, this->workspace); }

    // Runs a write through the gateway, so that its clock is known.
    asio::awaitable<void> learnClock()
    {
        TestSession session = this->session();
        TargetReply reply = co_await session.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        this->group->committedWriteIds.clear();
        this->network.sent.clear();
    }

    asio::awaitable<void> sleepFor(Milliseconds time)
    {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    // How often a write was committed.
    std::ptrdiff_t committed(const std::string& id) const
    {
        return std::count(this->group->committedWriteIds.begin(), this->group->committedWriteIds.end(), id);
    }

    template <typename Work> void play(Work work) { standin::runToEnd(this->context, work); }

    asio::io_context context;
    std::shared_ptr<standin::LineGroup> group = std::make_shared<standin::LineGroup>();
    std::shared_ptr<standin::LineMember> member;
    FleetView fleet;
    TestNetwork network { this->context };
    std::unique_ptr<TestInstance> front;
    std::unique_ptr<TestInstance> gateway;
    std::string workspace;
};

} // namespace

// Guards against writes that fail until a read has told the gateway's clock.
TEST(StatementForwarder, TheFirstContactTakesOneMoreRoundTrip)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.network.sent[wire::Envelope::kStatementRequest], 2);
        EXPECT_EQ(fixture.committed(session.lastId), 1);
        reply = co_await session.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.network.sent[wire::Envelope::kStatementRequest], 3);
        EXPECT_EQ(fixture.front->forwarded(), 2u);
        EXPECT_EQ(fixture.front->lost(), 0u);
    });
}

// Guards against a write that is run again here, or reported as not run, while the gateway has committed it.
TEST(StatementForwarder, AWriteWhoseReplyIsLostIsInDoubt)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        fixture.network.lose(wire::Envelope::kStatementReply);
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write(shortTime);
        EXPECT_EQ(reply.error, StatementError::InDoubt);
        EXPECT_EQ(fixture.committed(session.lastId), 1);
    });
}

// Guards against a write that takes effect long after its caller was told that its outcome is unknown.
TEST(StatementForwarder, AWriteThatTheLinkDeliversLateIsNotRun)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        fixture.network.delay(wire::Envelope::kStatementRequest, { lateness });
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write(shortTime);
        EXPECT_EQ(reply.error, StatementError::InDoubt);
        co_await fixture.sleepFor(lateness);
        EXPECT_EQ(fixture.committed(session.lastId), 0);
    });
}

// Guards against a clock estimate that contains the time for which a read ran: a request that is later by as much would
// be accepted.
TEST(StatementForwarder, TheClockEstimateDoesNotContainTheTimeOfASlowRead)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        *fixture.front->clocks = GatewayClocks();
        TestSession session = fixture.session();
        session.objectiveMs = 4000;
        constexpr Milliseconds readTime { 300 };
        fixture.member->setResponseDelay(readTime);
        TargetReply reply = co_await session.run(StatementKind::Read, "READ seat", ampleTime);
        EXPECT_FALSE(reply.error) << reply.errorText;
        // Both instances have the same clock here.
        GatewayTime estimate = fixture.front->clocks->at("b:1", Clock::now());
        EXPECT_NE(estimate.run, 0u);
        EXPECT_LT(estimate.clock.count(), toClockMs(Clock::now()) + readTime.count());
    });
}

// Guards against a write that runs twice because the link delivers its request twice.
TEST(StatementForwarder, AWriteThatTheLinkRepeatsRunsOnce)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        fixture.network.delay(
            wire::Envelope::kStatementRequest, { Milliseconds(0), Milliseconds(1), Milliseconds(50), lateness });
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        co_await fixture.sleepFor(lateness + Milliseconds(50));
        EXPECT_EQ(fixture.committed(session.lastId), 1);
    });
}

// Guards against a write that runs twice: an instance of a later release may reply with an error that this one doesn't
// know, which says nothing about whether the write ran.
TEST(StatementForwarder, AReplyThatCannotBeReadIsNoRefusal)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        fixture.network.receivers["a:1"] = [&](const wire::Envelope& envelope) {
            wire::Envelope changed = envelope;
            changed.mutable_statement_reply()->mutable_result()->set_error(statementErrorCount + 1);
            fixture.front->receive(changed);
        };
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write(shortTime);
        EXPECT_EQ(reply.error, StatementError::InDoubt);
        EXPECT_EQ(fixture.committed(session.lastId), 1);
    });
}

// Guards against a write that is in doubt although no gateway can have run it: the first request names no run, and an
// instance of an earlier release or one that has ended does not reply to it.
TEST(StatementForwarder, AWriteWithoutAReplyToTheFirstContactRunsHere)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        fixture.network.receivers.erase("b:1");
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write(Milliseconds(1000));
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.committed(session.lastId), 1);
    });
}

// Guards against a write that waits for its deadline and is in doubt although its request was dropped before it left.
TEST(StatementForwarder, AWriteThatTheLinkDoesNotTakeRunsHere)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        fixture.network.refuses = true;
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write(Milliseconds(1000));
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.committed(session.lastId), 1);
    });
}

// Guards against a write that is in doubt because it is sent to a gateway that has no time left to run it.
TEST(StatementForwarder, AWriteWithoutTimeIsNotSent)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        TestSession session = fixture.session();
        TargetReply reply = co_await session.write(Milliseconds(10));
        EXPECT_NE(reply.error, StatementError::InDoubt);
        EXPECT_EQ(fixture.network.sent[wire::Envelope::kStatementRequest], 0);
    });
}

TEST(StatementForwarder, ATransactionRunsAtTheGateway)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        TestSession session = fixture.session();
        SessionStatement tag { "", "", StatementKind::SetValue, "tag", "-mine" };
        co_await session.run(tag, ampleTime);
        SessionStatement prepare { "", "", StatementKind::Prepare, "s1", "WRITE q1", true };
        co_await session.run(prepare, ampleTime);
        TargetReply reply = co_await session.begin();
        EXPECT_EQ(reply.state, TransactionState::Open);
        SessionStatement execute { "", "EXECUTE s1 seat two", StatementKind::Execute, "s1", "seat two" };
        reply = co_await session.run(execute, ampleTime);
        EXPECT_FALSE(reply.error) << reply.errorText;
        std::string writeId = session.lastId;
        EXPECT_EQ(fixture.committed(writeId), 0);
        reply = co_await session.run(StatementKind::Read, "READ seat", ampleTime);
        std::string row = reply.rows.empty() ? "" : reply.rows[0];
        EXPECT_TRUE(row.ends_with("-mine")) << row;
        EXPECT_EQ(fixture.gateway->service->open(), 1u);
        reply = co_await session.commit();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(reply.state, TransactionState::Idle);
        EXPECT_EQ(fixture.committed(writeId), 1);
        EXPECT_EQ(fixture.gateway->service->open(), 0u);
        EXPECT_EQ(fixture.front->lost(), 0u);
    });
}

namespace {

// Opens a transaction with one write at the gateway.
asio::awaitable<void> openTransaction(GatewayFixture& fixture, TestSession& session)
{
    co_await fixture.learnClock();
    TargetReply reply = co_await session.begin();
    EXPECT_FALSE(reply.error) << reply.errorText;
    reply = co_await session.write();
    EXPECT_FALSE(reply.error) << reply.errorText;
    EXPECT_EQ(reply.state, TransactionState::Open);
    EXPECT_EQ(fixture.gateway->service->open(), 1u);
}

// Checks that the transaction's next statement and its commit say that it was rolled back, that nothing of it is kept,
// and that the session goes on.
asio::awaitable<void> expectAborted(GatewayFixture& fixture, TestSession& session)
{
    TargetReply reply = co_await session.write(shortTime);
    EXPECT_EQ(reply.error, StatementError::Aborted);
    EXPECT_EQ(reply.state, TransactionState::Failed);
    reply = co_await session.commit();
    EXPECT_EQ(reply.error, StatementError::Aborted);
    EXPECT_EQ(reply.state, TransactionState::Idle);
    EXPECT_TRUE(fixture.group->committedWriteIds.empty());
    EXPECT_EQ(fixture.gateway->service->open(), 0u);
    reply = co_await session.write();
    EXPECT_FALSE(reply.error) << reply.errorText;
    EXPECT_EQ(fixture.committed(session.lastId), 1);
}

} // namespace

// Guards against statements that run outside their transaction after the gateway's process was replaced.
TEST(StatementForwarder, ATransactionOfARestartedGatewayIsAborted)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        co_await openTransaction(fixture, session);
        fixture.startGateway();
        co_await expectAborted(fixture, session);
    });
}

// The same for a commit, and for an instance that has learned the new process's clock meanwhile.
TEST(StatementForwarder, ACommitAtARestartedGatewayIsAborted)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        co_await openTransaction(fixture, session);
        fixture.startGateway();
        TestSession other = fixture.session();
        co_await other.run(StatementKind::Read, "READ seat", ampleTime);
        TargetReply reply = co_await session.commit();
        EXPECT_EQ(reply.error, StatementError::Aborted);
        EXPECT_EQ(reply.state, TransactionState::Idle);
        EXPECT_TRUE(fixture.group->committedWriteIds.empty());
    });
}

// Guards against statements that run outside their transaction after the gateway has ended it.
TEST(StatementForwarder, ATransactionThatTheGatewayHasEndedIsAborted)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        co_await openTransaction(fixture, session);
        fixture.gateway->service->endOverdue(Clock::now() + Milliseconds(60000));
        EXPECT_EQ(fixture.gateway->service->open(), 0u);
        co_await expectAborted(fixture, session);
    });
}

// Guards against a commit of the statements that arrived, without the one that was lost.
TEST(StatementForwarder, ATransactionThatLostAStatementIsAborted)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        co_await openTransaction(fixture, session);
        fixture.network.lose(wire::Envelope::kStatementRequest);
        TargetReply reply = co_await session.write(shortTime);
        EXPECT_EQ(reply.error, StatementError::Aborted);
        fixture.network.heal();
        co_await fixture.sleepFor(Milliseconds(10));
        EXPECT_EQ(fixture.gateway->service->open(), 0u);
        reply = co_await session.commit();
        EXPECT_EQ(reply.error, StatementError::Aborted);
        EXPECT_TRUE(fixture.group->committedWriteIds.empty());
    });
}

// Guards against a commit that is reported as not run while its reply was lost.
TEST(StatementForwarder, ACommitWhoseReplyIsLostIsInDoubtOnlyIfItWrote)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession writer = fixture.session();
        co_await openTransaction(fixture, writer);
        std::string writeId = writer.lastId;
        TestSession reader = fixture.session();
        co_await reader.begin();
        co_await reader.run(StatementKind::Read, "READ seat", ampleTime);
        fixture.network.lose(wire::Envelope::kStatementReply);
        TargetReply reply = co_await writer.commit(shortTime);
        EXPECT_EQ(reply.error, StatementError::InDoubt);
        EXPECT_EQ(reply.state, TransactionState::Idle);
        EXPECT_EQ(fixture.committed(writeId), 1);
        reply = co_await reader.commit(shortTime);
        EXPECT_EQ(reply.error, StatementError::Aborted);
        EXPECT_EQ(reply.state, TransactionState::Idle);
    });
}

// Guards against a connection of the member that stays bound to a transaction whose session has ended it.
TEST(StatementForwarder, ARollbackEndsTheTransactionAtTheGateway)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        co_await openTransaction(fixture, session);
        TargetReply reply = co_await session.run(StatementKind::Rollback, "ROLLBACK", ampleTime);
        EXPECT_EQ(reply.state, TransactionState::Idle);
        co_await fixture.sleepFor(Milliseconds(10));
        EXPECT_EQ(fixture.gateway->service->open(), 0u);
        reply = co_await session.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.group->committedWriteIds, std::vector<std::string> { session.lastId });
    });
}

// Guards against transactions that stay open at the gateway for ever.
TEST(StatementService, AnIdleTransactionIsRolledBack)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        co_await openTransaction(fixture, session);
        // Its own instance ends it at the idle limit, so the gateway waits for longer.
        fixture.gateway->service->endOverdue(Clock::now() + Milliseconds(idleTransactionMs));
        EXPECT_EQ(fixture.gateway->service->open(), 1u);
        fixture.gateway->service->endOverdue(Clock::now() + Milliseconds(idleTransactionMs + 1000));
        EXPECT_EQ(fixture.gateway->service->open(), 0u);
    });
}

// Guards against transactions that outlive their instance by a long idle limit.
TEST(StatementService, ATransactionOfAnUnlistedInstanceIsRolledBack)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession session = fixture.session();
        co_await openTransaction(fixture, session);
        FleetView view = fixture.fleet;
        Tables tables = *view.tables;
        tables.idleTransactionMs = 600000;
        view.tables = std::make_shared<const Tables>(tables);
        fixture.gateway->view->replace(view);
        fixture.gateway->service->endOverdue(Clock::now() + Milliseconds(60000));
        EXPECT_EQ(fixture.gateway->service->open(), 1u);
        view.instances.erase("a");
        fixture.gateway->view->replace(view);
        fixture.gateway->service->endOverdue(Clock::now() + Milliseconds(2000));
        EXPECT_EQ(fixture.gateway->service->open(), 1u);
        fixture.gateway->service->endOverdue(Clock::now() + Milliseconds(3001));
        EXPECT_EQ(fixture.gateway->service->open(), 0u);
    });
}

// Guards against a gateway that can't end, or that ends in the middle of a transaction without need.
TEST(StatementService, ALeavingGatewayFinishesTransactionsAndStartsNone)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        TestSession finishing = fixture.session();
        co_await openTransaction(fixture, finishing);
        std::string writeId = finishing.lastId;
        TestSession idle = fixture.session();
        co_await idle.begin();
        co_await idle.write();
        TimePoint now = Clock::now();
        fixture.gateway->sessions->drain = makeDrainSchedule(now, Milliseconds(2000));
        fixture.gateway->service->endOverdue(now + Milliseconds(900));
        EXPECT_EQ(fixture.gateway->service->open(), 2u);
        TargetReply reply = co_await finishing.commit();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.committed(writeId), 1);
        // A new operation runs at the session's own instance.
        std::uint64_t forwarded = fixture.front->forwarded();
        reply = co_await finishing.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.front->forwarded(), forwarded);
        fixture.gateway->service->endOverdue(now + Milliseconds(1001));
        EXPECT_EQ(fixture.gateway->service->open(), 0u);
        reply = co_await idle.commit();
        EXPECT_EQ(reply.error, StatementError::Aborted);
    });
}

namespace {

// Removes the caller's key from the view of an instance.
void withdrawKey(TestInstance& instance)
{
    FleetView view = *instance.view->read();
    Tables tables = *view.tables;
    tables.keys.clear();
    view.tables = std::make_shared<const Tables>(tables);
    instance.view->replace(view);
}

} // namespace

// Guards against a withdrawn key that works for as long as a statement may wait at its gateway: the session's instance
// has checked the key before, perhaps by a view that it may use only for a moment more.
TEST(StatementService, AStatementThatWaitsAtItsGatewayIsNotRunOnceItsKeyIsWithdrawn)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        for (StatementKind kind : { StatementKind::Write, StatementKind::Read }) {
            co_await fixture.learnClock();
            // The new process has no connection, and waits for one.
            fixture.startGateway();
            *fixture.front->clocks = GatewayClocks();
            fixture.member->setResponseDelay(Milliseconds(100));
            asio::steady_timer timer(fixture.context, Milliseconds(50));
            timer.async_wait([&](boost::system::error_code) { withdrawKey(*fixture.gateway); });
            TestSession session = fixture.session();
            session.objectiveMs = 4000;
            session.keyDigest = "digest";
            std::string text = kind == StatementKind::Read ? "READ seat" : "WRITE seat one";
            TargetReply reply = co_await session.run(kind, text, ampleTime);
            EXPECT_EQ(reply.error, StatementError::Busy);
            EXPECT_TRUE(fixture.group->committedWriteIds.empty());
            fixture.member->setResponseDelay(Milliseconds(0));
        }
    });
}

// Guards against callers that are refused while their new key is not yet in the view of their gateway.
TEST(StatementService, AKeyThatTheGatewayDoesNotKnowYetWorksAtItsInstance)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        withdrawKey(*fixture.gateway);
        TestSession session = fixture.session();
        session.keyDigest = "digest";
        TargetReply reply = co_await session.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.committed(session.lastId), 1);
        reply = co_await session.run(StatementKind::Read, "READ seat", ampleTime);
        EXPECT_FALSE(reply.error) << reply.errorText;
    });
}

namespace {

// Gives an instance the whole rate of the workspace, with a full burst.
asio::awaitable<void> addAdmission(GatewayFixture& fixture, TestInstance& instance)
{
    InstanceRecord self;
    self.name = instance.address;
    auto membership = std::make_shared<Membership>(self);
    auto peers = std::make_shared<PeerLink>(fixture.context, "secret");
    instance.sessions->admission
        = std::make_shared<Admission>(fixture.context, fixture.context.get_executor(), peers, membership);
    Tables tables;
    Workspace& workspace = tables.workspaces[fixture.workspace];
    workspace.name = fixture.workspace;
    workspace.rate = testRate;
    workspace.burst = testBurst;
    TimePoint validUntil = Clock::now() + std::chrono::hours(1);
    instance.sessions->admission->updateSlots({ 0 }, validUntil, 1);
    instance.sessions->admission->updateTables(tables);
    co_await fixture.sleepFor(Milliseconds(1000 * testBurst / testRate + 100));
    instance.sessions->admission->updateSlots({ 0 }, validUntil, 1);
}

// Makes the service have no primary, so that nothing that needs one runs.
void removePrimary(GatewayFixture& fixture)
{
    FleetView view = fixture.fleet;
    view.groups["orders"].state = GroupRecord::State::Replacing;
    fixture.gateway->view->replace(view);
    fixture.front->view->replace(view);
}

} // namespace

// Guards against workspaces that are refused below their rate because tokens of operations that did not run are lost,
// or because tokens are taken at both instances.
TEST(StatementTokens, TokensAreTakenAndRefundedAtTheGateway)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        co_await addAdmission(fixture, *fixture.front);
        co_await addAdmission(fixture, *fixture.gateway);
        removePrimary(fixture);
        TestSession session = fixture.session();
        for (std::uint32_t i = 0; i < 3 * testBurst; ++i) {
            TargetReply reply = co_await session.write();
            EXPECT_EQ(reply.error, StatementError::Busy);
            reply = co_await session.begin();
            EXPECT_FALSE(reply.error) << reply.errorText;
            reply = co_await session.write();
            EXPECT_EQ(reply.error, StatementError::Aborted);
            reply = co_await session.commit();
            EXPECT_EQ(reply.error, StatementError::Aborted);
        }
        EXPECT_EQ(fixture.gateway->sessions->admission->admitted(), 6 * testBurst);
        EXPECT_EQ(fixture.gateway->sessions->admission->refused(), 0u);
        EXPECT_EQ(fixture.front->sessions->admission->admitted(), 0u);
    });
}

// Guards against a refusal by the rate that takes a second token, or is repeated, at the session's own instance.
TEST(StatementTokens, ARefusalByTheRateIsPassedOn)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        co_await addAdmission(fixture, *fixture.front);
        co_await addAdmission(fixture, *fixture.gateway);
        TestSession session = fixture.session();
        for (std::uint32_t i = 0; i < testBurst; ++i) {
            TargetReply reply = co_await session.write();
            EXPECT_FALSE(reply.error) << reply.errorText;
        }
        TargetReply reply = co_await session.write();
        EXPECT_EQ(reply.error, StatementError::Busy);
        // A transaction begins at its gateway with its first statement.
        reply = co_await session.begin();
        EXPECT_FALSE(reply.error) << reply.errorText;
        reply = co_await session.write();
        EXPECT_EQ(reply.error, StatementError::Busy);
        EXPECT_EQ(reply.state, TransactionState::Failed);
        EXPECT_EQ(fixture.front->sessions->admission->admitted(), 0u);
        EXPECT_EQ(fixture.front->lost(), 0u);
    });
}

// Guards against a token that is lost when a transaction is begun here because its gateway did not reply, and then does
// not run.
TEST(StatementTokens, TheTokenOfATransactionThatItsGatewayDidNotBeginIsRefunded)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        co_await addAdmission(fixture, *fixture.front);
        removePrimary(fixture);
        fixture.network.lose(wire::Envelope::kStatementReply);
        TestSession session = fixture.session();
        TargetReply reply = co_await session.begin();
        EXPECT_FALSE(reply.error) << reply.errorText;
        reply = co_await session.write();
        EXPECT_EQ(fixture.front->lost(), 1u);
        EXPECT_EQ(reply.error, StatementError::Aborted);
        EXPECT_EQ(fixture.front->sessions->admission->admitted(), 1u);
        for (std::uint32_t i = 0; i < testBurst; ++i) {
            auto admitted = co_await fixture.front->sessions->admission->admit(fixture.workspace, Clock::now());
            EXPECT_TRUE(admitted);
        }
        EXPECT_EQ(fixture.front->sessions->admission->refused(), 0u);
    });
}

// Guards against a token that is taken at both instances, or at the one where the operation doesn't run.
TEST(StatementTokens, ATransactionWhoseGatewayRefusesItsFirstStatementTakesItsTokenWhereItRuns)
{
    GatewayFixture fixture;
    fixture.play([&]() -> asio::awaitable<void> {
        co_await fixture.learnClock();
        co_await addAdmission(fixture, *fixture.front);
        co_await addAdmission(fixture, *fixture.gateway);
        TestSession session = fixture.session();
        TargetReply reply = co_await session.begin();
        EXPECT_FALSE(reply.error) << reply.errorText;
        fixture.network.receivers["b:1"] = [&](const wire::Envelope& envelope) {
            wire::Envelope late = envelope;
            wire::StatementRequest& request = *late.mutable_statement_request();
            request.set_sent_at_ms(request.sent_at_ms() - lateness.count());
            fixture.gateway->receive(late);
        };
        reply = co_await session.write();
        EXPECT_FALSE(reply.error) << reply.errorText;
        reply = co_await session.commit();
        EXPECT_FALSE(reply.error) << reply.errorText;
        EXPECT_EQ(fixture.front->lost(), 1u);
        EXPECT_EQ(fixture.front->sessions->admission->admitted(), 1u);
        EXPECT_EQ(fixture.gateway->sessions->admission->admitted(), 0u);
        EXPECT_EQ(fixture.gateway->sessions->admission->refused(), 0u);
    });
}

namespace {

// What a session was told of one operation.
struct PlayedOperation {
    // Ids of its writes.
    std::vector<std::string> writes;
    bool done = false;
    bool inDoubt = false;
};

// A network with faults, drawn from the seed.
class FaultyNetwork {
public:
    FaultyNetwork(unsigned seed, int lossPercent, int latePercent, int repeatPercent)
        : random(seed)
        , lossPercent(lossPercent)
        , latePercent(latePercent)
        , repeatPercent(repeatPercent)
    {
    }

    TestNetwork::Delays draw()
    {
        TestNetwork::Delays delays;
        for (int copies = this->chance(this->repeatPercent) ? 2 : 1; copies > 0; --copies) {
            if (!this->chance(this->lossPercent))
                delays.push_back(this->drawDelay());
        }
        return delays;
    }
    bool chance(int percent) { return this->number(1, 100) <= percent; }
    int number(int from, int to) { return std::uniform_int_distribution<int>(from, to)(this->random); }

private:
    Milliseconds drawDelay()
    {
        if (!this->chance(this->latePercent))
            return Milliseconds(this->number(0, 5));
        return Milliseconds(this->chance(50) ? this->number(20, 300) : this->number(400, 1100));
    }

    std::mt19937 random;
    int lossPercent;
    int latePercent;
    int repeatPercent;
};

// Plays one session's operations, and records what it was told and whether it saw the values of another one.
struct PlayedSession {
    PlayedSession(GatewayFixture& fixture, FaultyNetwork& faults, int number)
        : faults(faults)
        , session(fixture.session())
        , tag(fmt::format("-{}", number))
    {
    }

    asio::awaitable<void> play()
    {
        SessionStatement setTag { "", "", StatementKind::SetValue, "tag", this->tag };
        co_await this->session.run(setTag, ampleTime);
        for (int i = 0; i < 3; ++i) {
            if (this->faults.chance(40))
                co_await this->playWrite();
            else
                co_await this->playTransaction();
        }
        this->ended = true;
    }

    asio::awaitable<void> playWrite()
    {
        TargetReply reply = co_await this->session.write(shortTime);
        this->operations.push_back({ { this->session.lastId }, !reply.error, this->isInDoubt(reply) });
    }

    asio::awaitable<void> playTransaction()
    {
        PlayedOperation operation;
        TargetReply reply = co_await this->session.begin(shortTime);
        if (reply.error)
            co_return;
        for (int i = this->faults.number(1, 3); i > 0 && !reply.error; --i) {
            bool writes = this->faults.chance(60);
            if (writes)
                reply = co_await this->session.write(shortTime);
            else
                reply = co_await this->session.run(StatementKind::Read, "READ seat", shortTime);
            if (writes)
                operation.writes.push_back(this->session.lastId);
            else if (!reply.error)
                this->mixed = this->mixed || reply.rows.empty() || !reply.rows[0].ends_with("one" + this->tag);
        }
        bool commits = this->faults.chance(80);
        if (commits)
            reply = co_await this->session.commit(shortTime);
        else
            reply = co_await this->session.run(StatementKind::Rollback, "ROLLBACK", shortTime);
        operation.done = commits && !reply.error;
        operation.inDoubt = commits && this->isInDoubt(reply);
        this->operations.push_back(operation);
    }

    static bool isInDoubt(const TargetReply& reply) { return reply.error && !guaranteesNoEffect(*reply.error); }

    FaultyNetwork& faults;
    TestSession session;
    std::string tag;
    std::vector<PlayedOperation> operations;
    bool mixed = false;
    bool ended = false;
};

// Ends the gateway's process at random times until all sessions have ended, and waits until no message is under way.
asio::awaitable<void> playSchedule(
    GatewayFixture& fixture, FaultyNetwork& faults, std::vector<std::unique_ptr<PlayedSession>>& sessions)
{
    co_await fixture.learnClock();
    fixture.group->items["seat"] = "one";
    fixture.network.delaysOf = [&](const std::string&, const wire::Envelope&) { return faults.draw(); };
    for (const auto& session : sessions)
        spawn(fixture.context, [&session = *session] { return session.play(); });
    while (!std::all_of(sessions.begin(), sessions.end(), [](const auto& session) { return session->ended; })) {
        co_await fixture.sleepFor(Milliseconds(faults.number(20, 400)));
        if (faults.chance(15))
            fixture.startGateway();
    }
    co_await fixture.sleepFor(Milliseconds(1300));
}

} // namespace

// Guards against a write that runs twice, or after its caller was told that it did not run; against a transaction that
// is kept in part; and against a reply that completes the statement of another session.
RC_GTEST_PROP(StatementSchedules, AnOperationHasTheOutcomeThatItsSessionWasTold, ())
{
    GatewayFixture fixture;
    unsigned seed = *rc::gen::inRange(1U, 1'000'000U);
    int loss = *rc::gen::inRange(0, 20);
    int late = *rc::gen::inRange(0, 30);
    int repeats = *rc::gen::inRange(0, 40);
    FaultyNetwork faults(seed, loss, late, repeats);
    std::vector<std::unique_ptr<PlayedSession>> sessions;
    sessions.reserve(24);
    for (int number = 0; number < 24; ++number)
        sessions.push_back(std::make_unique<PlayedSession>(fixture, faults, number));
    fixture.play([&]() -> asio::awaitable<void> { co_await playSchedule(fixture, faults, sessions); });
    int done = 0;
    for (const auto& session : sessions) {
        RC_ASSERT(!session->mixed);
        for (const PlayedOperation& operation : session->operations) {
            std::set<std::ptrdiff_t> counts;
            for (const std::string& id : operation.writes)
                counts.insert(fixture.committed(id));
            done += operation.done;
            bool whole = counts.size() <= 1;
            bool once = counts.empty() || *counts.rbegin() <= 1;
            bool kept = counts.count(1) != 0;
            bool asTold = operation.done ? counts.empty() || kept : operation.inDoubt || !kept;
            RC_ASSERT(whole);
            RC_ASSERT(once);
            RC_ASSERT(asTold);
        }
    }
    // Without operations that succeed through the gateway the checks above would show nothing.
    RC_ASSERT(done > 0);
    RC_ASSERT(fixture.front->forwarded() > 0);
    fixture.gateway->service->endOverdue(Clock::now() + Milliseconds(60000));
    RC_ASSERT(fixture.gateway->service->open() == 0);
}
