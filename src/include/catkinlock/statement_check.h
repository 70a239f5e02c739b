#pragma once

#include "catkinlock/error.h"
#include "catkinlock/statement.h"
#include <tl/expected.hpp>

namespace catkinlock {

/// Refuses what would take a transaction out of the proxy's hands: transaction control, session state, COPY, and values
/// that the target's text type can't hold. Outcomes are only true if the proxy alone begins and ends transactions.
tl::expected<void, Error> checkStatement(const Statement&);

} // namespace catkinlock
