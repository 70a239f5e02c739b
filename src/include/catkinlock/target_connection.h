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

/// Why statements on a target failed.
struct TargetError {
    enum class Kind {
        /// The target answered with an error. The connection is usable once it has rolled back.
        Rejected,
        /// The answer is larger than the limit. The connection is closed.
        TooLarge,
        /// The connection broke or the time was over. What was sent may have run. The connection is closed.
        Lost,
    };
    Kind kind = Kind::Lost;
    /// SQLSTATE of a rejection.
    std::string sqlState;
    std::string message;

    bool operator==(const TargetError&) const = default;
};

/// A connection to one member of a database group, through libpq's non-blocking calls. Used by one transaction at a
/// time, on one executor.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
    /// `answerBytes` bounds the values of one answer.
    TargetConnection(boost::asio::any_io_executor, std::size_t answerBytes);
    ~TargetConnection();

    /// Connects to "ip:port"; an error says why not.
    boost::asio::awaitable<tl::expected<void, TargetError>> connect(std::string address, TimePoint deadline);
    /// Sends all statements at once and returns their answers in order. The first failing one ends the run: none after
    /// it is executed. With `resetFirst` the session state that earlier statements left is discarded before, in the
    /// same round trip.
    boost::asio::awaitable<tl::expected<std::vector<ResultSet>, TargetError>> run(
        std::vector<Statement> statements, TimePoint deadline, bool resetFirst = false);
    /// Runs one statement.
    boost::asio::awaitable<tl::expected<ResultSet, TargetError>> runOne(Statement, TimePoint deadline);
    /// True until the connection is lost or closed.
    bool isOpen() const;
    /// True if no transaction is open, as the target said last.
    bool isIdle() const;
    void close();

private:
    struct State;
    struct Timer;

    boost::asio::awaitable<bool> waitReadable();
    boost::asio::awaitable<bool> waitWritable();
    boost::asio::awaitable<bool> flush();
    boost::asio::awaitable<tl::expected<ResultSet, TargetError>> readResult(std::size_t& budget);
    boost::asio::awaitable<bool> skipSync();
    void arm(TimePoint deadline);
    TargetError lost(const std::string& doing);

    std::unique_ptr<State> state;
    std::size_t answerBytes;
};

Statement rollbackStatement();
/// The statement that asks a member for its status, and its answer as a value. An error says that the answer is not
/// one.
Statement statusStatement();
tl::expected<MemberStatus, TargetError> parseStatus(const ResultSet&);
/// True if the answer to an order to a member (fence, promote, follow) says that it was accepted.
bool wasAccepted(const ResultSet&);

} // namespace catkinlock
