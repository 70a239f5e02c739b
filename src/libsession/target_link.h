#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/target_protocol.h"
#include "catkinlock/target_record.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Why an exchange on a connection to a member gave no reply.
struct LinkFailure {
    /// True if the statement may have reached the member.
    bool mayHaveBeenSent = false;
    /// The error by which the member refused the connection, or `StatementError::Busy` if the pool had no connection to
    /// lend. std::nullopt if the connection broke or timed out.
    std::optional<StatementError> refusal;
    std::string message;
    /// True if nothing accepts connections at the member's address.
    bool nothingListens = false;
};

/// One connection to a member, for one workspace. Records the session values and prepared statements that are set on
/// it. Runs one exchange at a time, and is closed when an exchange fails.
class TargetLink : public std::enable_shared_from_this<TargetLink> {
public:
    TargetLink(boost::asio::any_io_executor, std::shared_ptr<const TargetProtocol>);
    ~TargetLink();

    /// Connects to the member and opens the connection for `workspace`, and has `timeout` for each of the two. To be
    /// called once, before any exchange.
    boost::asio::awaitable<tl::expected<void, LinkFailure>> open(
        TargetRecord, std::string workspace, Milliseconds timeout);
    /// Sends a caller's statement and waits until `deadline` for the reply. With `after`, the member refuses the
    /// statement unless its log has that position. With a `preparedName`, the execution names that prepared statement
    /// in place of the caller's.
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> send(
        SessionStatement, std::optional<Position> after, std::string preparedName, TimePoint deadline);
    /// Sends a command of the proxy itself and waits until `deadline` for the reply.
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> command(
        TargetCommand, std::optional<Position> after, TimePoint deadline);
    /// Sets exactly these session values on the connection, and prepares `preparedText` under `preparedName` if that
    /// name is not empty and not yet prepared. Other prepared statements may stay. All the commands that this takes
    /// share the time until `deadline`. False if one of them failed; the connection is then closed.
    boost::asio::awaitable<bool> applySessionState(std::map<std::string, std::string> values, std::string preparedName,
        std::string preparedText, TimePoint deadline);
    /// Sets that the connection is reset whenever it is closed, and that the kernel drops what it could not deliver
    /// within `timeout`: what the member has not received by then, it does not receive later. To be called before
    /// `open`.
    void setResetOnClose(Milliseconds timeout) { this->deliveryTimeout = timeout; }
    void close();
    bool isOpen() const;

    const std::string& workspace() const { return this->workspaceName; }
    const TargetRecord& target() const { return this->member; }
    TransactionState state() const { return this->lastState; }

private:
    struct Socket;
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> exchange(std::string bytes, TimePoint deadline);
    // Sends a statement whose reply is charged; without a charge, it may have any size.
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> exchangeCharged(
        std::string bytes, TimePoint deadline, StatementKind, std::shared_ptr<CallerCharge>);
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> receive(
        boost::system::error_code, StatementKind, std::shared_ptr<CallerCharge>);
    boost::asio::awaitable<bool> applyAll(std::vector<TargetCommand>, TimePoint deadline);
    std::vector<TargetCommand> commandsFor(const std::map<std::string, std::string>& required) const;

    std::shared_ptr<const TargetProtocol> protocol;
    std::unique_ptr<Socket> socket;
    TargetRecord member;
    std::string workspaceName;
    // Session values and prepared statements that are set on the connection.
    std::map<std::string, std::string> values;
    std::set<std::string> preparedNames;
    // State in the member's last reply.
    TransactionState lastState = TransactionState::Idle;
    // Bytes read that are not decoded yet.
    std::string received;
    // Set if the connection is reset when it is closed.
    std::optional<Milliseconds> deliveryTimeout;
};

} // namespace catkinlock
