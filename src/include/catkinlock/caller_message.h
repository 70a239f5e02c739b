#pragma once

#include <string>
#include <variant>

namespace catkinlock {

/// What a statement of a session asks for.
enum class StatementKind {
    Begin,
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    /// Nothing that is known; it is refused as malformed.
    Other,
};

/// One statement of a caller.
struct SessionStatement {
    /// The caller's id of the request, passed on unchanged.
    std::string id;
    /// The whole text, passed on unchanged.
    std::string text;
    StatementKind kind = StatementKind::Other;
    /// Name of the value or the prepared statement.
    std::string name;
    /// SetValue: the value. Execute: the arguments. Prepare: what is prepared.
    std::string argument;
    /// Prepare: true if executing it writes.
    bool writes = false;

    bool operator==(const SessionStatement&) const = default;
};

/// A caller opens a session on a database and says who it is.
struct OpenSession {
    std::string database;
    /// The caller's key.
    std::string key;

    bool operator==(const OpenSession&) const = default;
};

struct CloseSession {
    bool operator==(const CloseSession&) const = default;
};

/// Bytes that are no message, or too many of them.
struct MalformedMessage {
    bool tooLarge = false;

    bool operator==(const MalformedMessage&) const = default;
};

using CallerMessage = std::variant<OpenSession, SessionStatement, CloseSession, MalformedMessage>;

/// Why a statement did not succeed. What each promises to the caller stands beside it.
enum class StatementError {
    /// Did not run: no free capacity.
    Busy,
    /// Its transaction was rolled back; nothing of it is kept.
    Aborted,
    /// Did not run: the member lacks a position that the read needs.
    Lagging,
    /// Did not run: the member is no primary.
    ReadOnly,
    /// Did not run: another member answered at this address.
    Misrouted,
    /// Did not run: the member has too many connections.
    ConnectionLimit,
    /// May have taken effect.
    InDoubt,
    /// Ran out of time; may have taken effect.
    Timeout,
    /// Ran and failed.
    Failed,
    /// Did not run: no such prepared statement.
    NoStatement,
    /// Did not run: unknown or withdrawn key.
    Unauthenticated,
    /// Did not run: no route for this database.
    NoDatabase,
    TooLarge,
    Malformed,
};

inline constexpr std::size_t statementErrorCount = 14;

/// A word for logs and metrics, such as "in_doubt".
const char* statementErrorName(StatementError);

/// True if the error promises that nothing of the statement is kept.
bool promisesNothingKept(StatementError);

/// State of a session or connection between statements.
enum class TransactionState {
    Idle,
    Open,
    Failed,
};

} // namespace catkinlock
