// Commands route, pool and workspace: list, show, put, delete.

#include "catkinlock/command.h"
#include "catkinlock/operator_client.h"
#include "catkinlock/tables.h"
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    int reportFailure(const PlatformError& error)
    {
        fmt::print(stderr, "failed: {}\n", error.message);
        return ExitFailed;
    }

    // A document that is not JSON is included as a string.
    json::object entryJson(const KeyValue& entry)
    {
        json::error_code error;
        json::value document = json::parse(entry.value, error);
        return { { "name", entry.key.substr(entry.key.find('/') + 1) }, { "revision", entry.revision },
            { "document", error ? json::value(entry.value) : document } };
    }

    int listEntries(OperatorClient& client, const CommandOptions& options)
    {
        auto range = client.list(options.arguments[0] + "/");
        if (!range)
            return reportFailure(range.error());
        json::array rows;
        for (const KeyValue& entry : range->values)
            rows.push_back(entryJson(entry));
        if (options.json) {
            fmt::print("{}\n", json::serialize(rows));
            return ExitDone;
        }
        fmt::print("{:<24} {:>10}  {}\n", "NAME", "REVISION", "DOCUMENT");
        for (const KeyValue& entry : range->values)
            fmt::print("{:<24} {:>10}  {}\n", entry.key.substr(entry.key.find('/') + 1), entry.revision, entry.value);
        return ExitDone;
    }

    int showEntry(OperatorClient& client, const CommandOptions& options, const std::string& key)
    {
        auto found = client.show(key);
        if (!found)
            return reportFailure(found.error());
        if (!*found) {
            fmt::print(stderr, "{} does not exist\n", key);
            return ExitFailed;
        }
        if (options.json)
            fmt::print("{}\n", json::serialize(entryJson({ key, (*found)->value, (*found)->revision, false })));
        else
            fmt::print("revision {}\n{}\n", (*found)->revision, (*found)->value);
        return ExitDone;
    }

    int putEntry(OperatorClient& client, const CommandOptions& options, const std::string& key)
    {
        std::string text;
        if (!readFile(options.file, text))
            return ExitInvalid;
        auto valid = validateEntry({ key, text, 1, false });
        if (!valid) {
            fmt::print(stderr, "{}: {}\n", options.file, valid.error().message);
            return ExitInvalid;
        }
        std::vector<std::string> required;
        if (options.arguments[0] == "route")
            required.push_back("pool/" + parseRoute("", text)->pool);
        std::string detail;
        auto result = client.edit(key, options.revision, text, required, detail);
        return reportEdit(result, detail);
    }

    int deleteEntry(OperatorClient& client, const CommandOptions& options, const std::string& key)
    {
        if (options.arguments[0] == "pool") {
            auto routes = client.list("route/");
            if (!routes)
                return reportFailure(routes.error());
            for (const KeyValue& entry : routes->values) {
                auto route = parseRoute("", entry.value);
                if (route && "pool/" + route->pool == key) {
                    fmt::print(stderr, "{} still refers to this pool; change or delete it first\n", entry.key);
                    return ExitInvalid;
                }
            }
        }
        std::string detail;
        auto result = client.edit(key, options.revision, std::nullopt, {}, detail);
        return reportEdit(result, detail);
    }

} // namespace

int runTable(const CommandOptions& options)
{
    Settings settings;
    if (!loadSettings(options.settingsFile, settings))
        return ExitInvalid;
    OperatorClient client(settings.platformAddress);
    std::string verb = options.arguments.size() > 1 ? options.arguments[1] : "";
    if (verb == "list")
        return listEntries(client, options);
    if (options.arguments.size() != 3) {
        fmt::print(stderr, "usage: catkinlock {} list | show NAME | put NAME | delete NAME\n", options.arguments[0]);
        return ExitInvalid;
    }
    std::string key = options.arguments[0] + "/" + options.arguments[2];
    if (verb == "show")
        return showEntry(client, options, key);
    if (options.revision < 0) {
        fmt::print(stderr, "--revision is missing: give the revision that `show` prints, or 0 for a new entry\n");
        return ExitInvalid;
    }
    if (verb == "put")
        return putEntry(client, options, key);
    if (verb == "delete")
        return deleteEntry(client, options, key);
    fmt::print(stderr, "{} is not one of list, show, put and delete\n", verb);
    return ExitInvalid;
}

} // namespace catkinlock
