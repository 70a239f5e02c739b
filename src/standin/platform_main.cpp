// A stand-in for the platform's key-value service (etcd v3 JSON over HTTP). Prints {"address": "ip:port"} once it
// listens, and exits when its standard input closes. POST /standin/set {"name": N, "value": V} sets a fault; POST
// /standin/calls returns the number of calls received, by path.

#include "catkinlock/digest.h"
#include "standin/kv_store.h"
#include "standin/standin_main.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <map>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using namespace catkinlock;
using namespace catkinlock::standin;

namespace {

constexpr std::chrono::milliseconds watchPollInterval { 5 };
// A watch without changes sends the current revision, without events, at this interval.
constexpr std::chrono::milliseconds watchProgressInterval { 1000 };
constexpr std::chrono::milliseconds leaseCheckInterval { 50 };

struct PlatformFaults {
    /// While not 0, every call of the service closes its connection without taking effect, and watches end.
    std::int64_t outage = 0;
    /// Delay before each call is carried out.
    std::int64_t delayMs = 0;
    /// Number of calls from now on, not counting reads and watches, that take effect and then close the connection
    /// without a response.
    std::int64_t loseResponses = 0;
};

class Platform {
public:
    explicit Platform(asio::io_context& context)
        : context(context)
    {
    }

    asio::awaitable<void> acceptConnections(asio::ip::tcp::acceptor& acceptor)
    {
        for (;;) {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->context, this->serve(beast::tcp_stream(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> expireLeases()
    {
        for (;;) {
            co_await this->sleep(leaseCheckInterval);
            this->store.expireLeases(this->now());
        }
    }

private:
    asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    // Seconds of the monotonic clock.
    double now() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

    asio::awaitable<void> serve(beast::tcp_stream stream)
    {
        try {
            stream.socket().set_option(asio::ip::tcp::no_delay(true));
            beast::flat_buffer buffer;
            for (;;) {
                http::request<http::string_body> request;
                co_await http::async_read(stream, buffer, request, asio::use_awaitable);
                if (!co_await this->handleRequest(stream, request))
                    co_return;
            }
        } catch (const std::exception&) {
            // The client closed the connection.
        }
    }

    // Returns false if the connection has to be closed.
    asio::awaitable<bool> handleRequest(beast::tcp_stream& stream, const http::request<http::string_body>& request)
    {
        std::string path(request.target());
        json::error_code error;
        json::value parsed = json::parse(request.body(), error);
        json::object body = parsed.is_object() ? parsed.as_object() : json::object();
        if (path.starts_with("/standin/")) {
            co_await this->write(stream, this->handleControl(path, body));
            co_return true;
        }
        ++this->callCounts[path];
        if (this->faults.outage)
            co_return false;
        if (this->faults.delayMs)
            co_await this->sleep(std::chrono::milliseconds(this->faults.delayMs));
        if (path == "/v3/watch") {
            co_await this->watch(stream, body.at("create_request").as_object());
            co_return false;
        }
        json::object result = this->runCall(path, body);
        if (this->faults.loseResponses && path != "/v3/kv/range") {
            --this->faults.loseResponses;
            co_return false;
        }
        co_await this->write(stream, result);
        co_return true;
    }

    json::object runCall(const std::string& path, const json::object& body)
    {
        if (path == "/v3/kv/range")
            return this->store.range(body);
        if (path == "/v3/kv/put")
            return this->store.put(body);
        if (path == "/v3/kv/deleterange")
            return this->store.deleteRange(body);
        if (path == "/v3/kv/txn")
            return this->store.transact(body);
        if (path == "/v3/lease/grant")
            return this->store.grantLease(body, this->now());
        if (path == "/v3/lease/keepalive")
            return this->store.keepLeaseAlive(body, this->now());
        if (path == "/v3/lease/revoke")
            return this->store.revokeLease(body);
        return { { "error", "call not supported by the stand-in" }, { "code", 12 } };
    }

    json::object handleControl(const std::string& path, const json::object& body)
    {
        if (path == "/standin/calls") {
            json::object response;
            for (const auto& [name, count] : this->callCounts)
                response[name] = count;
            return response;
        }
        std::string name = json::value_to<std::string>(body.at("name"));
        std::int64_t value = body.at("value").to_number<std::int64_t>();
        if (name == "outage")
            this->faults.outage = value;
        if (name == "delay_ms")
            this->faults.delayMs = value;
        if (name == "lose_answers")
            this->faults.loseResponses = value;
        return {};
    }

    asio::awaitable<void> watch(beast::tcp_stream& stream, json::object request)
    {
        std::string begin = decodeBase64(json::value_to<std::string>(request.at("key")));
        std::string end
            = request.contains("range_end") ? decodeBase64(json::value_to<std::string>(request.at("range_end"))) : "";
        std::int64_t next = this->store.revision() + 1;
        if (auto* start = request.if_contains("start_revision"))
            next = start->is_string() ? std::strtoll(start->get_string().c_str(), nullptr, 10)
                                      : start->to_number<std::int64_t>();
        http::response<http::empty_body> header(http::status::ok, 11);
        header.chunked(true);
        http::response_serializer<http::empty_body> serializer(header);
        co_await http::async_write_header(stream, serializer, asio::use_awaitable);
        json::object created { { "result",
            json::object { { "header", json::object { { "revision", std::to_string(this->store.revision()) } } },
                { "created", true } } } };
        co_await this->writeChunk(stream, created);
        auto lastSent = std::chrono::steady_clock::now();
        while (!this->faults.outage) {
            auto now = std::chrono::steady_clock::now();
            if (this->store.revision() >= next || now - lastSent > watchProgressInterval) {
                json::object response = this->store.watchResponse(begin, end, next);
                next = this->store.revision() + 1;
                lastSent = now;
                co_await this->writeChunk(stream, response);
            }
            co_await this->sleep(watchPollInterval);
        }
    }

    asio::awaitable<void> writeChunk(beast::tcp_stream& stream, const json::object& object)
    {
        std::string text = json::serialize(object) + "\n";
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(text)), asio::use_awaitable);
    }

    asio::awaitable<void> write(beast::tcp_stream& stream, const json::object& object)
    {
        bool failed = object.contains("error");
        http::response<http::string_body> response(failed ? http::status::bad_request : http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        response.body() = json::serialize(object);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::use_awaitable);
    }

    asio::io_context& context;
    KvStore store;
    PlatformFaults faults;
    std::map<std::string, std::int64_t> callCounts;
};

} // namespace

int main()
{
    asio::io_context context(1);
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    announceAddress(acceptor.local_endpoint());
    Platform platform(context);
    asio::co_spawn(context, platform.acceptConnections(acceptor), asio::detached);
    asio::co_spawn(context, platform.expireLeases(), asio::detached);
    exitOnInputEnd(context);
    context.run();
    return 0;
}
