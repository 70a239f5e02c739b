#pragma once

#include "catkinlock/error.h"
#include "catkinlock/statement.h"
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Serializes result sets as JSON: a list of {"columns": [...], "rows": [[...]], "affected": n}. Each value
/// is a string, or null for NULL.
std::string writeResults(const std::vector<ResultSet>&);

/// Parses the output of `writeResults`. Text that is not valid UTF-8 is accepted and passed on unchanged.
tl::expected<std::vector<ResultSet>, Error> readResults(const std::string& json);

} // namespace catkinlock
