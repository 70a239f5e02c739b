#pragma once

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

/// Writes one JSON line to standard error: time, level, instance, event and the given members. Callers pass no key and
/// no parameter of a statement.
void writeLog(
    LogLevel, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> members = {});

} // namespace catkinlock
