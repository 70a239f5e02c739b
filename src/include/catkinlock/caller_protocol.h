#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/position.h"
#include "catkinlock/target_message.h"
#include <optional>
#include <string>

namespace catkinlock {

/// Encodes and decodes the protocol between callers and their sessions. Keeps no state and makes no decisions.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /// Removes one complete message from the front of `buffer` and returns it; std::nullopt if `buffer` holds no
    /// complete message yet. Input over the size limit gives MalformedMessage with `tooLarge` and stays in `buffer`, so
    /// the connection has to be closed.
    virtual std::optional<CallerMessage> take(std::string& buffer) const = 0;
    /// False if `take` would find nothing in a buffer in whose first `scanned` bytes it has found nothing. A message
    /// that arrives in small pieces is thus not scanned from its beginning for each of them.
    virtual bool mayHoldMessage(const std::string& buffer, std::size_t scanned) const = 0;
    /// Appends the reply to a statement: its rows, then its success or failure, then the session's state.
    virtual void appendReply(std::string& out, const TargetReply&) const = 0;
    /// Appends the message that the session is open.
    virtual void appendOpened(std::string& out) const = 0;
    /// Appends the message that the session is refused. The connection is closed after it.
    virtual void appendRefusedOpening(std::string& out, StatementError, const std::string& text) const = 0;
    /// Appends the notice that the session ends, sent while no statement is known to be outstanding. The caller closes
    /// the session. If it has sent a statement meanwhile, the notice is the first part of the reply to it, which says
    /// that it did not run; `appendRestOfNotice` is the other part.
    virtual void appendNotice(std::string& out, StatementError, const std::string& text) const = 0;
    virtual void appendRestOfNotice(std::string& out, TransactionState) const = 0;
};

} // namespace catkinlock
