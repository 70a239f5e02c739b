// Command key: issue, withdraw, list. A key is printed once, when it is issued; only its digest is stored.

#include "catkinlock/command.h"
#include "catkinlock/digest.h"
#include "catkinlock/operator_client.h"
#include "catkinlock/tables.h"
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    // Random bytes in a key, which is printed in hexadecimal.
    constexpr unsigned keyBytes = 24;

    int issueKey(OperatorClient& client, const CommandOptions& options)
    {
        if (options.workspace.empty()) {
            fmt::print(stderr, "--workspace NAME is missing\n");
            return ExitInvalid;
        }
        std::string key = randomHex(keyBytes);
        std::string digest = sha256Hex(key);
        std::string document = json::serialize(json::object { { "workspace", options.workspace } });
        std::string detail;
        auto result = client.edit("key/" + digest, 0, document, { "workspace/" + options.workspace }, detail);
        if (result == EditResult::Done)
            fmt::print("{}\n",
                options.json ? json::serialize(json::object { { "key", key }, { "digest", digest } })
                             : fmt::format("key    {}\ndigest {}", key, digest));
        // On success, no "done" line is printed, so that scripts find only the key and its digest on standard output.
        return result == EditResult::Done ? static_cast<int>(ExitDone) : reportEdit(result, detail);
    }

    int withdrawKey(OperatorClient& client, const CommandOptions& options)
    {
        std::string entryKey = "key/" + options.arguments[2];
        auto found = client.show(entryKey);
        if (!found || !*found) {
            fmt::print(stderr, "{}\n", found ? entryKey + " does not exist" : "failed: " + found.error().message);
            return ExitFailed;
        }
        auto record = parseKeyRecord(options.arguments[2], (*found)->value);
        json::object document { { "workspace", record ? record->workspace : "" }, { "withdrawn", true } };
        std::string detail;
        auto result = client.edit(entryKey, (*found)->revision, json::serialize(document), {}, detail);
        return reportEdit(result, detail);
    }

    int listKeys(OperatorClient& client, const CommandOptions& options)
    {
        auto range = client.list("key/");
        if (!range) {
            fmt::print(stderr, "failed: {}\n", range.error().message);
            return ExitFailed;
        }
        json::array rows;
        if (!options.json)
            fmt::print("{:<64}  {:<20} {}\n", "DIGEST", "WORKSPACE", "STATE");
        for (const KeyValue& entry : range->values) {
            auto record = parseKeyRecord(entry.key.substr(entry.key.find('/') + 1), entry.value);
            if (!record)
                continue;
            const char* state = record->withdrawn ? "withdrawn" : "valid";
            rows.push_back(
                json::object { { "digest", record->digest }, { "workspace", record->workspace }, { "state", state } });
            if (!options.json)
                fmt::print("{:<64}  {:<20} {}\n", record->digest, record->workspace, state);
        }
        if (options.json)
            fmt::print("{}\n", json::serialize(rows));
        return ExitDone;
    }

} // namespace

int runKey(const CommandOptions& options)
{
    Settings settings;
    if (!loadSettings(options.settingsFile, settings))
        return ExitInvalid;
    OperatorClient client(settings.platformAddress);
    std::string verb = options.arguments.size() > 1 ? options.arguments[1] : "";
    if (verb == "issue" && options.arguments.size() == 2)
        return issueKey(client, options);
    if (verb == "withdraw" && options.arguments.size() == 3)
        return withdrawKey(client, options);
    if (verb == "list")
        return listKeys(client, options);
    fmt::print(stderr, "usage: catkinlock key issue --workspace NAME | withdraw DIGEST | list\n");
    return ExitInvalid;
}

} // namespace catkinlock
