#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace catkinlock {

enum class LogLevel {
    Info,
    Warning,
    Error,
};

/// Sets the instance that every line names.
void setLogInstance(const std::string& name);

/// Writes one JSON line to standard output, and never blocks on it: time, level, instance, event and the given members.
/// Callers pass no key and no parameter of a statement.
void writeLog(
    LogLevel, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> members = {});

/// Lines that were dropped because standard output did not take them.
std::uint64_t logLinesDropped();

} // namespace catkinlock
