// Commands of a leader to members, against a stand-in member behind a path that holds bytes up.

#include "libsession/member_commands.h"

#include "catkinlock/address.h"
#include "libsession/leader_tenure.h"
#include "platform/line_codec.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Larger than what the stand-in's kernel takes, and smaller than what a sender's kernel takes.
constexpr std::size_t argumentBytes = 64 << 10;

auto asTuple() { return asio::as_tuple(asio::use_awaitable); }

// A member that opens one connection. It reads the commands on it, or leaves them to the kernel.
class Member {
public:
    explicit Member(asio::io_context& context)
        : acceptor(context)
        , socket(context)
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(tcp::acceptor::receive_buffer_size(4096));
        this->acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        this->acceptor.listen();
        this->record.id = "m";
        this->record.service = "orders";
        this->record.address = formatAddress(this->acceptor.local_endpoint());
    }

    // Runs `beforeReady` before the connection is ready for commands.
    asio::awaitable<void> open(std::function<void()> beforeReady)
    {
        co_await this->acceptor.async_accept(this->socket, asTuple());
        co_await this->readLine();
        beforeReady();
        co_await this->write("READY I 3.1\r\n");
    }

    // Opens the connection and executes commands as a replica.
    asio::awaitable<void> serve(std::function<void()> beforeReady)
    {
        co_await this->open(std::move(beforeReady));
        while (!this->end) {
            std::string line = co_await this->readLine();
            if (line.empty())
                continue;
            this->commands += line;
            std::size_t pause = line.find("PAUSE ");
            if (pause != std::string::npos)
                this->fencedTerm = std::stoi(line.substr(pause + 6));
            co_await this->write(
                fmt::format("ROW replica 3 3.1 {} 0 0 1\r\nDONE -\r\nREADY I 3.1\r\n", this->fencedTerm));
        }
    }

    // Ends the hold-up. Returns how many bytes arrive until the connection is closed or nothing has arrived for a
    // second.
    std::size_t arriving()
    {
        this->socket.non_blocking(false);
        int handle = this->socket.native_handle();
        timeval silence { 1, 0 };
        setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &silence, sizeof silence);
        std::string chunk(4096, '\0');
        std::size_t arrived = 0;
        for (;;) {
            ssize_t size = recv(handle, chunk.data(), chunk.size(), 0);
            if (size <= 0)
                return arrived;
            arrived += static_cast<std::size_t>(size);
        }
    }

    TargetRecord record;
    std::string commands;

private:
    asio::awaitable<std::string> readLine()
    {
        auto [error, size]
            = co_await asio::async_read_until(this->socket, asio::dynamic_buffer(this->received), "\r\n", asTuple());
        this->end = error;
        std::string line = this->received.substr(0, size);
        this->received.erase(0, size);
        co_return line;
    }

    asio::awaitable<void> write(std::string bytes)
    {
        co_await asio::async_write(this->socket, asio::buffer(bytes), asTuple());
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    std::string received;
    int fencedTerm = 0;
    // How the connection ended.
    boost::system::error_code end;
};

struct CommandFixture {
    asio::io_context context;
    Member member { this->context };
    std::shared_ptr<MemberCommands> commands
        = std::make_shared<MemberCommands>(this->context, std::make_shared<platform::LineTargetProtocol>());
};

TargetCommand largeCommand()
{
    TargetCommand command;
    command.kind = TargetCommand::Kind::SetValue;
    command.name = "v";
    command.argument = std::string(argumentBytes, 'x');
    return command;
}

void ignore() { }

} // namespace

TEST(MemberCommands, ACommandThatIsHeldUpBeyondItsTimeoutDoesNotArriveLater)
{
    CommandFixture fixture;
    asio::co_spawn(fixture.context, fixture.member.open(ignore), asio::detached);
    TargetCommand command = largeCommand();
    bool responded = true;
    standin::runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        auto report = co_await fixture.commands->send(fixture.member.record, command);
        responded = report.has_value();
    });
    EXPECT_FALSE(responded);
    EXPECT_LT(fixture.member.arriving(), argumentBytes);
}

TEST(MemberCommands, ACommandThatIsHeldUpWhileTheProcessStandsStillDoesNotArriveLater)
{
    CommandFixture fixture;
    bool isReady = false;
    asio::co_spawn(fixture.context, fixture.member.open(ignore), [&](std::exception_ptr) { isReady = true; });
    asio::co_spawn(fixture.context, fixture.commands->send(fixture.member.record, largeCommand()), asio::detached);
    while (!isReady)
        fixture.context.run_one();
    // Until the command is written; its time-out has not passed then.
    fixture.context.run_for(Milliseconds(100));
    std::this_thread::sleep_for(std::chrono::seconds(6));
    EXPECT_LT(fixture.member.arriving(), argumentBytes);
}

// A command to resume carries no term: a replica that the next leader has paused would receive again.
TEST(MemberCommands, NoReplicaIsResumedIfTheLeaderMayNoLongerActOnceTheConnectionIsOpen)
{
    CommandFixture fixture;
    bool mayAct = true;
    MemberCommands::SendGuard guard = [&] { return mayAct; };
    auto endTenure = [&] { mayAct = false; };
    asio::co_spawn(fixture.context, fixture.member.serve(endTenure), asio::detached);
    std::vector<TargetRecord> replicas { fixture.member.record };
    standin::runToEnd(
        fixture.context, [&]() -> asio::awaitable<void> { co_await fixture.commands->resume(replicas, guard); });
    EXPECT_FALSE(mayAct);
    EXPECT_EQ(fixture.member.commands, "");
}

TEST(MemberCommands, NoMemberIsFencedOnceTheLeaderMayNoLongerAct)
{
    CommandFixture fixture;
    bool mayAct = true;
    MemberCommands::SendGuard guard = [&] { return mayAct; };
    asio::co_spawn(fixture.context, fixture.member.serve(ignore), asio::detached);
    std::vector<TargetRecord> members { fixture.member.record };
    GroupRecord old { GroupRecord::State::Serving, "p", 3 };
    standin::runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        auto fenced = co_await fixture.commands->fence(members, old, true, guard);
        EXPECT_TRUE(fenced.front().fenced);
        EXPECT_NE(fixture.member.commands.find("PAUSE 4"), std::string::npos);
        fixture.member.commands.clear();
        mayAct = false;
        fenced = co_await fixture.commands->fence(members, old, true, guard);
        EXPECT_FALSE(fenced.front().fenced);
    });
    EXPECT_EQ(fixture.member.commands, "");
}

// The guard is asked right before a command is written. The successor of a leader acts once the lease has expired,
// `leaderLeaseMargin` after the leader's last moment to act.
TEST(MemberCommands, ACommandIsOverBeforeTheLeaseOfItsLeaderExpires)
{
    EXPECT_LT(MemberCommands::commandTimeout, leaderLeaseMargin);
}
