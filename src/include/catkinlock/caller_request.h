#pragma once

#include "catkinlock/error.h"
#include "catkinlock/statement.h"
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// A request as a caller sent it, checked in form only.
struct CallerRequest {
    /// The key; goes no further than authentication.
    std::string key;
    std::string route;
    /// Picks a database of the pool; the workspace's name if empty.
    std::string shard;
    std::string sessionToken;
    std::string idempotencyKey;
    /// Time until the caller's deadline in milliseconds; none if the caller stated none.
    std::optional<std::uint32_t> timeoutMs;
    bool settle = false;
    std::vector<Statement> statements;

    auto operator<=>(const CallerRequest&) const = default;
};

/// Reads the JSON body of a request into `request`: {"statements": [{"sql": ..., "parameters": [...]}], "shard": ...}.
/// An error names the faulty member.
tl::expected<void, Error> parseCallerBody(const std::string& body, CallerRequest& request);

} // namespace catkinlock
