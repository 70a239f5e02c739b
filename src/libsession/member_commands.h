#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/group_record.h"
#include "catkinlock/target_message.h"
#include "catkinlock/target_record.h"
#include "libsession/promotion_choice.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

class TargetLink;
class TargetProtocol;

/// Sends the commands of a replacement to members, over connections of its own. Runs on the control thread.
class MemberCommands : public std::enable_shared_from_this<MemberCommands> {
public:
    MemberCommands(boost::asio::io_context&, std::shared_ptr<const TargetProtocol>);

    /// For connecting to a member, for opening the connection and for the command. A command is over, and nothing of it
    /// arrives later, this long after it was written.
    static constexpr Milliseconds commandTimeout { 400 };
    /// Asked right before a command is written to an open connection. The command is not sent if it returns false.
    using SendGuard = std::function<bool()>;

    /// Sends a command to a member. Returns its status report, or std::nullopt if it did not respond in time. A command
    /// without a response does not arrive later.
    boost::asio::awaitable<std::optional<MemberReport>> send(TargetRecord, TargetCommand, SendGuard = {});
    /// Requests a report from each member. `primary` is the id of the group's primary. Members that did not respond
    /// have an empty report; none counts as fenced.
    boost::asio::awaitable<std::vector<PromotionCandidate>> reports(
        std::vector<TargetRecord> members, std::string primary);
    /// Tells the old primary to step down and the replicas to pause, all at once, then the old primary to pause as
    /// well, and returns what they reported. A member counts as fenced once it reports, as a replica, the term of the
    /// fence. Replicas are left running, and don't count as fenced, if `pauseAll` is false. `old` is the group's
    /// record. If `findPromoted` finds a member, nothing is fenced.
    boost::asio::awaitable<std::vector<PromotionCandidate>> fence(
        std::vector<TargetRecord> members, GroupRecord old, bool pauseAll, SendGuard mayAct);
    /// What an attempt to connect to a member shows of it.
    enum class Presence {
        /// The member accepts connections.
        Running,
        /// Nothing accepts connections at its address, or another member does.
        Ended,
        /// There was no reply in time, or one that shows neither.
        Silent,
    };
    /// Connects to a member to find out whether it runs.
    boost::asio::awaitable<Presence> probe(TargetRecord);
    /// Lets paused replicas receive again. Returns once all have replied or timed out.
    boost::asio::awaitable<void> resume(std::vector<TargetRecord> replicas, SendGuard mayAct);

private:
    struct Round;
    static std::shared_ptr<Round> makeRound(
        const std::vector<TargetRecord>& members, const std::string& primary, SendGuard = {});
    // Sends one command to each member and returns once all have replied or timed out.
    boost::asio::awaitable<void> sendAll(std::shared_ptr<Round>, std::vector<TargetRecord>, std::vector<TargetCommand>);
    // Returns once all commands of the round have been replied to or have timed out.
    boost::asio::awaitable<void> awaitReplies(std::shared_ptr<Round>);
    void query(std::shared_ptr<Round>, std::size_t index, TargetRecord, TargetCommand);

    boost::asio::io_context& context;
    std::shared_ptr<const TargetProtocol> protocol;
    // Connections that are kept for the next command, by member id.
    std::map<std::string, std::shared_ptr<TargetLink>> links;
};

} // namespace catkinlock
