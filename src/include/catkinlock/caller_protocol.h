#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/position.h"
#include "catkinlock/target_message.h"
#include <optional>
#include <string>

namespace catkinlock {

/// Encodes and decodes what callers of sessions speak. No state, no decisions.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /// Removes one whole message from the front of `buffer`; nothing if it is not whole yet.
    virtual std::optional<CallerMessage> take(std::string& buffer) const = 0;
    /// Appends the answer to a statement: its rows, then its success or failure, then the session's state.
    virtual void appendReply(std::string& out, const TargetReply&) const = 0;
    /// Appends that the session is open.
    virtual void appendOpened(std::string& out) const = 0;
    /// Appends that the session is refused; it is closed after that.
    virtual void appendRefusedOpening(std::string& out, StatementError, const std::string& text) const = 0;
};

} // namespace catkinlock
