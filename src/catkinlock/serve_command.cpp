// Commands serve and check.

#include "catkinlock/allocation.h"
#include "catkinlock/command.h"
#include "catkinlock/log.h"
#include "catkinlock/operator_client.h"
#include "catkinlock/process_signals.h"
#include "catkinlock/tables.h"
#include "libserver/instance.h"
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    // Checks a file of table entries: {"route/NAME": {...}, "pool/NAME": {...}, ...}. Prints every error to standard
    // error and returns their number.
    int checkTables(const std::string& path)
    {
        std::string text;
        if (!readFile(path, text))
            return 1;
        json::error_code error;
        json::value value = json::parse(text, error);
        if (error || !value.is_object()) {
            fmt::print(stderr, "{}: {}\n", path, error ? error.message() : "must be a JSON object of table entries");
            return 1;
        }
        int errorCount = 0;
        std::vector<TableEntry> entries;
        for (const auto& member : value.get_object())
            entries.push_back({ member.key(), json::serialize(member.value()), 1, false });
        std::vector<Error> rejected;
        Tables tables = applyEntries({}, 1, entries, rejected);
        for (const auto& [name, route] : tables.routes) {
            if (!tables.pools.count(route.pool))
                rejected.push_back({ fmt::format("route {}.pool: there is no pool {}", name, route.pool) });
        }
        for (const Error& rejection : rejected) {
            fmt::print(stderr, "{}: {}\n", path, rejection.message);
            ++errorCount;
        }
        return errorCount;
    }

} // namespace

int runServe(const CommandOptions& options)
{
    ProcessSignals::block();
    returnLargeBuffers();
    Settings settings;
    if (!loadSettings(options.settingsFile, settings))
        return ExitInvalid;
    setLogInstance(settings.name);
    return Instance(settings, {}).run();
}

int runCheck(const CommandOptions& options)
{
    Settings settings;
    bool settingsValid = loadSettings(options.settingsFile, settings);
    int errorCount = options.file.empty() ? 0 : checkTables(options.file);
    if (!settingsValid || errorCount)
        return ExitInvalid;
    fmt::print("no faults\n");
    return ExitDone;
}

} // namespace catkinlock
