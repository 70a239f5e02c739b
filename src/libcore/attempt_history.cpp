#include "catkinlock/attempt_history.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace catkinlock {

namespace {

    // Codes of refusals that are based on the record of the idempotency key.
    constexpr std::array<std::string_view, 2> settledCodes { "settled_not_run", "key_reused" };
    // Codes of refusals after which a retry may succeed.
    constexpr std::array<std::string_view, 10> transientCodes { "no_connections", "no_primary", "target_unreachable",
        "target_lost", "primary_replaced", "no_fresh_member", "leaving", "no_gateway", "not_gateway",
        "age_not_proved" };

    template <typename List> bool contains(const List& list, const std::string& code)
    {
        return std::find(list.begin(), list.end(), code) != list.end();
    }

} // namespace

bool settlesAllAttempts(const Refusal& refusal) { return contains(settledCodes, refusal.code); }

bool isTransient(const Refusal& refusal) { return contains(transientCodes, refusal.code); }

DatabaseResult AttemptHistory::add(DatabaseResult result)
{
    if (result || settlesAllAttempts(result.error())) {
        this->settledLater = this->unknown;
        this->unknown = false;
        this->final = true;
        return result;
    }
    this->final = !isTransient(result.error()) && result.error().outcome == Outcome::NotRun && !this->unknown;
    if (result.error().outcome == Outcome::Unknown) {
        this->unknown = true;
        return result;
    }
    if (this->unknown)
        return tl::unexpected(unknownOutcome(
            "unknown", "an earlier attempt may have taken effect; the last attempt failed: " + result.error().message));
    return result;
}

bool AttemptHistory::mayRetry() const
{
    if (this->final)
        return false;
    return !this->unknown || this->hasIdempotencyKey || this->idempotent;
}

} // namespace catkinlock
