#pragma once

#include <string>

namespace catkinlock {

/// An error for an operator, a caller or the log. The message says what failed and, where possible, how to correct it.
struct Error {
    std::string message;

    bool operator==(const Error&) const = default;
};

} // namespace catkinlock
