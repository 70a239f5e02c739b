#include "catkinlock/caller_request.h"

#include "catkinlock/statement_check.h"
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    constexpr std::size_t maxStatements = 256;
    constexpr std::size_t maxParameters = 1024;
    constexpr std::size_t maxShardBytes = 256;

    tl::unexpected<Error> makeError(std::string message) { return tl::unexpected(Error { std::move(message) }); }

    tl::expected<std::optional<std::string>, Error> readParameter(const json::value& value, const std::string& path)
    {
        if (value.is_null())
            return std::optional<std::string>();
        if (value.is_string())
            return std::optional(json::value_to<std::string>(value));
        if (value.is_bool())
            return std::optional<std::string>(value.get_bool() ? "true" : "false");
        if (value.is_number())
            return std::optional(json::serialize(value));
        return makeError(path + " must be a string, a number, true, false or null");
    }

    tl::expected<Statement, Error> readStatement(const json::value& value, const std::string& path)
    {
        const json::object* object = value.if_object();
        const json::value* sql = object ? object->if_contains("sql") : nullptr;
        if (!sql || !sql->is_string())
            return makeError(path + ".sql must be a string");
        Statement statement;
        statement.sql = json::value_to<std::string>(*sql);
        const json::value* parameters = object->if_contains("parameters");
        if (object->size() > (parameters ? 2u : 1u))
            return makeError(path + " may contain only sql and parameters");
        if (parameters) {
            const json::array* list = parameters->if_array();
            if (!list || list->size() > maxParameters)
                return makeError(
                    fmt::format("{}.parameters must be an array of at most {} values", path, maxParameters));
            for (std::size_t i = 0; i < list->size(); ++i) {
                auto parameter = readParameter(list->at(i), fmt::format("{}.parameters[{}]", path, i));
                if (!parameter)
                    return tl::unexpected(parameter.error());
                statement.parameters.push_back(std::move(*parameter));
            }
        }
        if (auto allowed = checkStatement(statement); !allowed)
            return makeError(path + ": " + allowed.error().message);
        return statement;
    }

} // namespace

tl::expected<void, Error> parseCallerBody(const std::string& body, CallerRequest& request)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    if (error)
        return makeError("the request body is not valid JSON: " + error.message());
    const json::object* object = value.if_object();
    if (!object)
        return makeError("the request body must be a JSON object");
    for (const auto& member : *object) {
        if (member.key() != "statements" && member.key() != "shard")
            return makeError(fmt::format("{} is not a known member of the request body", std::string(member.key())));
    }
    if (const json::value* shard = object->if_contains("shard")) {
        if (!shard->is_string() || shard->get_string().size() > maxShardBytes)
            return makeError(fmt::format("shard must be a string of at most {} bytes", maxShardBytes));
        request.shard = json::value_to<std::string>(*shard);
    }
    if (request.settle)
        return {};
    const json::value* statements = object->if_contains("statements");
    const json::array* list = statements ? statements->if_array() : nullptr;
    if (!list || list->empty() || list->size() > maxStatements)
        return makeError(fmt::format("statements must be an array of 1 to {} statements", maxStatements));
    for (std::size_t i = 0; i < list->size(); ++i) {
        auto statement = readStatement(list->at(i), fmt::format("statements[{}]", i));
        if (!statement)
            return tl::unexpected(statement.error());
        request.statements.push_back(std::move(*statement));
    }
    return {};
}

} // namespace catkinlock
