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

    // The smallest key greater than all keys with the prefix, for etcd's range_end.
    std::string endOfPrefix(std::string prefix)
    {
        if (!prefix.empty())
            ++prefix.back();
        return prefix;
    }

    // etcd's JSON interface writes 64-bit integers as strings. A field that is missing or of another type gives 0.
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

    json::value fieldOf(const json::value& object, const char* name)
    {
        const json::object* fields = object.if_object();
        const json::value* value = fields ? fields->if_contains(name) : nullptr;
        return value ? *value : json::value();
    }

    json::array listOf(const json::value& object, const char* name)
    {
        json::value list = fieldOf(object, name);
        return list.is_array() ? list.get_array() : json::array();
    }

    std::int64_t headerRevision(const json::value& response)
    {
        return numberOf(fieldOf(response, "header"), "revision");
    }

    KeyValue readKeyValue(const json::value& value)
    {
        return { decodeBase64(textOf(value, "key")), decodeBase64(textOf(value, "value")),
            numberOf(value, "mod_revision"), false };
    }

    // An error of a call that had no effect on the service.
    PlatformError notExecutedError(std::string message) { return { false, std::move(message) }; }

    // An error of a call that the service may have executed.
    PlatformError maybeExecutedError(std::string message) { return { true, std::move(message) }; }

    tl::expected<json::value, PlatformError> parseResponse(const PlatformResult<std::string>& text)
    {
        if (!text)
            return tl::unexpected(text.error());
        json::error_code error;
        json::value response = json::parse(*text, error);
        if (error || !response.is_object())
            return tl::unexpected(
                maybeExecutedError("the platform's service responded with something other than a JSON object"));
        return response;
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

    auto asTuple() { return asio::as_tuple(asio::use_awaitable); }

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
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(path);
    request.body = std::move(body);
    auto response = co_await this->http->call(std::move(request), this->timeout);
    if (!response)
        co_return tl::unexpected(response.error());
    if (response->status != static_cast<unsigned>(http::status::ok)) {
        // The service reported an error, so it did not execute the call.
        co_return tl::unexpected(notExecutedError("the platform's service refused the call: " + response->body));
    }
    co_return std::move(response->body);
}

asio::awaitable<PlatformResult<SwapResult>> PlatformClient::swap(
    std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease)
{
    return this->compareAndSwap(std::move(key), expected, std::move(value), lease);
}

asio::awaitable<PlatformResult<KeyRange>> PlatformClient::readPrefix(std::string prefix)
{
    json::object request { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } };
    auto response = parseResponse(co_await this->call("/v3/kv/range", json::serialize(request)));
    if (!response)
        co_return tl::unexpected(response.error());
    KeyRange range;
    range.revision = headerRevision(*response);
    for (const json::value& value : listOf(*response, "kvs"))
        range.values.push_back(readKeyValue(value));
    co_return range;
}

asio::awaitable<PlatformResult<std::optional<KeyValue>>> PlatformClient::read(std::string key)
{
    json::object request { { "key", encodeBase64(key) } };
    auto response = parseResponse(co_await this->call("/v3/kv/range", json::serialize(request)));
    if (!response)
        co_return tl::unexpected(response.error());
    json::array found = listOf(*response, "kvs");
    if (found.empty())
        co_return std::optional<KeyValue>();
    co_return std::optional<KeyValue>(readKeyValue(found[0]));
}

asio::awaitable<PlatformResult<SwapResult>> PlatformClient::compareAndSwap(std::string key, std::int64_t expected,
    std::optional<std::string> value, std::int64_t lease, std::vector<std::string> required, std::string markerKey)
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
    if (!markerKey.empty()) {
        json::object marker { { "key", encodeBase64(markerKey) }, { "value", "" } };
        operations.push_back(json::object { { "request_put", marker } });
    }
    json::object request { { "compare", comparisons }, { "success", operations } };
    auto response = parseResponse(co_await this->call("/v3/kv/txn", json::serialize(request)));
    if (!response)
        co_return tl::unexpected(response.error());
    json::value succeeded = fieldOf(*response, "succeeded");
    SwapResult result;
    result.swapped = succeeded.is_bool() && succeeded.get_bool();
    result.revision = headerRevision(*response);
    co_return result;
}

asio::awaitable<PlatformResult<std::int64_t>> PlatformClient::grantLease(std::uint32_t seconds)
{
    json::object request { { "TTL", fmt::format("{}", seconds) } };
    auto response = parseResponse(co_await this->call("/v3/lease/grant", json::serialize(request)));
    if (!response)
        co_return tl::unexpected(response.error());
    std::int64_t lease = numberOf(*response, "ID");
    if (!lease)
        co_return tl::unexpected(maybeExecutedError("the platform's service granted no lease"));
    co_return lease;
}

asio::awaitable<PlatformResult<bool>> PlatformClient::keepLeaseAlive(std::int64_t lease)
{
    json::object request { { "ID", fmt::format("{}", lease) } };
    auto response = parseResponse(co_await this->call("/v3/lease/keepalive", json::serialize(request)));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return numberOf(fieldOf(*response, "result"), "TTL") > 0;
}

asio::awaitable<PlatformResult<bool>> PlatformClient::revokeLease(std::int64_t lease)
{
    json::object request { { "ID", fmt::format("{}", lease) } };
    auto response = parseResponse(co_await this->call("/v3/lease/revoke", json::serialize(request)));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return true;
}

asio::awaitable<PlatformError> PlatformClient::watch(std::string prefix, std::int64_t fromRevision,
    Milliseconds idleTimeout, std::function<void(std::int64_t, const std::vector<KeyValue>&)> onResponse)
{
    auto self = this->shared_from_this();
    ++this->watchCount;
    struct {
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
    } connection { beast::tcp_stream(this->context), {} };
    connection.stream.expires_after(this->timeout);
    auto [connectError] = co_await connection.stream.async_connect(parseAddress(this->address), asTuple());
    if (connectError)
        co_return notExecutedError("cannot reach the platform's service: " + connectError.message());
    json::object create { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) },
        { "start_revision", fmt::format("{}", fromRevision) }, { "progress_notify", true } };
    auto request
        = makeRequest(this->address, "/v3/watch", json::serialize(json::object { { "create_request", create } }));
    auto [writeError, written] = co_await http::async_write(connection.stream, request, asTuple());
    if (writeError)
        co_return notExecutedError(writeError.message());
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    auto [headError, headSize]
        = co_await http::async_read_header(connection.stream, connection.buffer, parser, asTuple());
    if (headError)
        co_return notExecutedError(headError.message());
    std::string pending;
    std::string chunk(16384, '\0');
    while (!parser.is_done()) {
        connection.stream.expires_after(idleTimeout);
        // async_read would wait until the buffer is full, so each piece is read as soon as it arrives.
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        auto [error, size] = co_await http::async_read_some(connection.stream, connection.buffer, parser, asTuple());
        if (error && error != http::error::need_buffer)
            co_return notExecutedError("the connection of the watch failed: " + error.message());
        pending.append(chunk, 0, chunk.size() - parser.get().body().size);
        std::size_t end = 0;
        while ((end = pending.find('\n')) != std::string::npos) {
            json::error_code parseError;
            json::value response = json::parse(pending.substr(0, end), parseError);
            pending.erase(0, end + 1);
            if (parseError)
                co_return notExecutedError("the platform's service sent a watch response that is not JSON");
            json::value result = fieldOf(response, "result");
            if (fieldOf(result, "canceled").is_bool() && fieldOf(result, "canceled").get_bool())
                co_return notExecutedError("the platform's service cancelled the watch");
            std::vector<KeyValue> changes;
            for (const json::value& event : listOf(result, "events")) {
                KeyValue change = readKeyValue(fieldOf(event, "kv"));
                change.deleted = textOf(event, "type") == "DELETE";
                changes.push_back(std::move(change));
            }
            onResponse(headerRevision(result), changes);
        }
    }
    co_return notExecutedError("the platform's service ended the watch");
}

} // namespace catkinlock
