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

/// Sets the instance name that is written in every line. Must be called before any other thread starts.
void setLogInstance(const std::string& name);

/// Writes one JSON line with time, level, instance, event and the given members to standard output. Never blocks: a
/// line that cannot be written at once is dropped. Callers must not pass access keys or statement parameters, since
/// logs are not confidential.
void writeLog(
    LogLevel, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> members = {});

/// Number of lines dropped because standard output was not writable or took only part of the line.
std::uint64_t logLinesDropped();

} // namespace catkinlock
