#pragma once

#include "catkinlock/target_message.h"
#include <optional>
#include <string>

namespace catkinlock {

/// Encodes and decodes the protocol of the members of database groups. Keeps no state, so one object may be used on any
/// thread.
class TargetProtocol {
public:
    virtual ~TargetProtocol() = default;

    /// Appends the message that opens a connection to the member `id` of `service` for `workspace`.
    virtual void appendOpen(
        std::string& out, const std::string& service, const std::string& workspace, const std::string& id) const = 0;
    /// Appends a caller's statement. With `after`, the member refuses the statement unless its log has that position; a
    /// position of term 0 requires none.
    /// With a `preparedName` that is not empty, the execution names that prepared statement in place of the caller's.
    virtual void appendStatement(std::string& out, const SessionStatement&, const std::optional<Position>& after,
        const std::string& preparedName) const = 0;
    /// Appends a command of the proxy itself. `after` as in `appendStatement`.
    virtual void appendCommand(std::string& out, const TargetCommand&, const std::optional<Position>& after) const = 0;
    /// Appends the message that ends the connection.
    virtual void appendClose(std::string& out) const = 0;
    /// Removes what has arrived of a reply from the front of `buffer` and adds it to `reply`. True once the reply is
    /// complete, false if more bytes are needed, no value if the bytes are not a valid reply.
    virtual std::optional<bool> take(std::string& buffer, TargetReply& reply) const = 0;
    /// Removes from an incomplete reply in `buffer` what belongs to a row that is not complete, so that a reply can be
    /// read to its end without being held.
    virtual void shortenRow(std::string& buffer) const = 0;
    /// The report in a reply to Status, Pause or StepDown; no value if the reply is an error or has no report.
    virtual std::optional<MemberReport> report(const TargetReply&) const = 0;
};

} // namespace catkinlock
