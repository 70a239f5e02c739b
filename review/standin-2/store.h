// A stand-in for the platform's store and its service for promotions, over HTTP/1.1 on loopback.

#pragma once

#include "net.h"
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

inline std::string encodeBase64(const std::string& data)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        unsigned word = 0;
        for (std::size_t j = 0; j < 3; ++j)
            word = word << 8 | (i + j < data.size() ? static_cast<unsigned char>(data[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out += j <= data.size() - i ? digits[word >> (18 - 6 * j) & 63] : '=';
    }
    return out;
}

inline std::string decodeBase64(const std::string& text)
{
    std::string out;
    unsigned word = 0;
    int bits = 0;
    for (char c : text) {
        int value = c >= 'A' && c <= 'Z' ? c - 'A'
            : c >= 'a' && c <= 'z'       ? c - 'a' + 26
            : c >= '0' && c <= '9'       ? c - '0' + 52
            : c == '+'                   ? 62
            : c == '/'                   ? 63
                                         : -1;
        if (value < 0)
            break;
        word = word << 6 | static_cast<unsigned>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(word >> bits & 255);
        }
    }
    return out;
}

inline std::string decodeUrl(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            out += text[i];
    }
    return out;
}

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::string body = "{}";
};

// Serves HTTP requests, one thread for each connection.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    explicit HttpServer(Handler handler)
        : handler(std::move(handler))
    {
        this->listener = listenOnLoopback(0);
        std::thread([this] { this->accept(); }).detach();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(portOf(this->listener)); }

private:
    void accept()
    {
        for (;;) {
            int fd = ::accept(this->listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            std::thread([this, fd] { this->serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        LineReader reader(fd);
        setNoDelay(fd);
        for (;;) {
            auto first = reader.line();
            if (!first)
                break;
            HttpRequest request = parseFirstLine(*first);
            std::size_t length = 0;
            for (auto line = reader.line(); line && !line->empty(); line = reader.line()) {
                std::size_t colon = line->find(':');
                std::string name = line->substr(0, colon);
                for (char& c : name)
                    c = static_cast<char>(std::tolower(c));
                std::string value = colon == std::string::npos ? "" : line->substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                request.headers[name] = value;
                if (name == "content-length")
                    length = std::stoul(value);
            }
            auto body = reader.bytes(length);
            if (!body)
                break;
            request.body = *body;
            HttpResponse response = this->handler(request);
            std::string out = "HTTP/1.1 " + std::to_string(response.status)
                + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                + "\r\n\r\n" + response.body;
            if (!sendAll(fd, out))
                break;
        }
        ::close(fd);
    }

    static HttpRequest parseFirstLine(const std::string& line)
    {
        HttpRequest request;
        std::size_t space = line.find(' ');
        request.method = line.substr(0, space);
        std::string target = line.substr(space + 1, line.rfind(' ') - space - 1);
        std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        while (!query.empty()) {
            std::string pair = query.substr(0, query.find('&'));
            query.erase(0, std::min(query.size(), pair.size() + 1));
            std::size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)]
                = equals == std::string::npos ? "" : decodeUrl(pair.substr(equals + 1));
        }
        return request;
    }

    Handler handler;
    int listener = -1;
};

// The platform's store: items with revisions, watches, conditional writes and leases.
class Store {
public:
    Store()
        : server([this](const HttpRequest& request) { return this->handle(request); })
    {
        std::thread([this] { this->expireLeases(); }).detach();
    }
    std::string address() const { return this->server.address(); }

    // Writes of the operator and of the members.
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(this->mutex);
        this->write(key, value, 0);
    }
    void erase(const std::string& key)
    {
        std::lock_guard lock(this->mutex);
        this->remove(key);
    }
    std::string value(const std::string& key)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->items.find(key);
        return found == this->items.end() ? "" : found->second.value;
    }

private:
    using Clock = std::chrono::steady_clock;
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::string key;
        Item item;
        bool deleted = false;
    };
    struct Lease {
        std::int64_t ttlMs = 0;
        Clock::time_point end;
    };

    void write(const std::string& key, const std::string& value, std::int64_t lease)
    {
        Item& item = this->items[key];
        item.value = value;
        item.revision = ++this->revision;
        if (!item.created)
            item.created = item.revision;
        item.lease = lease;
        this->history.push_back({ key, item, false });
        this->changed.notify_all();
    }
    void remove(const std::string& key)
    {
        if (!this->items.erase(key))
            return;
        Item item;
        item.revision = ++this->revision;
        this->history.push_back({ key, item, true });
        this->changed.notify_all();
    }

    void endLease(std::int64_t id)
    {
        this->leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : this->items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            this->remove(key);
    }
    void expireLeases()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            std::lock_guard lock(this->mutex);
            std::vector<std::int64_t> ended;
            for (const auto& [id, lease] : this->leases) {
                if (lease.end <= Clock::now())
                    ended.push_back(id);
            }
            for (std::int64_t id : ended)
                this->endLease(id);
        }
    }

    static json::object describe(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", encodeBase64(item.value) }, { "revision", item.revision },
            { "created", item.created }, { "lease", item.lease } };
    }

    HttpResponse handle(const HttpRequest& request)
    {
        // The store takes some milliseconds to answer.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        std::unique_lock lock(this->mutex);
        if (request.path == "/api/kv-key")
            return this->read(request);
        if (request.path == "/api/kv-range")
            return this->range(request);
        if (request.path == "/api/kv-watch")
            return this->watch(request, lock);
        if (request.path == "/api/kv-txn")
            return this->transact(json::parse(request.body).as_object());
        if (request.path == "/api/kv-lease")
            return this->grant(json::parse(request.body).as_object());
        const std::string keep = "/api/kv-keep/";
        const std::string end = "/api/kv-lease-end/";
        if (request.path.starts_with(keep))
            return this->keep(std::stoll(request.path.substr(keep.size())));
        if (request.path.starts_with(end)) {
            std::int64_t id = std::stoll(request.path.substr(end.size()));
            bool known = this->leases.count(id) != 0;
            this->endLease(id);
            return { known ? 200 : 404, "{}" };
        }
        return { 404, "{}" };
    }

    HttpResponse read(const HttpRequest& request)
    {
        const std::string& key = request.query.at("key");
        auto found = this->items.find(key);
        if (found == this->items.end())
            return { 404, "{}" };
        json::object body = describe(key, found->second);
        body["asOf"] = this->revision;
        return { 200, json::serialize(body) };
    }

    HttpResponse range(const HttpRequest& request)
    {
        const std::string& prefix = request.query.at("prefix");
        json::array found;
        for (const auto& [key, item] : this->items) {
            if (key.starts_with(prefix))
                found.push_back(describe(key, item));
        }
        return { 200,
            json::serialize(json::object { { "items", found }, { "hasMore", false }, { "asOf", this->revision } }) };
    }

    HttpResponse watch(const HttpRequest& request, std::unique_lock<std::mutex>& lock)
    {
        const std::string& prefix = request.query.at("prefix");
        std::int64_t after = std::stoll(request.query.at("after"));
        auto until = Clock::now() + std::chrono::milliseconds(std::stoll(request.query.at("waitMs")));
        json::array events;
        for (;;) {
            for (const Event& event : this->history) {
                if (event.item.revision <= after || !event.key.starts_with(prefix))
                    continue;
                if (event.deleted)
                    events.push_back(json::object {
                        { "key", event.key }, { "revision", event.item.revision }, { "deleted", true } });
                else
                    events.push_back(describe(event.key, event.item));
            }
            if (!events.empty() || Clock::now() >= until)
                break;
            this->changed.wait_until(lock, until);
        }
        return { 200, json::serialize(json::object { { "events", events }, { "asOf", this->revision } }) };
    }

    HttpResponse transact(const json::object& request)
    {
        bool holds = true;
        json::array present;
        for (const json::value& row : request.at("expectedRev").as_array()) {
            std::string key = json::value_to<std::string>(row.at("key"));
            auto found = this->items.find(key);
            std::int64_t revision = found == this->items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").to_number<std::int64_t>();
            if (found != this->items.end())
                present.push_back(describe(key, found->second));
        }
        if (!holds)
            return { 412, json::serialize(json::object { { "items", present } }) };
        for (const json::value& put : request.at("puts").as_array()) {
            std::string key = json::value_to<std::string>(put.at("key"));
            const json::value* lease = put.as_object().if_contains("lease");
            std::int64_t id = lease ? lease->to_number<std::int64_t>() : 0;
            if (key.starts_with("op/") || key.starts_with("servers/"))
                return { 403, "{}" };
            if (id && !this->leases.count(id))
                return { 404, "{}" };
        }
        for (const json::value& put : request.at("puts").as_array()) {
            const json::value* lease = put.as_object().if_contains("lease");
            this->write(json::value_to<std::string>(put.at("key")),
                decodeBase64(json::value_to<std::string>(put.at("value"))),
                lease ? lease->to_number<std::int64_t>() : 0);
        }
        for (const json::value& key : request.at("deletes").as_array())
            this->remove(json::value_to<std::string>(key));
        return { 200, json::serialize(json::object { { "revision", this->revision } }) };
    }

    HttpResponse grant(const json::object& request)
    {
        std::int64_t ttl = request.at("ttlMs").to_number<std::int64_t>();
        std::int64_t id = ++this->lastLease;
        this->leases[id] = { ttl, Clock::now() + std::chrono::milliseconds(ttl) };
        return { 200, json::serialize(json::object { { "lease", id }, { "ttlMs", ttl } }) };
    }

    HttpResponse keep(std::int64_t id)
    {
        auto found = this->leases.find(id);
        if (found == this->leases.end())
            return { 404, "{}" };
        found->second.end = Clock::now() + std::chrono::milliseconds(found->second.ttlMs);
        return { 200, json::serialize(json::object { { "ttlMs", found->second.ttlMs } }) };
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t revision = 100;
    std::int64_t lastLease = 70000;
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::map<std::int64_t, Lease> leases;
    HttpServer server;
};

} // namespace review
