#pragma once

#include <memory>
#include <string>
#include <variant>

namespace catkinlock {

class CallerCharge;

/// Kind of a statement within a session.
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
    /// Not recognized; rejected as malformed.
    Other,
};

/// One statement received from a caller.
struct SessionStatement {
    /// Request id chosen by the caller, passed on unchanged.
    std::string id;
    /// Full statement text. Passed on unchanged, except that Execute is sent to the member under the name that the
    /// prepared statement has there.
    std::string text;
    StatementKind kind = StatementKind::Other;
    /// SetValue: name of the session value. Prepare, Execute, Deallocate: name of the prepared statement.
    std::string name;
    /// SetValue: the value. Execute: the arguments. Prepare: the statement to prepare.
    std::string argument;
    /// Prepare: true if the prepared statement writes when it is executed.
    bool writes = false;
    /// Charged for the bytes of the reply while it arrives; null if nothing is charged.
    std::shared_ptr<CallerCharge> charge = nullptr;

    bool operator==(const SessionStatement&) const = default;
};

/// Request to open a session on a database, with the caller's credentials.
struct OpenSession {
    std::string database;
    /// The caller's access key.
    std::string key;

    bool operator==(const OpenSession&) const = default;
};

/// Request to close the session.
struct CloseSession {
    bool operator==(const CloseSession&) const = default;
};

/// Input that could not be parsed as a message.
struct MalformedMessage {
    /// True if the input exceeded the size limit.
    bool tooLarge = false;

    bool operator==(const MalformedMessage&) const = default;
};

using CallerMessage = std::variant<OpenSession, SessionStatement, CloseSession, MalformedMessage>;

/// Reason why a statement did not succeed, with what it guarantees to the caller about the statement's effects.
enum class StatementError {
    /// Not run: no free capacity.
    Busy,
    /// The transaction was rolled back and had no effect.
    Aborted,
    /// Not run: the member has not yet applied the log position that the read requires.
    Lagging,
    /// Not run: a write in a read-only transaction, or on a member that is not the primary.
    ReadOnly,
    /// Not run: a member other than the expected one responded at the member's address.
    Misrouted,
    /// Not run: the member has reached its connection limit.
    ConnectionLimit,
    /// The outcome is unknown: the statement may have taken effect.
    InDoubt,
    /// Did not complete before its deadline; may have taken effect.
    Timeout,
    /// The target ran the statement and reported an error.
    Failed,
    /// Not run: no prepared statement with this name.
    NoStatement,
    /// Not run: unknown or withdrawn key.
    Unauthenticated,
    /// Not run: no route for this database.
    NoDatabase,
    /// Not run: the message exceeds the size limit.
    TooLarge,
    /// Not run: the message could not be parsed.
    Malformed,
};

inline constexpr std::size_t statementErrorCount = 14;

/// Name used in logs and metrics, such as "in_doubt".
const char* statementErrorName(StatementError);

/// True if the error guarantees that the statement had no effect.
bool guaranteesNoEffect(StatementError);

/// True for the errors by which a member refuses a statement before running any of it.
bool isNotRun(StatementError);

/// Transaction state of a session or connection between statements.
enum class TransactionState {
    Idle,
    Open,
    /// A statement of the transaction failed. Only Commit and Rollback are accepted; both end it without effect.
    Failed,
};

} // namespace catkinlock
