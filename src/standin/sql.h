#pragma once

#include "standin/member.h"
#include <optional>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// Result of one statement.
struct StatementResult {
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    /// Command tag, such as "INSERT 0 1".
    std::string tag;
    /// SQLSTATE; empty if the statement succeeded.
    std::string errorCode;
    std::string errorMessage;
    /// True if the connection has to be closed without a response.
    bool closeWithoutResponse = false;
};

/// Values of $1, $2 and so on; nullopt stands for NULL.
using Parameters = std::vector<std::optional<std::string>>;

/// The transaction state and the statements of one client connection. Supports only the statements that catkinlock and
/// the tests send; any other fails with SQLSTATE 42601.
class SqlSession {
public:
    explicit SqlSession(std::shared_ptr<GroupMember>);
    ~SqlSession();

    boost::asio::awaitable<StatementResult> run(const std::string& sql, const Parameters&);
    /// 'I' outside a transaction, 'T' inside one, 'E' inside a failed one.
    char status() const { return this->state; }

private:
    boost::asio::awaitable<StatementResult> execute(const std::string& sql, const Parameters&);
    /// Inserts an idempotency key. The result has no row if the key is already committed.
    boost::asio::awaitable<StatementResult> insertRequest(const Parameters&);
    StatementResult commit();
    /// The member's status as one row, the result of every function of the schema `catkinlock`. `accepted` is its first
    /// column.
    StatementResult statusResult(bool accepted) const;
    /// Adds a change to the open transaction, or commits it at once if there is none. Fails on a replica and in a
    /// read-only transaction.
    StatementResult write(Change, std::string tag);
    /// Runs a function of the schema `catkinlock`, other than `await`, or of `standin`; nullopt if the statement calls
    /// none.
    std::optional<StatementResult> runControlFunction(const std::string& sql, const Parameters&);
    /// Sets a field of the member's faults by its name.
    StatementResult setFault(const std::string& name, const std::string& value);
    /// Discards the open transaction and releases its idempotency keys.
    void reset();

    std::shared_ptr<GroupMember> member;
    char state = 'I';
    bool readOnly = false;
    /// Changes of the open transaction, visible to this session's reads.
    std::vector<Change> changes;
    /// Idempotency keys that the open transaction has reserved in the member.
    std::vector<std::string> insertedKeys;
};

} // namespace catkinlock::standin
