// Messages between the instances of a large fleet, over loopback.

#include "catkinlock/peer_link.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <csignal>
#include <gtest/gtest.h>
#include <memory>
#include <sys/time.h>
#include <vector>

using namespace catkinlock;

namespace asio = boost::asio;

namespace {

constexpr int instanceCount = 136;
constexpr int rounds = 5;
// A round ends after this time if replies are missing.
constexpr std::chrono::seconds roundLimit { 20 };

// One instance that replies to each request, and the other instances of the fleet that send them.
struct Fleet {
    Fleet()
    {
        this->holder = this->open([this](const wire::Envelope& request) {
            wire::Envelope reply;
            reply.mutable_token_reply()->set_id(request.token_request().id());
            this->holder->send(request.sender(), reply);
        });
        for (int i = 1; i < instanceCount; ++i)
            this->others.push_back(this->open([this](const wire::Envelope&) { ++this->replies; }));
    }

    std::shared_ptr<PeerLink> open(PeerLink::Handler handler)
    {
        auto link = std::make_shared<PeerLink>(this->context, "a-secret-of-the-test");
        this->addresses.push_back(link->bind("127.0.0.1:0"));
        link->start(std::move(handler));
        return link;
    }

    void runRound()
    {
        for (const auto& other : this->others) {
            wire::Envelope request;
            request.mutable_token_request()->set_id(1);
            other->send(this->addresses.front(), request);
        }
        int expected = this->replies + instanceCount - 1;
        auto end = std::chrono::steady_clock::now() + roundLimit;
        while (this->replies < expected && std::chrono::steady_clock::now() < end)
            this->context.run_for(std::chrono::milliseconds(10));
    }

    asio::io_context context;
    std::vector<std::string> addresses;
    std::shared_ptr<PeerLink> holder;
    std::vector<std::shared_ptr<PeerLink>> others;
    int replies = 0;
};

// Interrupts this process's calls all the time.
class Interruptions {
public:
    Interruptions()
    {
        struct sigaction action { };
        action.sa_handler = [](int) {};
        sigaction(SIGALRM, &action, &this->previous);
        this->interruptEvery(std::chrono::microseconds(50));
    }
    ~Interruptions()
    {
        this->interruptEvery(std::chrono::microseconds(0));
        sigaction(SIGALRM, &this->previous, nullptr);
    }

private:
    void interruptEvery(std::chrono::microseconds interval)
    {
        timeval time { 0, interval.count() };
        itimerval timer { time, time };
        setitimer(ITIMER_REAL, &timer, nullptr);
    }

    struct sigaction previous { };
};

} // namespace

// If fewer connections are kept than there are instances, each reply closes another one and drops what it still queues.
TEST(PeerLink, RepliesToEveryInstanceOfALargeFleetArrive)
{
    Fleet fleet;
    for (int i = 0; i < rounds; ++i)
        fleet.runRound();
    EXPECT_EQ(fleet.replies, rounds * (instanceCount - 1));
}

// A signal that came while a message was received ended the process.
TEST(PeerLink, MessagesArriveAlthoughSignalsInterruptEachCall)
{
    Fleet fleet;
    Interruptions interruptions;
    for (int i = 0; i < rounds; ++i)
        fleet.runRound();
    EXPECT_EQ(fleet.replies, rounds * (instanceCount - 1));
}
