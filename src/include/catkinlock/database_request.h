#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/position.h"
#include "catkinlock/refusal.h"
#include "catkinlock/statement.h"
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// A caller's request to a database after admission. Contains the workspace that the access key authenticated, but not
/// the key itself.
struct DatabaseRequest {
    enum class Kind {
        /// Run the statements as one transaction.
        Transaction,
        /// Find out the outcome of the request with this idempotency key, and prevent it from running later.
        Settle,
    };
    Kind kind = Kind::Transaction;
    std::string pool;
    std::string database;
    std::string route;
    std::string workspace;
    /// Weight of the workspace in the fair queue.
    std::uint32_t weight = 1;
    /// Position that the data must include for the session to be consistent; term 0 for no requirement.
    Position session;
    /// Empty if the caller did not supply one.
    std::string idempotencyKey;
    TimePoint deadline;
    bool readOnly = false;
    /// Maximum age of the data of a read in milliseconds; 0 for no limit.
    std::uint32_t maxAgeMs = 0;
    /// True if the request may run more than once even without an idempotency key.
    bool repeatable = false;
    std::vector<Statement> statements;
};

/// The reply to a request whose outcome is Done.
struct DatabaseReply {
    std::vector<ResultSet> results;
    /// Position that later reads of the session must include; for a read, the one that the request required.
    Position session;
    bool fromReplica = false;
    /// True if the request had already run under its idempotency key; the results are those of the first run.
    bool repeated = false;

    bool operator==(const DatabaseReply&) const = default;
};

/// Makes a reply. Coroutines must return replies through this function, because GCC 12 destroys an aggregate
/// initialized in a co_return statement twice.
inline DatabaseReply makeReply(std::vector<ResultSet> results, Position session, bool fromReplica, bool repeated)
{
    return { std::move(results), session, fromReplica, repeated };
}

/// The reply if the outcome of a request is Done, and a refusal otherwise.
using DatabaseResult = tl::expected<DatabaseReply, Refusal>;

} // namespace catkinlock
