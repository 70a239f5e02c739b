#pragma once

#include "catkinlock/error.h"
#include "catkinlock/statement.h"
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Serializes result sets as JSON: a list of {"columns": [...], "rows": [[...]], "affected": n}.
std::string writeResults(const std::vector<ResultSet>&);

/// Parses the output of `writeResults`.
tl::expected<std::vector<ResultSet>, Error> readResults(const std::string& json);

} // namespace catkinlock
