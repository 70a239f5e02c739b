#pragma once

#include "catkinlock/target_message.h"
#include <optional>
#include <string>

namespace catkinlock {

/// Encodes and decodes what group members speak. No state, no decisions.
class TargetProtocol {
public:
    virtual ~TargetProtocol() = default;

    /// Opens a connection to the member `id` of `service` for `workspace`.
    virtual void appendOpen(
        std::string& out, const std::string& service, const std::string& workspace, const std::string& id) const = 0;
    /// Passes a caller's statement on. With `after`, the member refuses unless its log has that position. With
    /// `preparedName`, an execution names that prepared statement in place of the caller's.
    virtual void appendStatement(std::string& out, const SessionStatement&, const std::optional<Position>& after,
        const std::string& preparedName) const = 0;
    virtual void appendCommand(std::string& out, const TargetCommand&, const std::optional<Position>& after) const = 0;
    virtual void appendClose(std::string& out) const = 0;
    /// Takes what has arrived from the front of `buffer` into `reply`. True once the reply is whole; nothing if the
    /// bytes are no reply.
    virtual std::optional<bool> take(std::string& buffer, TargetReply& reply) const = 0;
    /// The report in an answer to Status, Pause or StepDown; nothing if there is none.
    virtual std::optional<MemberReport> report(const TargetReply&) const = 0;
};

} // namespace catkinlock
