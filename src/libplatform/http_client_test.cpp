// Tests of the HTTP client against services that fall silent, and behind paths that hold bytes up.

#include "libplatform/http_client.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <thread>

using namespace catkinlock;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Milliseconds callTimeout { 200 };

// Responds to each request with an empty body, except on connections that were accepted before `silence` was called.
class Service {
public:
    explicit Service(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    std::string address() const { return fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port()); }
    void silence() { this->silentConnections = this->connections; }
    // How the last connection ended that has ended.
    boost::system::error_code end() const { return this->lastEnd; }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(
                this->acceptor.get_executor(), this->serve(std::move(socket), ++this->connections), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket, int number)
    {
        std::string received;
        for (;;) {
            auto [error, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
            this->lastEnd = error;
            if (error)
                co_return;
            received.erase(0, size);
            if (number <= this->silentConnections)
                continue;
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(response), asio::as_tuple(asio::use_awaitable));
        }
    }

    tcp::acceptor acceptor;
    int connections = 0;
    int silentConnections = 0;
    boost::system::error_code lastEnd;
};

// Larger than what the buffer of `HeldUpPath` takes, and smaller than what a sender's kernel takes.
constexpr std::size_t bodyBytes = 64 << 10;

// Holds up what a client sends: the kernel of the far end takes a small part of it, the client's kernel keeps the rest.
class HeldUpPath {
public:
    explicit HeldUpPath(asio::io_context& context)
        : acceptor(context)
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(tcp::acceptor::receive_buffer_size(4096));
        this->acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        this->acceptor.listen();
    }

    std::string address() const { return fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port()); }

    // True once the handshake of a connection is complete.
    bool hasConnection()
    {
        pollfd ready { this->acceptor.native_handle(), POLLIN, 0 };
        return poll(&ready, 1, 0) == 1;
    }

    // Ends the hold-up of the first connection. Returns how many bytes arrive until it is closed or nothing has
    // arrived for a second.
    std::size_t arriving()
    {
        tcp::socket socket = this->acceptor.accept();
        timeval silence { 1, 0 };
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &silence, sizeof silence);
        std::string chunk(4096, '\0');
        std::size_t arrived = 0;
        for (;;) {
            ssize_t size = recv(socket.native_handle(), chunk.data(), chunk.size(), 0);
            if (size <= 0)
                return arrived;
            arrived += static_cast<std::size_t>(size);
        }
    }

private:
    tcp::acceptor acceptor;
};

HttpRequest smallRequest() { return { "POST", "/", "order", {} }; }
HttpRequest largeRequest() { return { "POST", "/", std::string(bodyBytes, 'x'), {} }; }

} // namespace

TEST(HttpClient, ACallAfterOneWithoutAResponseUsesANewConnection)
{
    asio::io_context context;
    Service service(context);
    auto client = std::make_shared<HttpClient>(context, service.address());
    auto call = [&] { return client->call({ "GET", "/", "", {} }, callTimeout); };
    int responses = 0;
    standin::runToEnd(context, [&]() -> asio::awaitable<void> {
        // Three calls at the same time leave three idle connections.
        for (int i = 0; i < 3; ++i)
            asio::co_spawn(context, call(), [&](std::exception_ptr, const auto& result) { responses += !!result; });
        while (responses < 3)
            co_await asio::post(asio::use_awaitable);
    });
    service.silence();
    bool first = true;
    bool second = false;
    standin::runToEnd(context, [&]() -> asio::awaitable<void> {
        first = (co_await call()).has_value();
        second = (co_await call()).has_value();
    });
    EXPECT_FALSE(first);
    EXPECT_TRUE(second);
}

TEST(HttpClient, AConnectionWhoseCallsHaveEndedIsClosedInTheOrdinaryWay)
{
    asio::io_context context;
    Service service(context);
    auto client = std::make_shared<HttpClient>(context, service.address());
    auto call = [&] { return client->call({ "GET", "/", "", {} }, callTimeout); };
    standin::runToEnd(context, [&]() -> asio::awaitable<void> {
        bool responded = (co_await call()).has_value();
        EXPECT_TRUE(responded);
        client->closeIdleConnections();
        while (!service.end())
            co_await asio::post(asio::use_awaitable);
    });
    EXPECT_EQ(service.end(), asio::error::eof);
}

TEST(HttpClient, WhatIsHeldUpBeyondTheTimeoutDoesNotArriveLater)
{
    asio::io_context context;
    HeldUpPath path(context);
    auto client = std::make_shared<HttpClient>(context, path.address());
    bool responded = true;
    standin::runToEnd(context, [&]() -> asio::awaitable<void> {
        auto response = co_await client->call(largeRequest(), callTimeout);
        responded = response.has_value();
        EXPECT_TRUE(responded || response.error().mayHaveRun);
    });
    EXPECT_FALSE(responded);
    EXPECT_LT(path.arriving(), bodyBytes);
}

TEST(HttpClient, WhatIsHeldUpWhileTheProcessStandsStillDoesNotArriveLater)
{
    asio::io_context context;
    HeldUpPath path(context);
    auto client = std::make_shared<HttpClient>(context, path.address());
    asio::co_spawn(context, client->call(largeRequest(), callTimeout), [](std::exception_ptr, const auto&) {});
    // Until the request is written; the time-out has not passed then.
    context.run_for(callTimeout / 4);
    // Nothing of the process runs, so that only the kernel can drop what it holds.
    std::this_thread::sleep_for(callTimeout * 15);
    EXPECT_LT(path.arriving(), bodyBytes);
}

TEST(HttpClient, ACallIsNotSentIfItsDeadlinePassesWhileItConnects)
{
    asio::io_context context;
    HeldUpPath path(context);
    auto client = std::make_shared<HttpClient>(context, path.address());
    bool mayHaveRun = true;
    standin::runToEnd(context, [&]() -> asio::awaitable<void> {
        // Runs once the call has begun to connect.
        asio::post(context, [] { std::this_thread::sleep_for(callTimeout * 3); });
        auto response = co_await client->call(smallRequest(), callTimeout);
        EXPECT_FALSE(response);
        mayHaveRun = !response && response.error().mayHaveRun;
    });
    EXPECT_FALSE(mayHaveRun);
    client->closeIdleConnections();
    EXPECT_EQ(path.arriving(), 0U);
}

TEST(HttpClient, ACallIsNotSentIfItsCallerMayNotSendOnceTheConnectionIsOpen)
{
    asio::io_context context;
    HeldUpPath path(context);
    auto client = std::make_shared<HttpClient>(context, path.address());
    bool wasOpen = false;
    bool mayHaveRun = true;
    SendGuard maySend = [&] {
        wasOpen = path.hasConnection();
        return false;
    };
    standin::runToEnd(context, [&]() -> asio::awaitable<void> {
        auto response = co_await client->call(smallRequest(), callTimeout, maySend);
        EXPECT_FALSE(response);
        mayHaveRun = !response && response.error().mayHaveRun;
    });
    EXPECT_TRUE(wasOpen);
    EXPECT_FALSE(mayHaveRun);
    EXPECT_EQ(path.arriving(), 0U);
}
