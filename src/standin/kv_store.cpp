#include "standin/kv_store.h"

#include "catkinlock/digest.h"
#include <fmt/format.h>

namespace catkinlock::standin {

namespace json = boost::json;

namespace {

    // etcd's JSON form carries keys and values in base64. Returns "" if the field is missing.
    std::string decodedField(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_string() ? decodeBase64(json::value_to<std::string>(*value)) : "";
    }

    // etcd writes 64-bit integers as JSON strings, and accepts strings and numbers. Returns 0 if the field is missing.
    std::int64_t int64Field(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        if (!value)
            return 0;
        if (value->is_string())
            return std::strtoll(value->get_string().c_str(), nullptr, 10);
        return value->is_number() ? value->to_number<std::int64_t>() : 0;
    }

    std::string int64Text(std::int64_t value) { return fmt::format("{}", value); }

} // namespace

json::object KvStore::header() const { return { { "revision", int64Text(this->lastRevision) } }; }

json::object KvStore::keyValue(const std::string& key, const Value& value) const
{
    return { { "key", encodeBase64(key) }, { "value", encodeBase64(value.text) },
        { "create_revision", int64Text(value.createRevision) }, { "mod_revision", int64Text(value.modRevision) },
        { "version", int64Text(value.version) }, { "lease", int64Text(value.lease) } };
}

json::object KvStore::range(const json::object& request) const
{
    std::string begin = decodedField(request, "key");
    std::string end = decodedField(request, "range_end");
    json::array found;
    for (auto it = this->values.lower_bound(begin); it != this->values.end(); ++it) {
        bool inRange = end.empty() ? it->first == begin : it->first < end;
        if (!inRange)
            break;
        found.push_back(this->keyValue(it->first, it->second));
    }
    json::object response { { "header", this->header() },
        { "count", int64Text(static_cast<std::int64_t>(found.size())) } };
    if (!found.empty())
        response["kvs"] = std::move(found);
    return response;
}

json::object KvStore::put(const json::object& request)
{
    std::string key = decodedField(request, "key");
    std::int64_t lease = int64Field(request, "lease");
    if (lease && !this->leases.count(lease))
        return { { "error", "etcdserver: requested lease not found" }, { "code", 5 } };
    if (!this->inTransaction)
        ++this->lastRevision;
    Value& value = this->values[key];
    value.text = decodedField(request, "value");
    if (!value.createRevision)
        value.createRevision = this->lastRevision;
    value.modRevision = this->lastRevision;
    ++value.version;
    value.lease = lease;
    this->history.push_back({ this->lastRevision, false, key, value.text });
    return { { "header", this->header() } };
}

json::object KvStore::deleteRange(const json::object& request)
{
    std::string begin = decodedField(request, "key");
    std::string end = decodedField(request, "range_end");
    std::int64_t deleted = 0;
    for (auto it = this->values.lower_bound(begin); it != this->values.end();) {
        bool inRange = end.empty() ? it->first == begin : it->first < end;
        if (!inRange)
            break;
        if (!deleted && !this->inTransaction)
            ++this->lastRevision;
        ++deleted;
        this->history.push_back({ this->lastRevision, true, it->first, "" });
        it = this->values.erase(it);
    }
    return { { "header", this->header() }, { "deleted", int64Text(deleted) } };
}

bool KvStore::comparisonHolds(const json::object& comparison) const
{
    auto found = this->values.find(decodedField(comparison, "key"));
    Value value = found == this->values.end() ? Value {} : found->second;
    std::string target = json::value_to<std::string>(comparison.at("target"));
    if (target == "MOD")
        return value.modRevision == int64Field(comparison, "mod_revision");
    if (target == "CREATE")
        return value.createRevision == int64Field(comparison, "create_revision");
    if (target == "VERSION") {
        std::int64_t expected = int64Field(comparison, "version");
        const json::value* result = comparison.if_contains("result");
        bool greater = result && result->is_string() && result->get_string() == "GREATER";
        return greater ? value.version > expected : value.version == expected;
    }
    if (target == "VALUE")
        return value.text == decodedField(comparison, "value");
    return false;
}

json::object KvStore::runOperation(const json::object& operation)
{
    if (auto* request = operation.if_contains("request_put"))
        return { { "response_put", this->put(request->as_object()) } };
    if (auto* request = operation.if_contains("request_delete_range"))
        return { { "response_delete_range", this->deleteRange(request->as_object()) } };
    if (auto* request = operation.if_contains("request_range"))
        return { { "response_range", this->range(request->as_object()) } };
    return {};
}

json::object KvStore::transact(const json::object& request)
{
    bool succeeded = true;
    if (auto* comparisons = request.if_contains("compare")) {
        for (const json::value& comparison : comparisons->as_array())
            succeeded = succeeded && this->comparisonHolds(comparison.as_object());
    }
    json::array responses;
    const json::value* operations = request.if_contains(succeeded ? "success" : "failure");
    if (operations) {
        for (const json::value& operation : operations->as_array()) {
            bool isWrite = !operation.as_object().if_contains("request_range");
            if (isWrite && !this->inTransaction) {
                ++this->lastRevision;
                this->inTransaction = true;
            }
            responses.push_back(this->runOperation(operation.as_object()));
        }
    }
    this->inTransaction = false;
    return { { "header", this->header() }, { "succeeded", succeeded }, { "responses", responses } };
}

json::object KvStore::grantLease(const json::object& request, double nowSeconds)
{
    std::int64_t id = ++this->lastLease;
    double ttlSeconds = static_cast<double>(int64Field(request, "TTL"));
    this->leases[id] = { ttlSeconds, nowSeconds + ttlSeconds };
    return { { "header", this->header() }, { "ID", int64Text(id) }, { "TTL", int64Text(int64Field(request, "TTL")) } };
}

json::object KvStore::keepLeaseAlive(const json::object& request, double nowSeconds)
{
    auto lease = this->leases.find(int64Field(request, "ID"));
    json::object result { { "header", this->header() }, { "ID", int64Text(int64Field(request, "ID")) } };
    if (lease != this->leases.end()) {
        lease->second.expirySeconds = nowSeconds + lease->second.ttlSeconds;
        result["TTL"] = int64Text(static_cast<std::int64_t>(lease->second.ttlSeconds));
    }
    return { { "result", result } };
}

void KvStore::endLease(std::int64_t id)
{
    this->leases.erase(id);
    ++this->lastRevision;
    for (auto it = this->values.begin(); it != this->values.end();) {
        if (it->second.lease != id) {
            ++it;
            continue;
        }
        this->history.push_back({ this->lastRevision, true, it->first, "" });
        it = this->values.erase(it);
    }
}

json::object KvStore::revokeLease(const json::object& request)
{
    if (!this->leases.count(int64Field(request, "ID")))
        return { { "error", "etcdserver: requested lease not found" }, { "code", 5 } };
    this->endLease(int64Field(request, "ID"));
    return { { "header", this->header() } };
}

void KvStore::expireLeases(double nowSeconds)
{
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : this->leases) {
        if (lease.expirySeconds <= nowSeconds)
            expired.push_back(id);
    }
    for (std::int64_t id : expired)
        this->endLease(id);
}

json::object KvStore::watchResponse(const std::string& begin, const std::string& end, std::int64_t fromRevision) const
{
    json::array events;
    auto first = std::lower_bound(this->history.begin(), this->history.end(), fromRevision,
        [](const Change& change, std::int64_t expected) { return change.revision < expected; });
    for (auto it = first; it != this->history.end(); ++it) {
        bool inRange = end.empty() ? it->key == begin : it->key >= begin && it->key < end;
        if (!inRange)
            continue;
        json::object keyValue { { "key", encodeBase64(it->key) }, { "mod_revision", int64Text(it->revision) } };
        if (!it->deleted)
            keyValue["value"] = encodeBase64(it->value);
        json::object event { { "kv", keyValue } };
        if (it->deleted)
            event["type"] = "DELETE";
        events.push_back(event);
    }
    json::object result { { "header", this->header() } };
    if (!events.empty())
        result["events"] = std::move(events);
    return { { "result", result } };
}

} // namespace catkinlock::standin
