#pragma once

#include "catkinlock/error.h"
#include "catkinlock/position.h"
#include <compare>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// Lower bound for the reads of a session: a log position of one database, valid for one workspace. A caller sends it
/// with its next request; the text is opaque to the caller.
struct SessionToken {
    std::string workspace;
    std::string database;
    Position position;

    auto operator<=>(const SessionToken&) const = default;
};

/// Encodes a token with a MAC under `secret`, so that callers cannot forge or alter it.
std::string encodeSessionToken(const SessionToken&, const std::string& secret);

/// Decodes a token written by `encodeSessionToken`. Fails if the text is malformed or its MAC does not match `secret`.
tl::expected<SessionToken, Error> decodeSessionToken(const std::string& text, const std::string& secret);

} // namespace catkinlock
