#pragma once

#include "catkinlock/error.h"
#include "catkinlock/statement.h"
#include <tl/expected.hpp>

namespace catkinlock {

/// Accepts queries and data changes, and rejects other statements, such as transaction control, SET and COPY. The proxy
/// can report the outcome of a request correctly only if it alone begins and ends transactions. Only the first keyword
/// is checked. Also rejects a statement or parameter with NUL characters, which the target's text type cannot
/// represent.
tl::expected<void, Error> checkStatement(const Statement&);

} // namespace catkinlock
