#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include "catkinlock/refusal.h"
#include "catkinlock/statement.h"
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// A caller's request after admission, on its way to a database. Holds the workspace that the key authenticated, never
/// the key.
struct DatabaseRequest {
    enum class Kind {
        /// Run the statements as one transaction.
        Transaction,
        /// Find out what became of the request with this idempotency key, and keep it from running later.
        Settle,
    };
    Kind kind = Kind::Transaction;
    std::string pool;
    std::string database;
    std::string route;
    std::string workspace;
    std::uint32_t weight = 1;
    /// What the session has to see at least; term 0 if nothing.
    Position session;
    /// Empty if the caller gave none.
    std::string idempotencyKey;
    TimePoint deadline;
    bool readOnly = false;
    /// Oldest data that is accepted, in milliseconds; 0 if any age is.
    std::uint32_t maxAgeMs = 0;
    bool repeatable = false;
    std::vector<Statement> statements;
};

/// The answer to a request that is done.
struct DatabaseReply {
    std::vector<ResultSet> results;
    /// What the session has to see from now on.
    Position session;
    bool fromReplica = false;
    /// True if the request had run before, and this is its first answer.
    bool repeated = false;

    bool operator==(const DatabaseReply&) const = default;
};

/// Makes a reply. Coroutines return replies through this: GCC 12 destroys an aggregate that is written in a co_return
/// statement twice.
inline DatabaseReply makeReply(std::vector<ResultSet> results, Position session, bool fromReplica, bool repeated)
{
    return { std::move(results), session, fromReplica, repeated };
}

using DatabaseResult = tl::expected<DatabaseReply, Refusal>;

} // namespace catkinlock
