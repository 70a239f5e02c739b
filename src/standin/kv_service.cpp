#include "standin/kv_service.h"

#include "catkinlock/address.h"
#include "catkinlock/digest.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace catkinlock::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds watchPollInterval { 5 };

    // Parameters of the query string, without percent-decoding.
    std::map<std::string, std::string> parseQuery(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::size_t start = target.find('?');
        while (start != std::string::npos) {
            std::size_t end = target.find('&', start + 1);
            std::string pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
            std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                query[pair.substr(0, equals)] = pair.substr(equals + 1);
            start = end;
        }
        return query;
    }

    // Number after the last slash.
    std::int64_t trailingNumber(const std::string& path)
    {
        return std::strtoll(path.c_str() + path.rfind('/') + 1, nullptr, 10);
    }

} // namespace

KvService::KvService(asio::io_context& context, std::function<void(const std::string&)> promote)
    : context(context)
    , promote(std::move(promote))
    , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
}

std::string KvService::start()
{
    asio::co_spawn(
        this->context, [self = this->shared_from_this()] { return self->accept(); }, asio::detached);
    return formatAddress(this->acceptor.local_endpoint());
}

void KvService::recordChange(const std::string& key, const std::string& value, bool deleted)
{
    ++this->state.revision;
    this->state.changes.push_back({ key, value, this->state.revision, deleted });
}

void KvService::put(const std::string& key, const std::string& value)
{
    this->recordChange(key, value, false);
    this->state.items[key] = { value, this->state.revision, 0 };
}

void KvService::erase(const std::string& key)
{
    this->state.items.erase(key);
    this->recordChange(key, "", true);
}

void KvService::takeCopy()
{
    this->copy = this->state;
    this->copiedAt = std::chrono::steady_clock::now();
}

void KvService::restoreCopy()
{
    this->state = this->copy;
    auto age = std::chrono::steady_clock::now() - this->copiedAt;
    for (auto& [id, lease] : this->state.leases)
        lease.expiresAt += age;
    ++this->era;
}

std::map<std::string, std::string> KvService::contents() const
{
    std::map<std::string, std::string> values;
    for (const auto& [key, item] : this->state.items)
        values[key] = item.value;
    return values;
}

std::vector<std::int64_t> KvService::leaseIds() const
{
    std::vector<std::int64_t> ids;
    for (const auto& [id, lease] : this->state.leases)
        ids.push_back(id);
    return ids;
}

asio::awaitable<void> KvService::accept()
{
    auto self = this->shared_from_this();
    for (;;) {
        auto [error, accepted] = co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
        auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
        asio::co_spawn(
            this->context, [self, socket] { return self->serve(std::move(*socket)); }, asio::detached);
    }
}

asio::awaitable<void> KvService::serve(asio::ip::tcp::socket socket)
{
    auto self = this->shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> request;
        auto [readError, readSize]
            = co_await http::async_read(stream, buffer, request, asio::as_tuple(asio::use_awaitable));
        if (readError)
            co_return;
        auto token = request.find("Fencing-Token");
        if (token != request.end())
            this->receivedTokens.push_back(std::strtoll(std::string(token->value()).c_str(), nullptr, 10));
        Response result = co_await this->handle(std::string(request.target()), request.body());
        http::response<http::string_body> response(http::int_to_status(result.status), request.version());
        response.keep_alive(request.keep_alive());
        response.set("Store-Era", std::to_string(this->era));
        response.body() = json::serialize(result.body);
        response.prepare_payload();
        auto [writeError, writeSize]
            = co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
        if (writeError)
            co_return;
    }
}

KvService::Response KvService::range(const std::string& prefix) const
{
    json::array list;
    for (const auto& [key, item] : this->state.items) {
        if (key.starts_with(prefix))
            list.push_back(
                json::object { { "key", key }, { "value", encodeBase64(item.value) }, { "revision", item.revision } });
    }
    return { 200, { { "items", list }, { "hasMore", false }, { "asOf", this->state.revision } } };
}

KvService::Response KvService::transact(const json::object& request)
{
    for (const json::value& entry : request.at("expectedRev").as_array()) {
        auto stored = this->state.items.find(json::value_to<std::string>(entry.at("key")));
        std::int64_t currentRevision = stored == this->state.items.end() ? 0 : stored->second.revision;
        if (currentRevision != entry.at("revision").as_int64())
            return { 412, {} };
    }
    for (const json::value& entry : request.at("puts").as_array()) {
        const json::value* lease = entry.as_object().if_contains("lease");
        if (lease && !this->state.leases.count(lease->as_int64()))
            return { 404, {} };
    }
    for (const json::value& entry : request.at("puts").as_array()) {
        const json::object& item = entry.as_object();
        std::string key = json::value_to<std::string>(item.at("key"));
        this->put(key, decodeBase64(json::value_to<std::string>(item.at("value"))));
        if (const json::value* lease = item.if_contains("lease"))
            this->state.items[key].lease = lease->as_int64();
    }
    for (const json::value& key : request.at("deletes").as_array())
        this->erase(json::value_to<std::string>(key));
    return { 200, { { "revision", this->state.revision } } };
}

void KvService::expireLeases()
{
    auto now = std::chrono::steady_clock::now();
    for (auto it = this->state.leases.begin(); it != this->state.leases.end();) {
        std::int64_t id = it->first;
        bool expired = it->second.expiresAt <= now;
        ++it;
        if (expired)
            this->endLease(id);
    }
}

void KvService::endLease(std::int64_t lease)
{
    this->state.leases.erase(lease);
    for (auto it = this->state.items.begin(); it != this->state.items.end();) {
        if (it->second.lease != lease) {
            ++it;
            continue;
        }
        this->recordChange(it->first, "", true);
        it = this->state.items.erase(it);
    }
}

asio::awaitable<KvService::Response> KvService::watch(std::map<std::string, std::string> query)
{
    std::int64_t after = std::strtoll(query["after"].c_str(), nullptr, 10);
    auto remaining = std::chrono::milliseconds(std::strtoll(query["waitMs"].c_str(), nullptr, 10));
    asio::steady_timer timer(this->context);
    Response result;
    while (this->state.revision == after && remaining.count() > 0 && !this->unavailable) {
        timer.expires_after(watchPollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        remaining -= watchPollInterval;
    }
    if (this->state.revision < after) {
        result.status = 410;
        co_return result;
    }
    json::array events;
    for (const Change& change : this->state.changes) {
        if (change.revision > after)
            events.push_back(json::object { { "key", change.key }, { "value", encodeBase64(change.value) },
                { "revision", change.revision }, { "deleted", change.deleted } });
    }
    result.body["events"] = events;
    result.body["asOf"] = this->state.revision;
    co_return result;
}

asio::awaitable<void> KvService::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<KvService::Response> KvService::handle(std::string target, std::string body)
{
    std::string path = target.substr(0, target.find('?'));
    auto query = parseQuery(target);
    this->expireLeases();
    Response result;
    if (this->unavailable) {
        result.status = 503;
        co_return result;
    }
    if (path == "/api/kv-watch") {
        result = co_await this->watch(query);
        co_return result;
    }
    if (path == "/api/kv-range")
        co_return this->range(query["prefix"]);
    if (path == "/api/kv-key") {
        auto stored = this->state.items.find(query["key"]);
        if (stored == this->state.items.end()) {
            result.status = 404;
            co_return result;
        }
        result.body["key"] = stored->first;
        result.body["value"] = encodeBase64(stored->second.value);
        result.body["revision"] = stored->second.revision;
        co_return result;
    }
    if (path == "/api/kv-txn")
        co_return this->transact(json::parse(body).as_object());
    if (path == "/api/kv-lease") {
        std::chrono::milliseconds duration(json::parse(body).at("ttlMs").as_int64());
        this->state.leases[++this->state.nextLease] = { duration, std::chrono::steady_clock::now() + duration };
        result.body["lease"] = this->state.nextLease;
        result.body["ttlMs"] = json::parse(body).at("ttlMs");
        co_await this->sleepFor(this->leaseGrantDelay);
        co_return result;
    }
    if (path.starts_with("/api/kv-keep/")) {
        auto lease = this->state.leases.find(trailingNumber(path));
        result.status = lease == this->state.leases.end() ? 404 : 200;
        if (lease != this->state.leases.end())
            lease->second.expiresAt = std::chrono::steady_clock::now() + lease->second.duration;
        co_return result;
    }
    if (path.starts_with("/api/kv-lease-end/")) {
        co_await this->sleepFor(this->leaseEndDelay);
        this->endLease(trailingNumber(path));
        co_return result;
    }
    if (path == "/promote") {
        this->promote(json::value_to<std::string>(json::parse(body).at("id")));
        co_return result;
    }
    result.status = 404;
    co_return result;
}

} // namespace catkinlock::standin
