// Tests of the HTTP client against a service that falls silent on its open connections.

#include "libplatform/http_client.h"
#include "standin/run_to_end.h"
#include <boost/asio.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

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
};

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
