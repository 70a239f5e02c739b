#include "catkinlock/tables.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    // Reads the members of one JSON object and retains the first error. `path` prefixes error texts, such as
    // "pool NAME.databases[0]".
    class ObjectReader {
    public:
        ObjectReader(const json::value& value, std::string path)
            : path(std::move(path))
        {
            if (value.is_object())
                this->object = &value.get_object();
            else
                this->fail("", "must be an object");
        }

        // Returns null if the member is absent. Marks the name as known.
        const json::value* find(const char* name)
        {
            if (!this->object)
                return nullptr;
            this->knownMembers.push_back(name);
            return this->object->if_contains(name);
        }

        void text(const char* name, std::string& out, bool required)
        {
            const json::value* value = this->find(name);
            if (!value && !required)
                return;
            if (!value || !value->is_string() || value->get_string().empty())
                return this->fail(name, "must be a non-empty string");
            out = json::value_to<std::string>(*value);
        }

        void flag(const char* name, bool& out)
        {
            const json::value* value = this->find(name);
            if (!value)
                return;
            if (!value->is_bool())
                return this->fail(name, "must be true or false");
            out = value->get_bool();
        }

        void number(const char* name, std::uint32_t& out, std::uint32_t min, std::uint32_t max, bool required)
        {
            const json::value* value = this->find(name);
            if (!value && !required)
                return;
            bool inRange = value && value->is_int64() && value->get_int64() >= min && value->get_int64() <= max;
            if (!inRange)
                return this->fail(name, fmt::format("must be a whole number from {} to {}", min, max));
            out = static_cast<std::uint32_t>(value->get_int64());
        }

        const json::array* list(const char* name, bool required)
        {
            const json::value* value = this->find(name);
            if (!value && !required)
                return nullptr;
            if (!value || !value->is_array()) {
                this->fail(name, "must be an array");
                return nullptr;
            }
            return &value->get_array();
        }

        void fail(const std::string& name, const std::string& message)
        {
            if (!this->error)
                this->error = Error { fmt::format("{}{}{}: {}", this->path, name.empty() ? "" : ".", name, message) };
        }

        // Returns the first error, if any. Also rejects members that have not been read, which are usually misspelt.
        std::optional<Error> finish()
        {
            if (this->object) {
                for (const auto& member : *this->object) {
                    std::string name = member.key();
                    if (std::find(this->knownMembers.begin(), this->knownMembers.end(), name)
                        == this->knownMembers.end())
                        this->fail(name, "is not a known member");
                }
            }
            return this->error;
        }

    private:
        std::string path;
        const json::object* object = nullptr;
        std::vector<std::string> knownMembers;
        std::optional<Error> error;
    };

    tl::expected<json::value, Error> parseDocument(const std::string& path, const std::string& text)
    {
        json::error_code error;
        json::value value = json::parse(text, error);
        if (error)
            return tl::unexpected(Error { fmt::format("{}: invalid JSON: {}", path, error.message()) });
        return value;
    }

    bool isAddress(const std::string& text)
    {
        std::size_t colon = text.rfind(':');
        if (colon == std::string::npos || !colon || colon + 1 == text.size() || text.size() - colon > 6)
            return false;
        return std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(),
            [](unsigned char c) { return std::isdigit(c); });
    }

    // A statement waits for capacity for at most its route's latency objective divided by this.
    constexpr int capacityWaitDivisor = 4;
    // The same for a wait at a gateway, which takes the place of the queue at the member.
    constexpr int placeWaitDivisor = 2;
    // Lower bound of that wait, also used for routes without an objective.
    constexpr std::chrono::milliseconds minCapacityWait { 50 };
    constexpr std::uint32_t maxConnectionsPerMember = 10000;
    // Requests per second for a rate, requests for a burst.
    constexpr std::uint32_t maxRate = 10000000;
    constexpr std::uint32_t maxRouteAgeMs = 86400000;
    constexpr std::uint32_t maxWeight = 1000;

    tl::expected<Member, Error> readMember(const std::string& path, const json::value& value)
    {
        Member member;
        ObjectReader reader(value, path);
        reader.text("name", member.name, true);
        reader.text("address", member.address, true);
        reader.text("data_centre", member.dataCentre, false);
        reader.flag("leaving", member.leaving);
        if (!member.address.empty() && !isAddress(member.address))
            reader.fail("address", "must be IP:PORT");
        if (auto error = reader.finish())
            return tl::unexpected(*error);
        return member;
    }

    tl::expected<Database, Error> readDatabase(const std::string& path, const json::value& value)
    {
        Database database;
        ObjectReader reader(value, path);
        reader.text("name", database.name, true);
        reader.number("connections", database.connections, 1, maxConnectionsPerMember, true);
        const json::array* members = reader.list("members", true);
        if (members && members->empty())
            reader.fail("members", "must contain at least one member");
        if (auto error = reader.finish())
            return tl::unexpected(*error);
        for (std::size_t i = 0; i < members->size(); ++i) {
            auto member = readMember(fmt::format("{}.members[{}]", path, i), members->at(i));
            if (!member)
                return tl::unexpected(member.error());
            for (const Member& other : database.members) {
                if (other.name == member->name || other.address == member->address)
                    return tl::unexpected(Error { fmt::format("{}.members[{}]: duplicate name or address", path, i) });
            }
            database.members.push_back(*member);
        }
        return database;
    }

    // Stores or erases one record. A document that does not parse leaves the previous record in place.
    template <typename Record, typename Parser>
    std::optional<Error> applyToTable(
        std::map<std::string, Record>& records, const TableEntry& entry, const std::string& name, Parser parser)
    {
        if (entry.deleted) {
            records.erase(name);
            return std::nullopt;
        }
        auto record = parser(name, entry.value);
        if (!record)
            return record.error();
        records[name] = std::move(*record);
        return std::nullopt;
    }

    // Applies an entry to the table that its key names.
    std::optional<Error> applyEntry(Tables& tables, const TableEntry& entry)
    {
        std::size_t slash = entry.key.find('/');
        std::string kind = entry.key.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : entry.key.substr(slash + 1);
        if (name.empty())
            return Error { fmt::format("{}: key must be KIND/NAME", entry.key) };
        if (kind == "route")
            return applyToTable(tables.routes, entry, name, parseRoute);
        if (kind == "pool")
            return applyToTable(tables.pools, entry, name, parsePool);
        if (kind == "workspace")
            return applyToTable(tables.workspaces, entry, name, parseWorkspace);
        if (kind == "key")
            return applyToTable(tables.keys, entry, name, parseKeyRecord);
        if (kind == "instance")
            return applyToTable(tables.instances, entry, name, parseInstanceConfig);
        return Error { fmt::format("{}: {} is not a known kind of table", entry.key, kind) };
    }

} // namespace

std::chrono::milliseconds capacityWait(const Route& route)
{
    return std::max(std::chrono::milliseconds(route.latencyObjectiveMs) / capacityWaitDivisor, minCapacityWait);
}

std::chrono::milliseconds placeWait(const Route& route)
{
    return std::max(std::chrono::milliseconds(route.latencyObjectiveMs) / placeWaitDivisor, minCapacityWait);
}

tl::expected<Pool, Error> parsePool(const std::string& name, const std::string& text)
{
    std::string path = "pool " + name;
    auto document = parseDocument(path, text);
    if (!document)
        return tl::unexpected(document.error());
    Pool pool;
    pool.name = name;
    ObjectReader reader(*document, path);
    const json::array* databases = reader.list("databases", true);
    if (databases && databases->empty())
        reader.fail("databases", "must contain at least one database");
    if (auto error = reader.finish())
        return tl::unexpected(*error);
    for (std::size_t i = 0; i < databases->size(); ++i) {
        auto database = readDatabase(fmt::format("{}.databases[{}]", path, i), databases->at(i));
        if (!database)
            return tl::unexpected(database.error());
        pool.databases.push_back(std::move(*database));
    }
    return pool;
}

tl::expected<Route, Error> parseRoute(const std::string& name, const std::string& text)
{
    std::string path = "route " + name;
    auto document = parseDocument(path, text);
    if (!document)
        return tl::unexpected(document.error());
    Route route;
    route.name = name;
    ObjectReader reader(*document, path);
    reader.text("pool", route.pool, true);
    reader.flag("open", route.open);
    reader.flag("read_only", route.readOnly);
    reader.number("max_age_ms", route.maxAgeMs, 0, maxRouteAgeMs, false);
    reader.flag("repeatable", route.repeatable);
    const json::array* workspaces = reader.list("workspaces", false);
    if (workspaces) {
        for (const json::value& value : *workspaces) {
            if (value.is_string())
                route.workspaces.push_back(json::value_to<std::string>(value));
            else
                reader.fail("workspaces", "must contain only strings");
        }
    }
    if (route.maxAgeMs && !route.readOnly)
        reader.fail("max_age_ms", "requires read_only, since it limits the age of reads");
    if (auto error = reader.finish())
        return tl::unexpected(*error);
    return route;
}

tl::expected<Workspace, Error> parseWorkspace(const std::string& name, const std::string& text)
{
    std::string path = "workspace " + name;
    auto document = parseDocument(path, text);
    if (!document)
        return tl::unexpected(document.error());
    Workspace workspace;
    workspace.name = name;
    ObjectReader reader(*document, path);
    reader.number("rate", workspace.rate, 1, maxRate, true);
    reader.number("burst", workspace.burst, 1, maxRate, true);
    reader.number("weight", workspace.weight, 1, maxWeight, false);
    if (auto error = reader.finish())
        return tl::unexpected(*error);
    return workspace;
}

tl::expected<KeyRecord, Error> parseKeyRecord(const std::string& digest, const std::string& text)
{
    std::string path = "key " + digest;
    auto document = parseDocument(path, text);
    if (!document)
        return tl::unexpected(document.error());
    KeyRecord record;
    record.digest = digest;
    ObjectReader reader(*document, path);
    reader.text("workspace", record.workspace, true);
    reader.flag("withdrawn", record.withdrawn);
    if (auto error = reader.finish())
        return tl::unexpected(*error);
    return record;
}

tl::expected<InstanceConfig, Error> parseInstanceConfig(const std::string& name, const std::string& text)
{
    std::string path = "instance " + name;
    auto document = parseDocument(path, text);
    if (!document)
        return tl::unexpected(document.error());
    InstanceConfig config;
    config.name = name;
    ObjectReader reader(*document, path);
    reader.flag("drain", config.drain);
    if (auto error = reader.finish())
        return tl::unexpected(*error);
    return config;
}

Tables applyEntries(
    const Tables& before, std::int64_t revision, const std::vector<TableEntry>& entries, std::vector<Error>& rejected)
{
    Tables after = before;
    after.revision = std::max(before.revision, revision);
    for (const TableEntry& entry : entries) {
        TableEntry& current = after.entries[entry.key];
        if (entry.revision <= current.revision)
            continue;
        current = entry;
        if (auto error = applyEntry(after, entry))
            rejected.push_back(*error);
    }
    return after;
}

tl::expected<void, Error> validateEntry(const TableEntry& entry)
{
    Tables scratch;
    if (auto error = applyEntry(scratch, entry))
        return tl::unexpected(*error);
    return {};
}

const Database* databaseForShard(const Pool& pool, const std::string& shard)
{
    if (pool.databases.empty())
        return nullptr;
    return &pool.databases[stableHash(shard) % pool.databases.size()];
}

} // namespace catkinlock
