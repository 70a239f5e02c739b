#pragma once

#include "catkinlock/caller_message.h"

namespace catkinlock {

/// The token that a session's operation has taken from its workspace's rate. A rate is for what runs: the token goes
/// back once, when the operation has ended and nothing of it ran. An error alone does not end it, since a transaction
/// stays open after a statement that is refused for its form.
class OperationToken {
public:
    void take() { this->held = true; }

    /// A statement of the operation was answered. True if the token is to be given back now.
    /// `failed`: it was answered with an error. `mayHaveRun`: something of the operation ran or may have run.
    bool settle(bool failed, bool mayHaveRun, TransactionState state)
    {
        bool goesBack = this->held && failed && !mayHaveRun && state != TransactionState::Open;
        this->held = this->held && !mayHaveRun && state == TransactionState::Open;
        return goesBack;
    }

private:
    bool held = false;
};

} // namespace catkinlock
