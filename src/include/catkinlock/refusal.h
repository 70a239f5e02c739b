#pragma once

#include <string>

namespace catkinlock {

/// Outcome of a request. Every response to a transaction or settle request reports exactly one of these.
enum class Outcome {
    /// It is not known whether the request took effect. A caller that sent an idempotency key can find out the
    /// outcome (settle the request) by that key.
    Unknown,
    /// The request took effect and its result is complete.
    Done,
    /// The request had no effect and never will: it was not executed, it only read, or the database member rolled it
    /// back.
    NotRun,
};

/// Name of an outcome in responses to callers: "done", "not_run" or "unknown".
const char* outcomeName(Outcome);

/// The reply to a request whose outcome is not Done.
struct Refusal {
    Outcome outcome = Outcome::Unknown;
    /// Stable machine-readable code, such as "rate_exceeded".
    std::string code;
    /// Human-readable description.
    std::string message;

    bool operator==(const Refusal&) const = default;
};

/// The reply to a request that had no effect.
inline Refusal notRun(std::string code, std::string message)
{
    return { Outcome::NotRun, std::move(code), std::move(message) };
}

/// The reply to a request that may have taken effect.
inline Refusal unknownOutcome(std::string code, std::string message)
{
    return { Outcome::Unknown, std::move(code), std::move(message) };
}

} // namespace catkinlock
