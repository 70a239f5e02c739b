// Commands instance (list, drain), status and report. All but drain fetch a page of one instance.

#include "catkinlock/command.h"
#include "catkinlock/operator_client.h"
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    // Fetches a page as JSON. On failure, prints a message to standard error and returns false.
    bool fetchJson(const CommandOptions& options, const std::string& path, json::value& value)
    {
        if (options.address.empty()) {
            fmt::print(stderr, "--address IP:PORT of an instance is missing\n");
            return false;
        }
        auto page = fetchPage(options.address, path);
        if (!page) {
            fmt::print(stderr, "failed: {}\n", page.error().message);
            return false;
        }
        json::error_code error;
        value = json::parse(*page, error);
        if (error)
            fmt::print(stderr, "failed: the response of {} is not JSON\n", options.address);
        return !error;
    }

    // A value as it is printed in a table: a string without quotation marks, anything else as JSON.
    std::string displayText(const json::value& value)
    {
        return value.is_string() ? json::value_to<std::string>(value) : json::serialize(value);
    }

    int listInstances(const CommandOptions& options)
    {
        json::value status;
        if (!fetchJson(options, "/status", status))
            return ExitFailed;
        const json::array& instances = status.at("instances").as_array();
        if (options.json) {
            fmt::print("{}\n", json::serialize(instances));
            return ExitDone;
        }
        fmt::print("{:<20} {:<22} {:<16} {:<8} {}\n", "NAME", "PEER", "DATA CENTRE", "STATE", "SLOTS");
        for (const json::value& entry : instances)
            fmt::print("{:<20} {:<22} {:<16} {:<8} {}\n", displayText(entry.at("name")), displayText(entry.at("peer")),
                displayText(entry.at("data_centre")), displayText(entry.at("state")),
                entry.at("slots").as_array().size());
        return ExitDone;
    }

    int drainInstance(const CommandOptions& options)
    {
        Settings settings;
        if (!loadSettings(options.settingsFile, settings))
            return ExitInvalid;
        OperatorClient client(settings.platformAddress);
        std::string key = "instance/" + options.arguments[2];
        auto found = client.show(key);
        if (!found) {
            fmt::print(stderr, "failed: {}\n", found.error().message);
            return ExitFailed;
        }
        std::string detail;
        auto result = client.edit(key, *found ? (*found)->revision : 0, R"({"drain": true})", {}, detail);
        return reportEdit(result, detail);
    }

} // namespace

int runInstance(const CommandOptions& options)
{
    std::string verb = options.arguments.size() > 1 ? options.arguments[1] : "";
    if (verb == "list")
        return listInstances(options);
    if (verb == "drain" && options.arguments.size() == 3)
        return drainInstance(options);
    fmt::print(stderr, "usage: catkinlock instance list --address IP:PORT | drain NAME --settings FILE\n");
    return ExitInvalid;
}

int runStatus(const CommandOptions& options)
{
    json::value status;
    if (!fetchJson(options, "/status", status))
        return ExitFailed;
    if (options.json) {
        fmt::print("{}\n", json::serialize(status));
        return ExitDone;
    }
    for (const auto& member : status.as_object()) {
        if (!member.value().is_array())
            fmt::print("{:<24} {}\n", std::string(member.key()), displayText(member.value()));
    }
    for (const json::value& database : status.at("databases").as_array())
        fmt::print("database {:<24} term {} primary {}\n", displayText(database.at("name")),
            displayText(database.at("term")), database.at("primary_reached").as_bool() ? "reached" : "not reached");
    return ExitDone;
}

int runReport(const CommandOptions& options)
{
    if (options.arguments.size() != 2 || options.arguments[1] != "burn") {
        fmt::print(stderr, "usage: catkinlock report burn --address IP:PORT\n");
        return ExitInvalid;
    }
    json::value rows;
    if (!fetchJson(options, "/burn", rows))
        return ExitFailed;
    if (options.json) {
        fmt::print("{}\n", json::serialize(rows));
        return ExitDone;
    }
    fmt::print("{:<32} {:>8} {:>10} {:>8} {:>10}\n", "SUBJECT", "WINDOW", "REQUESTS", "FAILED", "BURN");
    for (const json::value& row : rows.as_array())
        fmt::print("{:<32} {:>7}m {:>10} {:>8} {:>10.2f}\n", displayText(row.at("subject")),
            displayText(row.at("window_minutes")), displayText(row.at("total")), displayText(row.at("failed")),
            row.at("burn").to_number<double>());
    return ExitDone;
}

} // namespace catkinlock
