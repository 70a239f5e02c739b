#pragma once

#include "catkinlock/database_request.h"

namespace catkinlock {

/// Combines the results of several attempts at one request into the result that the caller may be given. Once an
/// attempt may have taken effect, the outcome stays unknown until a later attempt succeeds or is refused on the basis
/// of the record of the idempotency key (see `settlesAllAttempts`).
class AttemptHistory {
public:
    /// `idempotent` is true if the request may run more than once even without an idempotency key.
    AttemptHistory(bool hasIdempotencyKey, bool idempotent)
        : hasIdempotencyKey(hasIdempotencyKey)
        , idempotent(idempotent)
    {
    }

    /// Adds the result of the next attempt and returns the combined result of all attempts so far.
    DatabaseResult add(DatabaseResult);
    /// True if another attempt is safe and may improve the outcome.
    bool mayRetry() const;
    /// True if the outcome of an attempt was unknown and a later attempt settled it.
    bool wasSettled() const { return this->settledLater; }

private:
    bool hasIdempotencyKey;
    bool idempotent;
    // An attempt may have taken effect and has not been settled.
    bool unknown = false;
    // The last attempt succeeded or was refused in a way that another attempt can't improve.
    bool final = false;
    bool settledLater = false;
};

/// True if a refusal is based on the record of the idempotency key and so holds for all attempts at the request.
bool settlesAllAttempts(const Refusal&);
/// True if the same request may succeed when it is retried later or at another instance.
bool isTransient(const Refusal&);

} // namespace catkinlock
