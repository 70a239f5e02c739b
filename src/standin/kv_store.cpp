#include "standin/kv_store.h"

#include "catkinlock/digest.h"
#include <fmt/format.h>

namespace catkinlock::standin {

namespace json = boost::json;

namespace {

    std::string textOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_string() ? decodeBase64(json::value_to<std::string>(*value)) : "";
    }

    // etcd writes 64-bit numbers as JSON texts and takes both forms.
    std::int64_t numberOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        if (!value)
            return 0;
        if (value->is_string())
            return std::strtoll(value->get_string().c_str(), nullptr, 10);
        return value->is_number() ? value->to_number<std::int64_t>() : 0;
    }

    std::string digits(std::int64_t value) { return fmt::format("{}", value); }

} // namespace

json::object KvStore::header() const { return { { "revision", digits(this->lastRevision) } }; }

json::object KvStore::keyValue(const std::string& key, const Value& value) const
{
    return { { "key", encodeBase64(key) }, { "value", encodeBase64(value.text) },
        { "create_revision", digits(value.createRevision) }, { "mod_revision", digits(value.modRevision) },
        { "version", digits(value.version) }, { "lease", digits(value.lease) } };
}

json::object KvStore::range(const json::object& request) const
{
    std::string begin = textOf(request, "key");
    std::string end = textOf(request, "range_end");
    json::array found;
    for (auto it = this->values.lower_bound(begin); it != this->values.end(); ++it) {
        bool inside = end.empty() ? it->first == begin : it->first < end;
        if (!inside)
            break;
        found.push_back(this->keyValue(it->first, it->second));
    }
    json::object answer { { "header", this->header() }, { "count", digits(static_cast<std::int64_t>(found.size())) } };
    if (!found.empty())
        answer["kvs"] = std::move(found);
    return answer;
}

json::object KvStore::put(const json::object& request)
{
    std::string key = textOf(request, "key");
    std::int64_t lease = numberOf(request, "lease");
    if (lease && !this->leases.count(lease))
        return { { "error", "etcdserver: requested lease not found" }, { "code", 5 } };
    if (!this->inTransaction)
        ++this->lastRevision;
    Value& value = this->values[key];
    value.text = textOf(request, "value");
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
    std::string begin = textOf(request, "key");
    std::string end = textOf(request, "range_end");
    std::int64_t deleted = 0;
    for (auto it = this->values.lower_bound(begin); it != this->values.end();) {
        bool inside = end.empty() ? it->first == begin : it->first < end;
        if (!inside)
            break;
        if (!deleted && !this->inTransaction)
            ++this->lastRevision;
        ++deleted;
        this->history.push_back({ this->lastRevision, true, it->first, "" });
        it = this->values.erase(it);
    }
    return { { "header", this->header() }, { "deleted", digits(deleted) } };
}

bool KvStore::holds(const json::object& comparison) const
{
    auto found = this->values.find(textOf(comparison, "key"));
    Value value = found == this->values.end() ? Value {} : found->second;
    std::string target = json::value_to<std::string>(comparison.at("target"));
    if (target == "MOD")
        return value.modRevision == numberOf(comparison, "mod_revision");
    if (target == "CREATE")
        return value.createRevision == numberOf(comparison, "create_revision");
    if (target == "VERSION") {
        std::int64_t wanted = numberOf(comparison, "version");
        const json::value* result = comparison.if_contains("result");
        bool greater = result && result->is_string() && result->get_string() == "GREATER";
        return greater ? value.version > wanted : value.version == wanted;
    }
    if (target == "VALUE")
        return value.text == textOf(comparison, "value");
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
            succeeded = succeeded && this->holds(comparison.as_object());
    }
    json::array responses;
    const json::value* operations = request.if_contains(succeeded ? "success" : "failure");
    if (operations) {
        for (const json::value& operation : operations->as_array()) {
            bool writes = !operation.as_object().if_contains("request_range");
            if (writes && !this->inTransaction) {
                ++this->lastRevision;
                this->inTransaction = true;
            }
            responses.push_back(this->runOperation(operation.as_object()));
        }
    }
    this->inTransaction = false;
    return { { "header", this->header() }, { "succeeded", succeeded }, { "responses", responses } };
}

json::object KvStore::grantLease(const json::object& request, double now)
{
    std::int64_t id = ++this->lastLease;
    double timeToLive = static_cast<double>(numberOf(request, "TTL"));
    this->leases[id] = { timeToLive, now + timeToLive };
    return { { "header", this->header() }, { "ID", digits(id) }, { "TTL", digits(numberOf(request, "TTL")) } };
}

json::object KvStore::keepLeaseAlive(const json::object& request, double now)
{
    auto lease = this->leases.find(numberOf(request, "ID"));
    json::object result { { "header", this->header() }, { "ID", digits(numberOf(request, "ID")) } };
    if (lease != this->leases.end()) {
        lease->second.end = now + lease->second.timeToLive;
        result["TTL"] = digits(static_cast<std::int64_t>(lease->second.timeToLive));
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
    if (!this->leases.count(numberOf(request, "ID")))
        return { { "error", "etcdserver: requested lease not found" }, { "code", 5 } };
    this->endLease(numberOf(request, "ID"));
    return { { "header", this->header() } };
}

void KvStore::expireLeases(double now)
{
    std::vector<std::int64_t> over;
    for (const auto& [id, lease] : this->leases) {
        if (lease.end <= now)
            over.push_back(id);
    }
    for (std::int64_t id : over)
        this->endLease(id);
}

json::object KvStore::watchAnswer(const std::string& begin, const std::string& end, std::int64_t fromRevision) const
{
    json::array events;
    auto first = std::lower_bound(this->history.begin(), this->history.end(), fromRevision,
        [](const Change& change, std::int64_t wanted) { return change.revision < wanted; });
    for (auto it = first; it != this->history.end(); ++it) {
        bool inside = end.empty() ? it->key == begin : it->key >= begin && it->key < end;
        if (!inside)
            continue;
        json::object keyValue { { "key", encodeBase64(it->key) }, { "mod_revision", digits(it->revision) } };
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
