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

    // The position after spaces and comments.
    std::size_t skipBlanks(std::string_view sql)
    {
        std::size_t at = 0;
        while (at < sql.size()) {
            if (std::isspace(static_cast<unsigned char>(sql[at])) || sql[at] == '(') {
                ++at;
            } else if (sql.substr(at, 2) == "--") {
                at = std::min(sql.find('\n', at), sql.size());
            } else if (sql.substr(at, 2) == "/*") {
                // PostgreSQL's comments nest.
                int depth = 0;
                do {
                    std::string_view pair = sql.substr(at, 2);
                    int change = pair == "/*" ? 1 : pair == "*/" ? -1 : 0;
                    depth += change;
                    at += change ? 2 : 1;
                } while (depth && at < sql.size());
            } else
                break;
        }
        return at;
    }

    std::string firstWord(std::string_view sql)
    {
        std::string word;
        for (std::size_t at = skipBlanks(sql); at < sql.size() && std::isalpha(static_cast<unsigned char>(sql[at]));
             ++at)
            word += static_cast<char>(std::toupper(static_cast<unsigned char>(sql[at])));
        return word;
    }

} // namespace

tl::expected<void, Error> checkStatement(const Statement& statement)
{
    std::string word = firstWord(statement.sql);
    if (std::find(allowedCommands.begin(), allowedCommands.end(), word) == allowedCommands.end()) {
        auto message = fmt::format("a statement must be SELECT, INSERT, UPDATE, DELETE, WITH, VALUES, MERGE, TABLE or "
                                   "EXPLAIN, not {}; transactions are begun and ended by the request",
            word.empty() ? "empty" : word);
        return tl::unexpected(Error { message });
    }
    if (statement.sql.find('\0') != std::string::npos)
        return tl::unexpected(Error { "a statement must not hold a NUL character" });
    for (const auto& parameter : statement.parameters) {
        if (parameter && parameter->find('\0') != std::string::npos)
            return tl::unexpected(Error { "a parameter must not hold a NUL character" });
    }
    return {};
}

} // namespace catkinlock
