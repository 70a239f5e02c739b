#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// One SQL statement with its parameters ($1, $2, ...) as text; no value means NULL.
struct Statement {
    std::string sql;
    std::vector<std::optional<std::string>> parameters;

    auto operator<=>(const Statement&) const = default;
};

/// The complete result of one statement. Values are text; no value means NULL.
struct ResultSet {
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    /// Number of rows that the statement changed or, for a query, returned, as reported by the target; 0 if it reports
    /// none.
    std::uint64_t affected = 0;

    auto operator<=>(const ResultSet&) const = default;
};

} // namespace catkinlock
