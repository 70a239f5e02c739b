#include "catkinlock/log.h"

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace catkinlock {

namespace {

    // Not synchronized: set once, before any other thread starts.
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

    std::atomic<std::uint64_t>& droppedLines()
    {
        static std::atomic<std::uint64_t> dropped { 0 };
        return dropped;
    }

    // If the reader of standard output is slow or has exited, the line is dropped and counted rather than blocking the
    // calling thread.
    void writeWithoutBlocking(const std::string& text)
    {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        bool writable = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
        bool written = writable && write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
        if (!written)
            ++droppedLines();
    }

} // namespace

std::uint64_t logLinesDropped() { return droppedLines().load(); }

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
    std::string text = boost::json::serialize(line) + "\n";
    writeWithoutBlocking(text);
}

} // namespace catkinlock
