#include "catkinlock/caller_message.h"

#include <array>

namespace catkinlock {

namespace {

    struct ErrorTraits {
        const char* name;
        bool noEffect;
    };

    // Indexed by StatementError.
    constexpr std::array<ErrorTraits, statementErrorCount> traits { {
        { "busy", true },
        { "aborted", true },
        { "lagging", true },
        { "read_only", true },
        { "misrouted", true },
        { "connection_limit", true },
        { "in_doubt", false },
        { "timeout", false },
        { "failed", false },
        { "no_statement", true },
        { "unauthenticated", true },
        { "no_database", true },
        { "too_large", true },
        { "malformed", true },
    } };

} // namespace

const char* statementErrorName(StatementError error) { return traits[static_cast<std::size_t>(error)].name; }

bool guaranteesNoEffect(StatementError error) { return traits[static_cast<std::size_t>(error)].noEffect; }

bool isNotRun(StatementError error)
{
    return error == StatementError::Busy || error == StatementError::NoStatement || error == StatementError::Lagging
        || error == StatementError::ReadOnly || error == StatementError::Misrouted
        || error == StatementError::ConnectionLimit;
}

} // namespace catkinlock
