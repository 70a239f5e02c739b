#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/target_protocol.h"
#include "catkinlock/target_record.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// Why a connection to a member gave no answer.
struct LinkFailure {
    /// True if the statement may have reached the member.
    bool maySent = false;
    /// The member's own refusal of the connection; nothing if the connection broke or timed out.
    std::optional<StatementError> refusal;
    std::string message;
};

/// One connection to a member, for one workspace, with the session values and prepared statements that it holds. One
/// exchange at a time. After a failure it is closed.
class TargetLink : public std::enable_shared_from_this<TargetLink> {
public:
    TargetLink(boost::asio::any_io_executor, std::shared_ptr<const TargetProtocol>);
    ~TargetLink();

    boost::asio::awaitable<tl::expected<void, LinkFailure>> open(
        TargetRecord, std::string workspace, Milliseconds timeout);
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> send(
        SessionStatement, std::optional<Position> after, std::string preparedName, Milliseconds timeout);
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> command(
        TargetCommand, std::optional<Position> after, Milliseconds timeout);
    /// Makes the connection hold exactly these values, and these prepared statements besides others. False if it could
    /// not; the connection is then closed.
    boost::asio::awaitable<bool> adopt(std::map<std::string, std::string> values, std::string preparedName,
        std::string prepared, Milliseconds timeout);
    void close();
    bool isOpen() const;

    const std::string& workspace() const { return this->forWorkspace; }
    const TargetRecord& target() const { return this->member; }
    TransactionState state() const { return this->lastState; }

private:
    struct Socket;
    boost::asio::awaitable<tl::expected<TargetReply, LinkFailure>> exchange(std::string bytes, Milliseconds timeout);
    boost::asio::awaitable<bool> apply(TargetCommand, Milliseconds timeout);

    std::shared_ptr<const TargetProtocol> protocol;
    std::unique_ptr<Socket> socket;
    TargetRecord member;
    std::string forWorkspace;
    std::map<std::string, std::string> values;
    std::set<std::string> preparedNames;
    TransactionState lastState = TransactionState::Idle;
    std::string received;
};

} // namespace catkinlock
