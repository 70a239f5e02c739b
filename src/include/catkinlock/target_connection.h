#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/member_status.h"
#include "catkinlock/statement.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Why statements on a target, or connecting to it, failed.
struct TargetError {
    enum class Kind {
        /// The target returned an error or a malformed status. The connection can be used again after a rollback.
        Rejected,
        /// The results exceed the size limit. The connection was closed.
        TooLarge,
        /// The connection failed or the deadline passed. Statements that were sent may have been executed. The
        /// connection was closed.
        Lost,
    };
    Kind kind = Kind::Lost;
    /// SQLSTATE of an error that the target returned; otherwise empty.
    std::string sqlState;
    std::string message;

    bool operator==(const TargetError&) const = default;
};

/// A connection to one member of a database group, which uses libpq's non-blocking interface in pipeline mode. Used by
/// one transaction at a time, on one executor.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
    /// `maxResponseBytes` is the maximum total size of the values that one call of `run` returns.
    TargetConnection(boost::asio::any_io_executor, std::size_t maxResponseBytes);
    ~TargetConnection();

    /// Connects to "ip:port". Called once, before anything else. Every error is of kind Lost.
    boost::asio::awaitable<tl::expected<void, TargetError>> connect(std::string address, TimePoint deadline);
    /// Sends all statements in one pipeline and returns their results, in the order of the statements. If a statement
    /// fails, those after it are not executed, and only its error is returned. With `resetFirst`, which requires that
    /// no transaction is open, the session state left by earlier statements is discarded first (DISCARD ALL), in the
    /// same round trip; if that fails, the error is of kind Lost.
    boost::asio::awaitable<tl::expected<std::vector<ResultSet>, TargetError>> run(
        std::vector<Statement> statements, TimePoint deadline, bool resetFirst = false);
    /// Runs one statement and returns its result.
    boost::asio::awaitable<tl::expected<ResultSet, TargetError>> runOne(Statement, TimePoint deadline);
    /// False before `connect`, and after the connection was lost or closed.
    bool isOpen() const;
    /// True if the connection is open and, according to the target's last message, no transaction is in progress.
    bool isIdle() const;
    /// Closes the connection, if it is open. It can't be opened again.
    void close();

private:
    struct State;
    struct Timer;

    boost::asio::awaitable<bool> waitReadable();
    boost::asio::awaitable<bool> waitWritable();
    boost::asio::awaitable<bool> flush();
    // Reads the result of the next statement and subtracts the size of its values from `budget`, in bytes.
    boost::asio::awaitable<tl::expected<ResultSet, TargetError>> readResult(std::size_t& budget);
    // Reads up to the end of the pipeline. False if the connection failed or the deadline passed.
    boost::asio::awaitable<bool> readUntilSync();
    // Makes waits on the socket end at `deadline`.
    void armTimer(TimePoint deadline);
    // Closes the connection and returns an error for the operation that failed.
    TargetError lost(const std::string& operation);

    std::unique_ptr<State> state;
    std::size_t maxResponseBytes;
};

/// The statement that rolls back the open transaction.
Statement rollbackStatement();
/// The statement that requests a member's status.
Statement statusStatement();
/// Reads a member's status from the result of catkinlock.status() or of another function that returns the same columns.
/// The error is of kind Rejected and says that a column is missing or malformed.
tl::expected<MemberStatus, TargetError> parseStatus(const ResultSet&);
/// True if the result of a command to a member (fence, promote or follow) reports that the member accepted it.
bool wasAccepted(const ResultSet&);

} // namespace catkinlock
