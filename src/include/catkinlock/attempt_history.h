#pragma once

#include "catkinlock/database_request.h"

namespace catkinlock {

/// Joins the attempts at one request into the one outcome that may be said. An attempt that may have run stays so until
/// the record of the idempotency key speaks for all of them.
class AttemptHistory {
public:
    /// `keyed` tells whether the request has an idempotency key, `harmless` whether it may run again without one.
    AttemptHistory(bool keyed, bool harmless)
        : keyed(keyed)
        , harmless(harmless)
    {
    }

    /// Takes in the next attempt and returns what the whole request has come to so far.
    DatabaseResult add(DatabaseResult);
    /// True if another attempt can do no harm and may better the outcome.
    bool mayRetry() const;
    /// True if an attempt was unknown and a later one told what became of it.
    bool wasSettled() const { return this->settledLater; }

private:
    bool keyed;
    bool harmless;
    bool unknown = false;
    bool final = false;
    bool settledLater = false;
};

/// True if a refusal rests on the record of the idempotency key, and so speaks for all attempts.
bool speaksForAllAttempts(const Refusal&);
/// True if the same request may fare better at another time or place.
bool isTransient(const Refusal&);

} // namespace catkinlock
