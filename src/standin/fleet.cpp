#include "standin/fleet.h"

#include "catkinlock/digest.h"
#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <libpq-fe.h>
#include <sstream>
#include <thread>

namespace catkinlock::standin {

namespace json = boost::json;

namespace {

    // Returns a string field of a line of JSON; empty if the line is malformed or the field is missing.
    std::string jsonField(const std::string& line, const char* name)
    {
        json::error_code error;
        json::value value = json::parse(line, error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* found = object ? object->if_contains(name) : nullptr;
        return found && found->is_string() ? json::value_to<std::string>(*found) : "";
    }

    using Connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;

    Connection connectTo(const std::string& address)
    {
        std::size_t colon = address.rfind(':');
        std::string connectionString
            = fmt::format("hostaddr={} port={} user=test dbname=test sslmode=disable gssencmode=disable "
                          "connect_timeout=2",
                address.substr(0, colon), address.substr(colon + 1));
        return Connection(PQconnectdb(connectionString.c_str()), &PQfinish);
    }

} // namespace

std::string Fleet::binaryFolder() { return std::filesystem::read_symlink("/proc/self/exe").parent_path(); }

Fleet::Fleet(Options options)
    : options(std::move(options))
{
    std::string pattern = std::filesystem::temp_directory_path() / "catkinlock-test-XXXXXX";
    this->folder = mkdtemp(pattern.data());
}

Fleet::~Fleet()
{
    this->instances.clear();
    std::filesystem::remove_all(this->folder);
}

bool Fleet::waitFor(const std::function<bool()>& condition, double seconds)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

bool Fleet::start()
{
    this->platformProcess = std::make_unique<Process>(std::vector { binaryFolder() + "/standin_platform" });
    this->platformListenAddress = jsonField(this->platformProcess->awaitJsonLine("address"), "address");
    this->members.resize(this->options.databases);
    for (auto& group : this->members) {
        for (std::size_t i = 0; i < this->options.members; ++i) {
            auto process = std::make_unique<Process>(std::vector { binaryFolder() + "/standin_target" });
            std::string address = jsonField(process->awaitJsonLine("address"), "address");
            group.push_back({ std::move(process), address });
        }
    }
    this->putTables();
    static constexpr std::array<const char*, 3> dataCentres { "hakata", "tenjin", "nakasu" };
    for (std::size_t i = 0; i < this->options.instances; ++i)
        this->startInstance(fmt::format("entry-{}", i), dataCentres[i % dataCentres.size()]);
    return waitFor([this] {
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            if (!this->servesWrites(i))
                return false;
        }
        return true;
    });
}

bool Fleet::servesWrites(std::size_t index) const
{
    Caller caller = this->caller(index);
    for (std::size_t database = 0; database < this->options.databases; ++database) {
        // One shard for each database. The hash of a shard chooses its database, so two shards may share one.
        CallOptions options { this->key };
        options.timeoutMs = 1000;
        options.shard = fmt::format("warm-{}", database);
        if (!caller.run("orders", "INSERT INTO warmup (id, body) VALUES ($1, $2)", { "x", "y" }, options).isDone())
            return false;
    }
    return true;
}

std::string Fleet::settingsFile(const std::string& name, const std::string& dataCentre) const
{
    std::string path = this->folder + "/" + name + ".toml";
    std::ofstream file(path);
    file << fmt::format("[instance]\nname = \"{}\"\ndata_centre = \"{}\"\nhttp = \"127.0.0.1:0\"\n"
                        "peer = \"127.0.0.1:0\"\n[platform]\naddress = \"{}\"\n"
                        "[fleet]\nsecret = \"a secret of the tests\"\nslots = {}\nslot_lease_seconds = {}\n{}\n",
        name, dataCentre, this->platformListenAddress, this->options.slots, this->options.slotLeaseSeconds,
        this->options.extraSettings);
    return path;
}

std::size_t Fleet::startInstance(const std::string& name, const std::string& dataCentre)
{
    std::string settings = this->settingsFile(name, dataCentre);
    auto process = std::make_unique<Process>(
        std::vector<std::string> { binaryFolder() + "/catkinlock", "serve", "--settings", settings });
    std::string line = process->awaitJsonLine("http");
    std::string http = jsonField(line, "http");
    std::string peer = jsonField(line, "peer");
    json::object entry { { "peer", peer }, { "http", http }, { "state", "live" } };
    this->putKey("/platform/instances/" + name, json::serialize(entry));
    this->instances.push_back({ name, std::move(process), http, peer });
    return this->instances.size() - 1;
}

std::string Fleet::page(std::size_t index, const std::string& path) const { return this->caller(index).get(path).body; }

double Fleet::metric(std::size_t index, const std::string& name) const
{
    std::istringstream lines(this->page(index, "/metrics"));
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        std::size_t end = line.find_first_of("{ ");
        if (line.substr(0, end) == "catkinlock_" + name)
            sum += std::strtod(line.substr(line.rfind(' ') + 1).c_str(), nullptr);
    }
    return sum;
}

void Fleet::putKey(const std::string& keyName, const std::string& value) const
{
    json::object put { { "key", encodeBase64(keyName) }, { "value", encodeBase64(value) } };
    Caller(this->platformListenAddress).post("/v3/kv/put", json::serialize(put), {});
}

void Fleet::putTable(const std::string& name, const std::string& text) const
{
    this->putKey("/catkinlock/table/" + name, text);
    this->putKey("/catkinlock/tables-edited", "");
}

void Fleet::deleteTable(const std::string& name) const
{
    json::object request { { "key", encodeBase64("/catkinlock/table/" + name) } };
    Caller(this->platformListenAddress).post("/v3/kv/deleterange", json::serialize(request), {});
    this->putKey("/catkinlock/tables-edited", "");
}

void Fleet::putTables() const
{
    json::array databases;
    static constexpr std::array<const char*, 3> dataCentres { "hakata", "tenjin", "nakasu" };
    for (std::size_t database = 0; database < this->members.size(); ++database) {
        json::array memberList;
        for (std::size_t i = 0; i < this->members[database].size(); ++i)
            memberList.push_back(json::object { { "name", fmt::format("member-{}", i) },
                { "address", this->members[database][i].address }, { "data_centre", dataCentres[i % 3] } });
        databases.push_back(json::object { { "name", fmt::format("ledger-{}", database) },
            { "connections", this->options.connections }, { "members", memberList } });
    }
    this->putTable("pool/tour-ledger", json::serialize(json::object { { "databases", databases } }));
    this->putTable("route/orders", R"({"pool": "tour-ledger"})");
    this->putTable("route/rosters", R"({"pool": "tour-ledger", "read_only": true})");
    this->putTable("route/catalogue", R"({"pool": "tour-ledger", "read_only": true, "max_age_ms": 1000})");
    this->putTable("route/notices", R"({"pool": "tour-ledger", "read_only": true, "open": true})");
    json::object workspace { { "rate", this->options.rate }, { "burst", this->options.burst } };
    this->putTable("workspace/tours", json::serialize(workspace));
    this->putTable("key/" + sha256Hex(this->key), R"({"workspace": "tours"})");
}

void Fleet::setPlatformFault(const std::string& fault, std::int64_t value) const
{
    json::object request { { "name", fault }, { "value", value } };
    Caller(this->platformListenAddress).post("/standin/set", json::serialize(request), {});
}

std::vector<std::string> Fleet::query(
    std::size_t database, std::size_t index, const std::string& sql, const std::vector<std::string>& parameters) const
{
    Connection connection = connectTo(this->members[database][index].address);
    std::vector<const char*> values;
    values.reserve(parameters.size());
    for (const std::string& parameter : parameters)
        values.push_back(parameter.c_str());
    std::unique_ptr<PGresult, decltype(&PQclear)> result(
        PQexecParams(connection.get(), sql.c_str(), static_cast<int>(values.size()), nullptr, values.data(), nullptr,
            nullptr, 0),
        &PQclear);
    std::vector<std::string> rows;
    rows.reserve(static_cast<std::size_t>(PQntuples(result.get())));
    for (int row = 0; row < PQntuples(result.get()); ++row)
        rows.emplace_back(PQgetvalue(result.get(), row, 0));
    // The status function returns a single row, of which the callers need all columns.
    if (sql.find("catkinlock.status") != std::string::npos && PQntuples(result.get()) == 1) {
        rows.clear();
        for (int column = 0; column < PQnfields(result.get()); ++column)
            rows.emplace_back(PQgetvalue(result.get(), 0, column));
    }
    return rows;
}

void Fleet::setMemberFault(std::size_t database, std::size_t index, const std::string& fault, unsigned value) const
{
    this->query(database, index, "SELECT * FROM standin.set($1, $2)", { fault, fmt::format("{}", value) });
}

std::size_t Fleet::primary(std::size_t database) const
{
    std::size_t newest = 0;
    std::uint64_t newestTerm = 0;
    for (std::size_t i = 0; i < this->members[database].size(); ++i) {
        if (!this->members[database][i].process->isRunning())
            continue;
        auto status = this->query(database, i, "SELECT * FROM catkinlock.status()");
        bool isPrimary = status.size() >= 4 && status[1] == "t";
        std::uint64_t term = isPrimary ? std::strtoull(status[3].c_str(), nullptr, 10) : 0;
        if (term > newestTerm) {
            newest = i;
            newestTerm = term;
        }
    }
    return newest;
}

} // namespace catkinlock::standin
