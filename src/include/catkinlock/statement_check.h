#pragma once

#include "catkinlock/error.h"
#include "catkinlock/statement.h"
#include <tl/expected.hpp>

namespace catkinlock {

/// Rejects statements other than queries and data changes: transaction control, changes of session state, and COPY. The
/// proxy can report the outcome of a request correctly only if it alone begins and ends transactions. Also rejects text
/// with NUL characters, which the target's text type cannot represent.
tl::expected<void, Error> checkStatement(const Statement&);

} // namespace catkinlock
