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

/// The complete result of one statement.
struct ResultSet {
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    /// Number of affected rows.
    std::uint64_t affected = 0;

    auto operator<=>(const ResultSet&) const = default;
};

} // namespace catkinlock
