// A stand-in for the platform's key-value service (etcd v3 JSON over HTTP). Prints {"address": "..."} once it listens;
// ends with its parent's standard input. POST /standin/set {"name": N, "value": V} sets a fault, POST /standin/calls
// tells how many calls came.

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
constexpr std::chrono::milliseconds watchIdleInterval { 1000 };
constexpr std::chrono::milliseconds leaseInterval { 50 };

struct PlatformFaults {
    std::int64_t outage = 0;
    std::int64_t delayMs = 0;
    std::int64_t loseAnswers = 0;
};

class Platform {
public:
    explicit Platform(asio::io_context& context)
        : context(context)
    {
    }

    asio::awaitable<void> accept(asio::ip::tcp::acceptor& acceptor)
    {
        for (;;) {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->context, this->serve(beast::tcp_stream(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> expireLeases()
    {
        for (;;) {
            co_await this->sleep(leaseInterval);
            this->store.expireLeases(this->now());
        }
    }

private:
    asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

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
                if (!co_await this->answer(stream, request))
                    co_return;
            }
        } catch (const std::exception&) {
            // The client closed the connection.
        }
    }

    asio::awaitable<bool> answer(beast::tcp_stream& stream, const http::request<http::string_body>& request)
    {
        std::string path(request.target());
        json::error_code error;
        json::value parsed = json::parse(request.body(), error);
        json::object body = parsed.is_object() ? parsed.as_object() : json::object();
        if (path.starts_with("/standin/")) {
            co_await this->write(stream, this->control(path, body));
            co_return true;
        }
        ++this->calls[path];
        if (this->faults.outage)
            co_return false;
        if (this->faults.delayMs)
            co_await this->sleep(std::chrono::milliseconds(this->faults.delayMs));
        if (path == "/v3/watch") {
            co_await this->watch(stream, body.at("create_request").as_object());
            co_return false;
        }
        json::object result = this->run(path, body);
        if (this->faults.loseAnswers && path != "/v3/kv/range") {
            --this->faults.loseAnswers;
            co_return false;
        }
        co_await this->write(stream, result);
        co_return true;
    }

    json::object run(const std::string& path, const json::object& body)
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
        return { { "error", "no such call" }, { "code", 12 } };
    }

    json::object control(const std::string& path, const json::object& body)
    {
        if (path == "/standin/calls") {
            json::object answer;
            for (const auto& [name, count] : this->calls)
                answer[name] = count;
            return answer;
        }
        std::string name = json::value_to<std::string>(body.at("name"));
        std::int64_t value = body.at("value").to_number<std::int64_t>();
        if (name == "outage")
            this->faults.outage = value;
        if (name == "delay_ms")
            this->faults.delayMs = value;
        if (name == "lose_answers")
            this->faults.loseAnswers = value;
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
        http::response<http::empty_body> head(http::status::ok, 11);
        head.chunked(true);
        http::response_serializer<http::empty_body> serializer(head);
        co_await http::async_write_header(stream, serializer, asio::use_awaitable);
        json::object created { { "result",
            json::object { { "header", json::object { { "revision", std::to_string(this->store.revision()) } } },
                { "created", true } } } };
        co_await this->writeChunk(stream, created);
        auto lastSent = std::chrono::steady_clock::now();
        while (!this->faults.outage) {
            auto now = std::chrono::steady_clock::now();
            if (this->store.revision() >= next || now - lastSent > watchIdleInterval) {
                json::object answer = this->store.watchAnswer(begin, end, next);
                next = this->store.revision() + 1;
                lastSent = now;
                co_await this->writeChunk(stream, answer);
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
    std::map<std::string, std::int64_t> calls;
};

} // namespace

int main()
{
    asio::io_context context(1);
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    announce(acceptor.local_endpoint());
    Platform platform(context);
    asio::co_spawn(context, platform.accept(acceptor), asio::detached);
    asio::co_spawn(context, platform.expireLeases(), asio::detached);
    endWithParent(context);
    context.run();
    return 0;
}
