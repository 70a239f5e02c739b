#include "standin/caller.h"

#include "catkinlock/address.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

namespace catkinlock::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

    std::string textOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_string() ? json::value_to<std::string>(*value) : "";
    }

    bool flagOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_bool() && value->get_bool();
    }

    CallAnswer readAnswer(unsigned status, std::string body)
    {
        CallAnswer answer;
        answer.status = status;
        answer.body = std::move(body);
        json::error_code error;
        json::value value = json::parse(answer.body, error);
        const json::object* object = error ? nullptr : value.if_object();
        if (!object)
            return answer;
        answer.outcome = textOf(*object, "outcome");
        answer.code = textOf(*object, "code");
        answer.session = textOf(*object, "session");
        answer.fromReplica = flagOf(*object, "from_replica");
        answer.repeated = flagOf(*object, "repeated");
        const json::value* results = object->if_contains("results");
        if (results && results->is_array() && !results->get_array().empty()) {
            for (const json::value& row : results->get_array().back().at("rows").as_array()) {
                const json::value& first = row.as_array()[0];
                answer.values.push_back(first.is_string() ? json::value_to<std::string>(first) : "");
            }
        }
        return answer;
    }

} // namespace

struct Caller::Stream {
    Stream()
        : tcp(context)
    {
    }

    // Runs one asynchronous step to its end, bounded by the stream's timeout.
    template <typename Start> bool step(Start start)
    {
        boost::system::error_code result;
        start([&result](boost::system::error_code error, auto...) { result = error; });
        this->context.restart();
        this->context.run();
        return !result;
    }

    asio::io_context context;
    beast::tcp_stream tcp;
    beast::flat_buffer buffer;
};

Caller::Caller(std::string address)
    : address(std::move(address))
{
}

Caller::~Caller() = default;
Caller::Caller(Caller&&) noexcept = default;
Caller& Caller::operator=(Caller&&) noexcept = default;

CallAnswer Caller::exchange(
    bool isPost, const std::string& path, const std::string& body, const Headers& headers, unsigned timeoutMs)
{
    std::chrono::milliseconds timeout(timeoutMs);
    if (!this->stream) {
        this->stream = std::make_unique<Stream>();
        this->stream->tcp.expires_after(timeout);
        auto endpoint = parseAddress(this->address);
        if (!this->stream->step([&](auto handler) { this->stream->tcp.async_connect(endpoint, handler); })) {
            this->stream.reset();
            return {};
        }
        this->stream->tcp.socket().set_option(asio::ip::tcp::no_delay(true));
    }
    Stream& s = *this->stream;
    http::request<http::string_body> request(isPost ? http::verb::post : http::verb::get, path, 11);
    request.set(http::field::host, this->address);
    for (const auto& [name, value] : headers)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::response<http::string_body> response;
    s.tcp.expires_after(timeout);
    bool whole = s.step([&](auto handler) { http::async_write(s.tcp, request, handler); })
        && s.step([&](auto handler) { http::async_read(s.tcp, s.buffer, response, handler); });
    if (!whole || !response.keep_alive())
        this->stream.reset();
    return whole ? readAnswer(response.result_int(), response.body()) : CallAnswer {};
}

CallAnswer Caller::post(const std::string& path, const std::string& body, const Headers& headers, unsigned timeoutMs)
{
    return this->exchange(true, path, body, headers, timeoutMs);
}

CallAnswer Caller::get(const std::string& path) { return this->exchange(false, path, "", {}, 5000); }

CallAnswer Caller::run(const std::string& route, const std::string& sql, const std::vector<std::string>& parameters,
    const CallOptions& options)
{
    return this->post("/v1/" + route + "/transaction", statementBody(sql, parameters, options.shard),
        callerHeaders(options), options.timeoutMs + 2000);
}

CallAnswer Caller::settle(const std::string& route, const CallOptions& options)
{
    json::object body;
    if (!options.shard.empty())
        body["shard"] = options.shard;
    return this->post(
        "/v1/" + route + "/settle", json::serialize(body), callerHeaders(options), options.timeoutMs + 2000);
}

std::string statementBody(const std::string& sql, const std::vector<std::string>& parameters, const std::string& shard)
{
    json::array values(parameters.begin(), parameters.end());
    json::object body { { "statements", json::array { json::object { { "sql", sql }, { "parameters", values } } } } };
    if (!shard.empty())
        body["shard"] = shard;
    return json::serialize(body);
}

Headers callerHeaders(const CallOptions& options)
{
    Headers headers { { "Content-Type", "application/json" },
        { "Catkinlock-Timeout-Ms", std::to_string(options.timeoutMs) } };
    if (!options.key.empty())
        headers.emplace_back("Authorization", "Bearer " + options.key);
    if (!options.session.empty())
        headers.emplace_back("Catkinlock-Session", options.session);
    if (!options.idempotencyKey.empty())
        headers.emplace_back("Idempotency-Key", options.idempotencyKey);
    return headers;
}

} // namespace catkinlock::standin
