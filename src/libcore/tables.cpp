#include "catkinlock/tables.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    // Reads the members of one JSON object and keeps the first fault.
    class ObjectReader {
    public:
        ObjectReader(const json::value& value, std::string what)
            : what(std::move(what))
        {
            if (value.is_object())
                this->object = &value.get_object();
            else
                this->fail("", "must be an object");
        }

        const json::value* take(const char* name)
        {
            if (!this->object)
                return nullptr;
            this->known.push_back(name);
            return this->object->if_contains(name);
        }

        void text(const char* name, std::string& out, bool required)
        {
            const json::value* value = this->take(name);
            if (!value && !required)
                return;
            if (!value || !value->is_string() || value->get_string().empty())
                return this->fail(name, "must be a text that is not empty");
            out = json::value_to<std::string>(*value);
        }

        void flag(const char* name, bool& out)
        {
            const json::value* value = this->take(name);
            if (!value)
                return;
            if (!value->is_bool())
                return this->fail(name, "must be true or false");
            out = value->get_bool();
        }

        void number(const char* name, std::uint32_t& out, std::uint32_t least, std::uint32_t most, bool required)
        {
            const json::value* value = this->take(name);
            if (!value && !required)
                return;
            bool inRange = value && value->is_int64() && value->get_int64() >= least && value->get_int64() <= most;
            if (!inRange)
                return this->fail(name, fmt::format("must be a whole number from {} to {}", least, most));
            out = static_cast<std::uint32_t>(value->get_int64());
        }

        const json::array* list(const char* name, bool required)
        {
            const json::value* value = this->take(name);
            if (!value && !required)
                return nullptr;
            if (!value || !value->is_array()) {
                this->fail(name, "must be a list");
                return nullptr;
            }
            return &value->get_array();
        }

        void fail(const std::string& name, const std::string& message)
        {
            if (!this->fault)
                this->fault = Error { fmt::format("{}{}{}: {}", this->what, name.empty() ? "" : ".", name, message) };
        }

        // Also refuses unknown members, which are mostly misspelt ones.
        std::optional<Error> finish()
        {
            if (this->object) {
                for (const auto& member : *this->object) {
                    std::string name = member.key();
                    if (std::find(this->known.begin(), this->known.end(), name) == this->known.end())
                        this->fail(name, "is not known");
                }
            }
            return this->fault;
        }

    private:
        std::string what;
        const json::object* object = nullptr;
        std::vector<std::string> known;
        std::optional<Error> fault;
    };

    tl::expected<json::value, Error> parseDocument(const std::string& what, const std::string& text)
    {
        json::error_code error;
        json::value value = json::parse(text, error);
        if (error)
            return tl::unexpected(Error { fmt::format("{}: not JSON: {}", what, error.message()) });
        return value;
    }

    bool isAddress(const std::string& text)
    {
        std::size_t colon = text.rfind(':');
        if (colon == std::string::npos || !colon || colon + 1 == text.size() || text.size() - colon > 6)
            return false;
        return std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(),
            [](unsigned char letter) { return std::isdigit(letter); });
    }

    constexpr std::uint32_t mostConnections = 10000;
    constexpr std::uint32_t mostRate = 10000000;
    constexpr std::uint32_t mostAgeMs = 86400000;
    constexpr std::uint32_t mostWeight = 1000;

    tl::expected<Member, Error> readMember(const std::string& what, const json::value& value)
    {
        Member member;
        ObjectReader reader(value, what);
        reader.text("name", member.name, true);
        reader.text("address", member.address, true);
        reader.text("data_centre", member.dataCentre, false);
        reader.flag("leaving", member.leaving);
        if (!member.address.empty() && !isAddress(member.address))
            reader.fail("address", "must be IP:PORT");
        if (auto fault = reader.finish())
            return tl::unexpected(*fault);
        return member;
    }

    tl::expected<Database, Error> readDatabase(const std::string& what, const json::value& value)
    {
        Database database;
        ObjectReader reader(value, what);
        reader.text("name", database.name, true);
        reader.number("connections", database.connections, 1, mostConnections, true);
        const json::array* members = reader.list("members", true);
        if (members && members->empty())
            reader.fail("members", "must name at least one member");
        if (auto fault = reader.finish())
            return tl::unexpected(*fault);
        for (std::size_t i = 0; i < members->size(); ++i) {
            auto member = readMember(fmt::format("{}.members[{}]", what, i), members->at(i));
            if (!member)
                return tl::unexpected(member.error());
            for (const Member& other : database.members) {
                if (other.name == member->name || other.address == member->address)
                    return tl::unexpected(Error { fmt::format("{}.members[{}]: stands twice", what, i) });
            }
            database.members.push_back(*member);
        }
        return database;
    }

    template <typename Record, typename Parser>
    std::optional<Error> place(
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

    std::optional<Error> placeEntry(Tables& tables, const TableEntry& entry)
    {
        std::size_t slash = entry.key.find('/');
        std::string kind = entry.key.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : entry.key.substr(slash + 1);
        if (name.empty())
            return Error { fmt::format("{}: must be KIND/NAME", entry.key) };
        if (kind == "route")
            return place(tables.routes, entry, name, parseRoute);
        if (kind == "pool")
            return place(tables.pools, entry, name, parsePool);
        if (kind == "workspace")
            return place(tables.workspaces, entry, name, parseWorkspace);
        if (kind == "key")
            return place(tables.keys, entry, name, parseKeyRecord);
        if (kind == "instance")
            return place(tables.instances, entry, name, parseInstanceOrder);
        return Error { fmt::format("{}: {} is not a known kind of table", entry.key, kind) };
    }

} // namespace

tl::expected<Pool, Error> parsePool(const std::string& name, const std::string& text)
{
    std::string what = "pool " + name;
    auto document = parseDocument(what, text);
    if (!document)
        return tl::unexpected(document.error());
    Pool pool;
    pool.name = name;
    ObjectReader reader(*document, what);
    const json::array* databases = reader.list("databases", true);
    if (databases && databases->empty())
        reader.fail("databases", "must name at least one database");
    if (auto fault = reader.finish())
        return tl::unexpected(*fault);
    for (std::size_t i = 0; i < databases->size(); ++i) {
        auto database = readDatabase(fmt::format("{}.databases[{}]", what, i), databases->at(i));
        if (!database)
            return tl::unexpected(database.error());
        pool.databases.push_back(std::move(*database));
    }
    return pool;
}

tl::expected<Route, Error> parseRoute(const std::string& name, const std::string& text)
{
    std::string what = "route " + name;
    auto document = parseDocument(what, text);
    if (!document)
        return tl::unexpected(document.error());
    Route route;
    route.name = name;
    ObjectReader reader(*document, what);
    reader.text("pool", route.pool, true);
    reader.flag("open", route.open);
    reader.flag("read_only", route.readOnly);
    reader.number("max_age_ms", route.maxAgeMs, 0, mostAgeMs, false);
    reader.flag("repeatable", route.repeatable);
    const json::array* workspaces = reader.list("workspaces", false);
    if (workspaces) {
        for (const json::value& value : *workspaces) {
            if (value.is_string())
                route.workspaces.push_back(json::value_to<std::string>(value));
            else
                reader.fail("workspaces", "must hold names");
        }
    }
    if (route.maxAgeMs && !route.readOnly)
        reader.fail("max_age_ms", "needs read_only, since only reads accept an age");
    if (auto fault = reader.finish())
        return tl::unexpected(*fault);
    return route;
}

tl::expected<Workspace, Error> parseWorkspace(const std::string& name, const std::string& text)
{
    std::string what = "workspace " + name;
    auto document = parseDocument(what, text);
    if (!document)
        return tl::unexpected(document.error());
    Workspace workspace;
    workspace.name = name;
    ObjectReader reader(*document, what);
    reader.number("rate", workspace.rate, 1, mostRate, true);
    reader.number("burst", workspace.burst, 1, mostRate, true);
    reader.number("weight", workspace.weight, 1, mostWeight, false);
    if (auto fault = reader.finish())
        return tl::unexpected(*fault);
    return workspace;
}

tl::expected<KeyRecord, Error> parseKeyRecord(const std::string& digest, const std::string& text)
{
    std::string what = "key " + digest;
    auto document = parseDocument(what, text);
    if (!document)
        return tl::unexpected(document.error());
    KeyRecord record;
    record.digest = digest;
    ObjectReader reader(*document, what);
    reader.text("workspace", record.workspace, true);
    reader.flag("withdrawn", record.withdrawn);
    if (auto fault = reader.finish())
        return tl::unexpected(*fault);
    return record;
}

tl::expected<InstanceOrder, Error> parseInstanceOrder(const std::string& name, const std::string& text)
{
    std::string what = "instance " + name;
    auto document = parseDocument(what, text);
    if (!document)
        return tl::unexpected(document.error());
    InstanceOrder order;
    order.name = name;
    ObjectReader reader(*document, what);
    reader.flag("drain", order.drain);
    if (auto fault = reader.finish())
        return tl::unexpected(*fault);
    return order;
}

Tables advanceTables(
    const Tables& before, std::int64_t revision, const std::vector<TableEntry>& entries, std::vector<Error>& rejected)
{
    Tables after = before;
    after.revision = std::max(before.revision, revision);
    for (const TableEntry& entry : entries) {
        TableEntry& held = after.entries[entry.key];
        if (entry.revision <= held.revision)
            continue;
        held = entry;
        if (auto fault = placeEntry(after, entry))
            rejected.push_back(*fault);
    }
    return after;
}

tl::expected<void, Error> checkEntry(const TableEntry& entry)
{
    Tables scratch;
    if (auto fault = placeEntry(scratch, entry))
        return tl::unexpected(*fault);
    return {};
}

const Database* databaseForShard(const Pool& pool, const std::string& shard)
{
    if (pool.databases.empty())
        return nullptr;
    return &pool.databases[stableHash(shard) % pool.databases.size()];
}

} // namespace catkinlock
