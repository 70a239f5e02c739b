#pragma once

#include "catkinlock/error.h"
#include "catkinlock/position.h"
#include <compare>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// What a session has to read at least: a position of one database, for one workspace. Opaque to callers.
struct SessionToken {
    std::string workspace;
    std::string database;
    Position position;

    auto operator<=>(const SessionToken&) const = default;
};

/// Writes a token as text that only a holder of `secret` can make.
std::string sealToken(const SessionToken&, const std::string& secret);

/// Reads a token that `sealToken` wrote. An error says that the text is malformed or was sealed with another secret.
tl::expected<SessionToken, Error> openToken(const std::string& text, const std::string& secret);

} // namespace catkinlock
