#pragma once

#include <string>

namespace catkinlock {

/// What became of a request. Nothing else is ever said to a caller.
enum class Outcome {
    /// It is not known whether the request took effect. It can be settled by its idempotency key.
    Unknown,
    /// The request took effect and its answer is whole.
    Done,
    /// The request had no effect and never will: no byte of it reached a target, or the target rolled it back.
    NotRun,
};

/// The name of an outcome as callers see it: "done", "not_run" or "unknown".
const char* outcomeName(Outcome);

/// The reply to a request that is not done.
struct Refusal {
    Outcome outcome = Outcome::Unknown;
    /// A stable word for programs, such as "rate_exceeded".
    std::string code;
    /// A sentence for people.
    std::string message;

    bool operator==(const Refusal&) const = default;
};

/// A refusal of a request that had no effect.
inline Refusal notRun(std::string code, std::string message)
{
    return { Outcome::NotRun, std::move(code), std::move(message) };
}

/// A refusal of a request that may have taken effect.
inline Refusal unknownOutcome(std::string code, std::string message)
{
    return { Outcome::Unknown, std::move(code), std::move(message) };
}

} // namespace catkinlock
