#pragma once

#include "catkinlock/error.h"
#include "catkinlock/position.h"
#include <compare>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// The oldest log position of one database that a session's reads may see, valid for one workspace. A response carries
/// it as text that is opaque to the caller; the caller sends it back with its next request.
struct SessionToken {
    std::string workspace;
    std::string database;
    Position position;

    auto operator<=>(const SessionToken&) const = default;
};

/// Encodes a token with a message authentication code (MAC) keyed with `secret`, so that callers cannot forge or
/// alter it.
std::string encodeSessionToken(const SessionToken&, const std::string& secret);

/// Decodes a token written by `encodeSessionToken`. Fails if the text is malformed or its MAC does not match `secret`.
tl::expected<SessionToken, Error> decodeSessionToken(const std::string& text, const std::string& secret);

} // namespace catkinlock
