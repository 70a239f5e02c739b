#pragma once

#include "catkinlock/error.h"
#include "catkinlock/statement.h"
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// A caller's request. Only its syntax has been checked: the key, route and session token are not yet verified.
struct CallerRequest {
    /// Access key. Used for authentication only; never logged or forwarded.
    std::string key;
    std::string route;
    /// Selects a database of the pool. If empty, the workspace's name is used.
    std::string shard;
    std::string sessionToken;
    std::string idempotencyKey;
    /// Time until the caller's deadline, in milliseconds. Empty if the caller set none.
    std::optional<std::uint32_t> timeoutMs;
    /// True if the request only queries the outcome of an earlier request by its idempotency key.
    bool settle = false;
    std::vector<Statement> statements;

    auto operator<=>(const CallerRequest&) const = default;
};

/// Parses the JSON body of a request into `request`: {"statements": [{"sql": ..., "parameters": [...]}], "shard": ...}.
/// If `request.settle` is set, the statements are not read. The error names the invalid member, if there is one;
/// `request` may then be filled in part.
tl::expected<void, Error> parseCallerBody(const std::string& body, CallerRequest& request);

} // namespace catkinlock
