// Crowds of callers that send too much, too slowly, or read nothing. Each test checks only that the process is alive,
// that its memory and descriptors stay under the bound, and that an ordinary request is answered afterwards.

#include "catkinlock/address.h"
#include "standin/fleet.h"
#include "standin/front_fleet.h"
#include "standin/kv_service.h"
#include "standin/line_caller.h"
#include "standin/line_member.h"
#include "untrusted_callers/crowd.h"
#include "untrusted_callers/process_use.h"
#include <boost/asio.hpp>
#include <fmt/format.h>
#include <functional>
#include <future>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock;
using namespace catkinlock::standin;

namespace {

namespace asio = boost::asio;

// The memory of the machine that the tests' settings are for.
constexpr std::uint64_t maxResidentBytes = 64 << 20;
// Open descriptors for everything but the crowd's connections.
constexpr std::size_t maxOtherDescriptors = 64;
// Connections that the settings allow in the tests of the descriptors. The other tests allow the whole crowd.
constexpr std::size_t allowedConnections = 32;
// Connections of a crowd against the memory, and of one against the descriptors.
constexpr std::size_t crowdSize = 64;
constexpr std::size_t largeCrowdSize = 96;
// A crowd is watched for at least the first time, so that its deadlines pass, and at most for the second one.
constexpr std::chrono::seconds minWatchTime { 3 };
constexpr std::chrono::seconds maxWatchTime { 8 };
// Attempts at the ordinary request, and the time between two of them.
constexpr int maxAttempts = 300;
constexpr std::chrono::milliseconds attemptInterval { 50 };
constexpr std::size_t legalBytes = (1 << 20) - 100;
// Connections of a member: enough for the crowd's statements, and so few that a crowd of transactions takes them all.
constexpr int manyConnections = 40;
constexpr int fewConnections = 10;

constexpr const char* callerLimits
    = "[limits]\ntotal_bytes = 16777216\narrival_ms = 2000\nreply_ms = 2000\npage_ms = 2000\n";
constexpr const char* connectionLimits = "connections = 32\npage_connections = 16\n";
constexpr const char* opening = "CONNECT primary-db key-1\r\n";

// Runs the crowd against a process and records what the process uses.
void watch(Crowd& crowd, ProcessUse& use)
{
    auto start = std::chrono::steady_clock::now();
    for (bool sending = true;;) {
        sending = crowd.step();
        use.sample();
        auto elapsed = std::chrono::steady_clock::now() - start;
        if ((!sending && elapsed > minWatchTime) || elapsed > maxWatchTime)
            return;
    }
}

void expectWithinBounds(const ProcessUse& use, std::size_t crowd)
{
    fmt::print("resident {} MB, descriptors {}\n", use.residentBytes >> 20, use.descriptors);
    EXPECT_LT(use.residentBytes, maxResidentBytes);
    EXPECT_LT(use.descriptors, (crowd == largeCrowdSize ? allowedConnections : crowd) + maxOtherDescriptors);
}

// True if the request succeeds in one of several attempts.
bool isServed(const std::function<bool()>& request)
{
    for (int i = 0; i < maxAttempts; ++i) {
        if (request())
            return true;
        std::this_thread::sleep_for(attemptInterval);
    }
    return false;
}

std::string statement(const std::string& text) { return "QUERY " + std::string(16, 'a') + " " + text + "\r\n"; }

std::string repeated(const std::string& text, int times)
{
    std::string all;
    for (int i = 0; i < times; ++i)
        all += text;
    return all;
}

// One instance that serves sessions, with a group of three stand-in members and a stand-in store.
class UntrustedCallers : public testing::Test {
    asio::io_context context { 1 };

protected:
    void start(const std::string& extraSettings, int maxConnections = manyConnections)
    {
        this->store = std::make_shared<KvService>(this->context, [](const std::string&) {});
        std::string storeAddress = this->store->start();
        for (std::size_t i = 0; i < 3; ++i) {
            this->members.push_back(std::make_shared<LineMember>(this->context, this->group, i, fmt::format("m{}", i)));
            this->store->put(fmt::format("servers/m{}", i),
                fmt::format(R"({{"service":"ledger","address":"{}","zone":"a","slots":3,"state":"ready",)"
                            R"("dbRole":"{}"}})",
                    this->members[i]->start(), i ? "replica" : "primary"));
        }
        this->store->put("op/config", lineConfiguration(1, R"("key-1")", { "primary" }, maxConnections));
        this->thread = std::thread([this] {
            auto guard = asio::make_work_guard(this->context);
            this->context.run();
        });
        this->fronts = std::make_unique<FrontFleet>(CATKINLOCK_BINARY, storeAddress, testing::TempDir());
        this->fronts->setExtraSettings(extraSettings);
        ASSERT_TRUE(this->fronts->add());
        ASSERT_TRUE(this->serves("WRITE seat kept"));
    }

    ~UntrustedCallers() override
    {
        this->fronts.reset();
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    Process& front() { return this->fronts->process(0); }
    const std::string& callerAddress() const { return this->fronts->callerAddress(0); }

    bool serves(const std::string& text)
    {
        return isServed([&] {
            LineCaller caller(this->callerAddress(), "primary-db", "key-1");
            return caller.openResponse.starts_with("READY") && caller.run(text).find("DONE") != std::string::npos;
        });
    }

    // Makes the replies to "READ large" almost as large as a message may be.
    void writeLargeItem() { ASSERT_TRUE(this->serves("WRITE large " + std::string(legalBytes - 100, 'x'))); }

    // Sets a crowd on an address of the instance and checks what is promised of the instance.
    void expectSurvival(const std::string& address, std::size_t size, CrowdBehaviour behaviour)
    {
        ProcessUse use(this->front().pid());
        Crowd crowd(address, size, std::move(behaviour));
        watch(crowd, use);
        EXPECT_FALSE(this->front().hasEnded()) << this->front().output();
        expectWithinBounds(use, size);
        EXPECT_TRUE(this->serves("READ seat")) << this->front().output();
    }

    std::unique_ptr<FrontFleet> fronts;

private:
    std::shared_ptr<LineGroup> group = std::make_shared<LineGroup>();
    std::vector<std::shared_ptr<LineMember>> members;
    std::shared_ptr<KvService> store;
    std::thread thread;
};

// The same for an instance that serves HTTP.
void expectSurvivalOfServe(const std::string& settings, std::size_t size, CrowdBehaviour behaviour)
{
    Fleet::Options options;
    options.instances = 1;
    options.extraSettings = settings;
    Fleet fleet(options);
    ASSERT_TRUE(fleet.start());
    ProcessUse use(fleet.instance(0).pid());
    Crowd crowd(fleet.httpAddress(0), size, std::move(behaviour));
    watch(crowd, use);
    EXPECT_FALSE(fleet.instance(0).hasEnded()) << fleet.instance(0).output();
    expectWithinBounds(use, size);
    EXPECT_TRUE(isServed([&] {
        CallOptions call { fleet.key };
        Caller caller = fleet.caller(0);
        return caller.run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "a", "b" }, call).isDone();
    })) << fleet.instance(0).output();
}

constexpr const char* serveLimits = "[limits]\ntotal_bytes = 16777216\nidle_seconds = 2\n";

// The greeting of a peer and its first command, by ZMTP 3.0 with the mechanism NULL.
std::string peerGreeting()
{
    std::string greeting("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16);
    greeting.resize(64, '\0');
    std::string ready("\x05READY\x0bSocket-Type\0\0\0\x04PUSH", 26);
    return greeting + '\x04' + static_cast<char>(ready.size()) + ready;
}

// The head of a frame of 8 MiB.
std::string peerFrameHead() { return std::string("\x02\0\0\0\0\0\x80\0\0", 9); }

} // namespace

TEST_F(UntrustedCallers, ManyLegalMessagesInOnePieceAreBounded)
{
    this->start(callerLimits);
    std::string message = statement("WRITE other " + std::string(legalBytes - 100, 'x'));
    this->expectSurvival(this->callerAddress(), crowdSize, { opening + repeated(message, 4) });
}

TEST_F(UntrustedCallers, ManyLegalMessagesInSmallPiecesAreBounded)
{
    this->start(callerLimits);
    std::string message = statement("WRITE other " + std::string(legalBytes - 100, 'x'));
    CrowdBehaviour behaviour { opening + repeated(message, 2) };
    behaviour.pieceBytes = 4096;
    this->expectSurvival(this->callerAddress(), crowdSize, behaviour);
}

TEST_F(UntrustedCallers, MessagesFarOverTheLimitAreBounded)
{
    this->start(callerLimits);
    CrowdBehaviour behaviour { opening + std::string(16 << 20, 'x') };
    behaviour.pieceBytes = 16 << 10;
    this->expectSurvival(this->callerAddress(), crowdSize, behaviour);
}

TEST_F(UntrustedCallers, PipelinedMessagesWhoseRepliesAreNotReadAreBounded)
{
    this->start(callerLimits);
    this->writeLargeItem();
    this->expectSurvival(this->callerAddress(), crowdSize, { opening + repeated(statement("READ large"), 20) });
}

// A session's values and prepared statements are kept until it ends.
TEST_F(UntrustedCallers, SessionsThatKeepManyValuesAreBounded)
{
    this->start(callerLimits);
    std::string messages;
    for (int i = 0; i < 4; ++i)
        messages += statement(fmt::format("SET v{} {}", i, std::string(legalBytes - 100, 'x')));
    this->expectSurvival(this->callerAddress(), crowdSize, { opening + messages });
}

TEST_F(UntrustedCallers, CallersThatSendVerySlowlyAreBounded)
{
    this->start(callerLimits + std::string(connectionLimits));
    CrowdBehaviour behaviour { opening };
    behaviour.pieceBytes = 1;
    behaviour.pause = std::chrono::milliseconds(300);
    this->expectSurvival(this->callerAddress(), largeCrowdSize, behaviour);
}

TEST_F(UntrustedCallers, CallersThatReadVerySlowlyAreBounded)
{
    this->start(callerLimits);
    this->writeLargeItem();
    CrowdBehaviour behaviour { opening + repeated(statement("READ large"), 8) };
    behaviour.readInterval = std::chrono::milliseconds(20);
    this->expectSurvival(this->callerAddress(), crowdSize, behaviour);
}

TEST_F(UntrustedCallers, CallersThatStopMidwayAreBounded)
{
    this->start(callerLimits);
    std::string half = statement("WRITE other " + std::string(legalBytes - 100, 'x'));
    half.resize(half.size() - 1000);
    CrowdBehaviour behaviour { opening + half };
    behaviour.pieceBytes = 64 << 10;
    this->expectSurvival(this->callerAddress(), crowdSize, behaviour);
}

TEST_F(UntrustedCallers, CallersThatStopInATransactionsReplyAreBounded)
{
    this->start(callerLimits + std::string(connectionLimits), fewConnections);
    this->writeLargeItem();
    CrowdBehaviour behaviour { opening + statement("BEGIN") + repeated(statement("READ large"), 20) };
    this->expectSurvival(this->callerAddress(), largeCrowdSize, behaviour);
}

// Guards against limits that a caller within the protocol meets.
TEST_F(UntrustedCallers, AMessageOfLegalSizeIsServed)
{
    this->start(callerLimits);
    LineCaller caller(this->callerAddress(), "primary-db", "key-1");
    std::string data(legalBytes - 100, 'y');
    EXPECT_NE(caller.run("WRITE large " + data).find("DONE s"), std::string::npos);
    EXPECT_NE(caller.run("READ large").find("ROW " + data), std::string::npos);
    EXPECT_NE(caller.run("SET tag " + data).find("DONE"), std::string::npos);
    EXPECT_NE(caller.run("READ seat").find("ROW kept" + data), std::string::npos);
}

// The session is idle for longer than a message may take to arrive.
TEST_F(UntrustedCallers, AnIdleTransactionStaysOpenBesideACrowd)
{
    this->start(callerLimits);
    LineCaller caller(this->callerAddress(), "primary-db", "key-1");
    EXPECT_NE(caller.run("BEGIN").find("READY T"), std::string::npos);
    EXPECT_NE(caller.run("WRITE seat two").find("READY T"), std::string::npos);
    CrowdBehaviour behaviour { opening + std::string(2 << 20, 'x') };
    Crowd crowd(this->callerAddress(), crowdSize, behaviour);
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(2300);
    while (std::chrono::steady_clock::now() < end)
        crowd.step();
    EXPECT_NE(caller.run("COMMIT").find("DONE s"), std::string::npos) << this->front().output();
    EXPECT_NE(caller.run("READ seat").find("ROW two"), std::string::npos);
}

TEST_F(UntrustedCallers, AMessageOverTheLimitIsRefusedByItsError)
{
    this->start(callerLimits);
    LineCaller caller(this->callerAddress(), "primary-db", "key-1");
    EXPECT_NE(caller.run("WRITE seat " + std::string(2 << 20, 'x')).find("ERR TOOLARGE"), std::string::npos);
    EXPECT_NE(this->front().output().find("caller_limit_reached"), std::string::npos);
}

TEST_F(UntrustedCallers, TheReadyPageIsBounded)
{
    this->start(callerLimits + std::string(connectionLimits));
    this->expectSurvival(this->fronts->readyAddress(0), largeCrowdSize,
        { "GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + std::string(800000, 'x') });
}

TEST_F(UntrustedCallers, TheMetricsPageIsBounded)
{
    this->start(callerLimits + std::string(connectionLimits));
    std::string request = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
    this->expectSurvival(this->fronts->metricsAddress(0), largeCrowdSize, { repeated(request, 2000) });
}

// Guards against a crowd that keeps a load balancer from the page, so that the instance gets no more callers.
TEST_F(UntrustedCallers, TheReadyPageIsAnsweredBesideACrowd)
{
    this->start(callerLimits + std::string(connectionLimits));
    Crowd crowd(this->fronts->readyAddress(0), largeCrowdSize, { "GET /rea" });
    while (crowd.step()) { }
    asio::io_context pageContext;
    asio::ip::tcp::socket socket(pageContext);
    socket.connect(parseAddress(this->fronts->readyAddress(0)));
    std::string request = "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    EXPECT_NE(response.find("200 OK"), std::string::npos) << response;
}

// The crowd speaks the peers' transport, but does not know the fleet's secret.
TEST_F(UntrustedCallers, MessagesAtThePeerPortAreBounded)
{
    this->start(callerLimits);
    std::string bytes = peerGreeting() + peerFrameHead() + std::string(2 << 20, 'x');
    this->expectSurvival(this->fronts->peerAddress(0), crowdSize, { bytes });
}

TEST_F(UntrustedCallers, ConnectionsToThePeerPortAreBounded)
{
    this->start(callerLimits + std::string(connectionLimits));
    this->expectSurvival(this->fronts->peerAddress(0), largeCrowdSize, { peerGreeting() });
}

TEST(UntrustedHttpCallers, RequestsThatStopMidwayAreBounded)
{
    std::string request = "POST /v1/orders/transaction HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n";
    expectSurvivalOfServe(serveLimits, crowdSize, { request + std::string(990000, 'x') });
}

TEST(UntrustedHttpCallers, ConnectionsThatSendVerySlowlyAreBounded)
{
    CrowdBehaviour behaviour { "POST /v1/orders/transaction HTTP/1.1\r\nHost: a\r\n" };
    behaviour.pieceBytes = 1;
    behaviour.pause = std::chrono::milliseconds(200);
    expectSurvivalOfServe(serveLimits + std::string("connections = 32\n"), largeCrowdSize, behaviour);
}
