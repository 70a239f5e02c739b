#pragma once

#include "catkinlock/caller_message.h"

namespace catkinlock {

/// The rate token that a session's operation has taken from its workspace. Only operations that run count against the
/// rate, so the token is refunded, once, if the operation ends and nothing of it ran. An error alone does not end the
/// operation: a transaction stays open after a malformed statement in it is refused.
class OperationToken {
public:
    /// A new operation has taken a token.
    void take() { this->held = true; }

    /// Records a reply to a statement of the operation. True if the token is to be refunded now.
    /// `failed`: the reply is an error. `mayHaveRun`: some statement of the operation ran or may have run. `state`: the
    /// session's state after the statement.
    bool recordReply(bool failed, bool mayHaveRun, TransactionState state)
    {
        bool refundDue = this->held && failed && !mayHaveRun && state != TransactionState::Open;
        this->held = this->held && !mayHaveRun && state == TransactionState::Open;
        return refundDue;
    }

private:
    bool held = false;
};

} // namespace catkinlock
