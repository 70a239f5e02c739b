#include "catkinlock/platform_client.h"

#include "catkinlock/address.h"
#include "catkinlock/digest.h"
#include "libplatform/http_client.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

    // The smallest key that is past all keys with the prefix, as etcd's range_end.
    std::string endOfPrefix(std::string prefix)
    {
        if (!prefix.empty())
            ++prefix.back();
        return prefix;
    }

    std::int64_t numberOf(const json::value& object, const char* name)
    {
        const json::object* fields = object.if_object();
        const json::value* value = fields ? fields->if_contains(name) : nullptr;
        if (!value)
            return 0;
        if (value->is_string())
            return std::strtoll(value->get_string().c_str(), nullptr, 10);
        return value->is_int64() ? value->get_int64() : 0;
    }

    std::string textOf(const json::value& object, const char* name)
    {
        const json::object* fields = object.if_object();
        const json::value* value = fields ? fields->if_contains(name) : nullptr;
        return value && value->is_string() ? json::value_to<std::string>(*value) : "";
    }

    json::value memberOf(const json::value& object, const char* name)
    {
        const json::object* fields = object.if_object();
        const json::value* value = fields ? fields->if_contains(name) : nullptr;
        return value ? *value : json::value();
    }

    json::array listOf(const json::value& object, const char* name)
    {
        json::value list = memberOf(object, name);
        return list.is_array() ? list.get_array() : json::array();
    }

    std::int64_t headerRevision(const json::value& answer) { return numberOf(memberOf(answer, "header"), "revision"); }

    KeyValue readKeyValue(const json::value& value)
    {
        return { decodeBase64(textOf(value, "key")), decodeBase64(textOf(value, "value")),
            numberOf(value, "mod_revision"), false };
    }

    // The service did nothing.
    PlatformError notSent(std::string message) { return { false, std::move(message) }; }

    // The service may have done what it was asked.
    PlatformError maybeRun(std::string message) { return { true, std::move(message) }; }

    tl::expected<json::value, PlatformError> parseAnswer(const PlatformResult<std::string>& text)
    {
        if (!text)
            return tl::unexpected(text.error());
        json::error_code error;
        json::value answer = json::parse(*text, error);
        if (error || !answer.is_object())
            return tl::unexpected(maybeRun("the platform's service answered with something else than JSON"));
        return answer;
    }

    http::request<http::string_body> makeRequest(const std::string& address, const std::string& path, std::string body)
    {
        http::request<http::string_body> request(http::verb::post, path, 11);
        request.set(http::field::host, address);
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
        request.prepare_payload();
        return request;
    }

    auto asResult() { return asio::as_tuple(asio::use_awaitable); }

} // namespace

PlatformClient::PlatformClient(asio::io_context& context, std::string address, Milliseconds timeout)
    : context(context)
    , address(std::move(address))
    , timeout(timeout)
    , http(std::make_shared<HttpClient>(context, this->address))
{
}

PlatformClient::~PlatformClient() = default;

std::uint64_t PlatformClient::calls() const { return this->http->calls() + this->watchCount; }

asio::awaitable<PlatformResult<std::string>> PlatformClient::call(std::string path, std::string body)
{
    HttpCall request;
    request.method = "POST";
    request.target = std::move(path);
    request.body = std::move(body);
    auto answer = co_await this->http->call(std::move(request), this->timeout);
    if (!answer)
        co_return tl::unexpected(answer.error());
    if (answer->status != static_cast<unsigned>(http::status::ok)) {
        // The service says that it refused the call.
        co_return tl::unexpected(notSent("the platform's service refused: " + answer->body));
    }
    co_return std::move(answer->body);
}

asio::awaitable<PlatformResult<SwapResult>> PlatformClient::swap(
    std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease)
{
    return this->compareAndSwap(std::move(key), expected, std::move(value), lease);
}

asio::awaitable<PlatformResult<KeyRange>> PlatformClient::readPrefix(std::string prefix)
{
    json::object request { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } };
    auto answer = parseAnswer(co_await this->call("/v3/kv/range", json::serialize(request)));
    if (!answer)
        co_return tl::unexpected(answer.error());
    KeyRange range;
    range.revision = headerRevision(*answer);
    for (const json::value& value : listOf(*answer, "kvs"))
        range.values.push_back(readKeyValue(value));
    co_return range;
}

asio::awaitable<PlatformResult<std::optional<KeyValue>>> PlatformClient::read(std::string key)
{
    json::object request { { "key", encodeBase64(key) } };
    auto answer = parseAnswer(co_await this->call("/v3/kv/range", json::serialize(request)));
    if (!answer)
        co_return tl::unexpected(answer.error());
    json::array found = listOf(*answer, "kvs");
    if (found.empty())
        co_return std::optional<KeyValue>();
    co_return std::optional<KeyValue>(readKeyValue(found[0]));
}

asio::awaitable<PlatformResult<SwapResult>> PlatformClient::compareAndSwap(std::string key, std::int64_t expected,
    std::optional<std::string> value, std::int64_t lease, std::vector<std::string> required, std::string alsoWrite)
{
    std::string encodedKey = encodeBase64(key);
    json::array comparisons;
    comparisons.push_back(json::object { { "key", encodedKey }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", fmt::format("{}", expected) } });
    for (const std::string& name : required)
        comparisons.push_back(json::object {
            { "key", encodeBase64(name) }, { "target", "VERSION" }, { "result", "GREATER" }, { "version", "0" } });
    json::object operation;
    if (value) {
        json::object put { { "key", encodedKey }, { "value", encodeBase64(*value) } };
        if (lease)
            put["lease"] = fmt::format("{}", lease);
        operation["request_put"] = put;
    } else
        operation["request_delete_range"] = json::object { { "key", encodedKey } };
    json::array operations;
    operations.push_back(operation);
    if (!alsoWrite.empty()) {
        json::object mark { { "key", encodeBase64(alsoWrite) }, { "value", "" } };
        operations.push_back(json::object { { "request_put", mark } });
    }
    json::object request { { "compare", comparisons }, { "success", operations } };
    auto answer = parseAnswer(co_await this->call("/v3/kv/txn", json::serialize(request)));
    if (!answer)
        co_return tl::unexpected(answer.error());
    json::value succeeded = memberOf(*answer, "succeeded");
    SwapResult result;
    result.swapped = succeeded.is_bool() && succeeded.get_bool();
    result.revision = headerRevision(*answer);
    co_return result;
}

asio::awaitable<PlatformResult<std::int64_t>> PlatformClient::grantLease(std::uint32_t seconds)
{
    json::object request { { "TTL", fmt::format("{}", seconds) } };
    auto answer = parseAnswer(co_await this->call("/v3/lease/grant", json::serialize(request)));
    if (!answer)
        co_return tl::unexpected(answer.error());
    std::int64_t lease = numberOf(*answer, "ID");
    if (!lease)
        co_return tl::unexpected(maybeRun("the platform's service granted no lease"));
    co_return lease;
}

asio::awaitable<PlatformResult<bool>> PlatformClient::keepLeaseAlive(std::int64_t lease)
{
    json::object request { { "ID", fmt::format("{}", lease) } };
    auto answer = parseAnswer(co_await this->call("/v3/lease/keepalive", json::serialize(request)));
    if (!answer)
        co_return tl::unexpected(answer.error());
    co_return numberOf(memberOf(*answer, "result"), "TTL") > 0;
}

asio::awaitable<PlatformResult<bool>> PlatformClient::revokeLease(std::int64_t lease)
{
    json::object request { { "ID", fmt::format("{}", lease) } };
    auto answer = parseAnswer(co_await this->call("/v3/lease/revoke", json::serialize(request)));
    if (!answer)
        co_return tl::unexpected(answer.error());
    co_return true;
}

asio::awaitable<PlatformError> PlatformClient::watch(std::string prefix, std::int64_t fromRevision,
    Milliseconds silence, std::function<void(std::int64_t, const std::vector<KeyValue>&)> onAnswer)
{
    auto self = this->shared_from_this();
    ++this->watchCount;
    struct {
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
    } connection { beast::tcp_stream(this->context), {} };
    connection.stream.expires_after(this->timeout);
    auto [connectError] = co_await connection.stream.async_connect(parseAddress(this->address), asResult());
    if (connectError)
        co_return notSent("cannot reach the platform's service: " + connectError.message());
    json::object create { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) },
        { "start_revision", fmt::format("{}", fromRevision) }, { "progress_notify", true } };
    auto request
        = makeRequest(this->address, "/v3/watch", json::serialize(json::object { { "create_request", create } }));
    auto [writeError, written] = co_await http::async_write(connection.stream, request, asResult());
    if (writeError)
        co_return notSent(writeError.message());
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    auto [headError, headSize]
        = co_await http::async_read_header(connection.stream, connection.buffer, parser, asResult());
    if (headError)
        co_return notSent(headError.message());
    std::string pending;
    std::string chunk(16384, '\0');
    while (!parser.is_done()) {
        connection.stream.expires_after(silence);
        // Returns with each piece; a whole read would wait until the buffer is full.
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        auto [error, size] = co_await http::async_read_some(connection.stream, connection.buffer, parser, asResult());
        if (error && error != http::error::need_buffer)
            co_return notSent("the watch broke: " + error.message());
        pending.append(chunk, 0, chunk.size() - parser.get().body().size);
        std::size_t end = 0;
        while ((end = pending.find('\n')) != std::string::npos) {
            json::error_code parseError;
            json::value answer = json::parse(pending.substr(0, end), parseError);
            pending.erase(0, end + 1);
            if (parseError)
                co_return notSent("the watch answered with something else than JSON");
            json::value result = memberOf(answer, "result");
            if (memberOf(result, "canceled").is_bool() && memberOf(result, "canceled").get_bool())
                co_return notSent("the platform's service cancelled the watch");
            std::vector<KeyValue> changes;
            for (const json::value& event : listOf(result, "events")) {
                KeyValue change = readKeyValue(memberOf(event, "kv"));
                change.deleted = textOf(event, "type") == "DELETE";
                changes.push_back(std::move(change));
            }
            onAnswer(headerRevision(result), changes);
        }
    }
    co_return notSent("the watch ended");
}

} // namespace catkinlock
