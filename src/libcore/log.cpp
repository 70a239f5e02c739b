#include "catkinlock/log.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace catkinlock {

namespace {

    // Set once, before any thread starts.
    std::string& instanceName()
    {
        static std::string name;
        return name;
    }

    const char* levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            break;
        }
        return "error";
    }

} // namespace

void setLogInstance(const std::string& name) { instanceName() = name; }

void writeLog(
    LogLevel level, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> members)
{
    auto now = std::chrono::system_clock::now();
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    boost::json::object line { { "time",
                                   fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds) },
        { "level", levelName(level) }, { "instance", instanceName() },
        { "event", boost::json::string_view(event.data(), event.size()) } };
    for (const auto& [name, value] : members)
        line[boost::json::string_view(name.data(), name.size())] = value;
    fmt::print(stderr, "{}\n", boost::json::serialize(line));
}

} // namespace catkinlock
