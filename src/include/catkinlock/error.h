#pragma once

#include <string>

namespace catkinlock {

/// An error that is reported to a person or a log: what went wrong, and what can be done about it.
struct Error {
    std::string message;

    bool operator==(const Error&) const = default;
};

} // namespace catkinlock
