#include "catkinlock/statement_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <fmt/format.h>
#include <string_view>

namespace catkinlock {

namespace {

    constexpr std::array<std::string_view, 9> allowedCommands { "SELECT", "INSERT", "UPDATE", "DELETE", "WITH",
        "VALUES", "MERGE", "TABLE", "EXPLAIN" };

    // Returns the offset after leading whitespace, comments and opening parentheses.
    std::size_t skipToKeyword(std::string_view sql)
    {
        std::size_t offset = 0;
        while (offset < sql.size()) {
            if (std::isspace(static_cast<unsigned char>(sql[offset])) || sql[offset] == '(') {
                ++offset;
            } else if (sql.substr(offset, 2) == "--") {
                offset = std::min(sql.find('\n', offset), sql.size());
            } else if (sql.substr(offset, 2) == "/*") {
                // PostgreSQL's block comments nest.
                int depth = 0;
                do {
                    std::string_view pair = sql.substr(offset, 2);
                    int change = pair == "/*" ? 1 : pair == "*/" ? -1 : 0;
                    depth += change;
                    offset += change ? 2 : 1;
                } while (depth && offset < sql.size());
            } else
                break;
        }
        return offset;
    }

    std::string firstKeyword(std::string_view sql)
    {
        std::string keyword;
        for (std::size_t offset = skipToKeyword(sql);
             offset < sql.size() && std::isalpha(static_cast<unsigned char>(sql[offset])); ++offset)
            keyword += static_cast<char>(std::toupper(static_cast<unsigned char>(sql[offset])));
        return keyword;
    }

} // namespace

tl::expected<void, Error> checkStatement(const Statement& statement)
{
    std::string keyword = firstKeyword(statement.sql);
    if (std::find(allowedCommands.begin(), allowedCommands.end(), keyword) == allowedCommands.end()) {
        auto message = fmt::format("a statement must be SELECT, INSERT, UPDATE, DELETE, WITH, VALUES, MERGE, TABLE or "
                                   "EXPLAIN, not {}; the proxy begins and ends the transaction of a request itself",
            keyword.empty() ? "text without a keyword" : keyword);
        return tl::unexpected(Error { message });
    }
    if (statement.sql.find('\0') != std::string::npos)
        return tl::unexpected(Error { "a statement must not contain a NUL character" });
    for (const auto& parameter : statement.parameters) {
        if (parameter && parameter->find('\0') != std::string::npos)
            return tl::unexpected(Error { "a parameter must not contain a NUL character" });
    }
    return {};
}

} // namespace catkinlock
