#include "catkinlock/caller_request.h"

#include "catkinlock/statement_check.h"
#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    constexpr std::size_t mostStatements = 256;
    constexpr std::size_t mostParameters = 1024;
    constexpr std::size_t mostShardBytes = 256;

    tl::unexpected<Error> fault(std::string message) { return tl::unexpected(Error { std::move(message) }); }

    tl::expected<std::optional<std::string>, Error> readParameter(const json::value& value, const std::string& place)
    {
        if (value.is_null())
            return std::optional<std::string>();
        if (value.is_string())
            return std::optional(json::value_to<std::string>(value));
        if (value.is_bool())
            return std::optional<std::string>(value.get_bool() ? "true" : "false");
        if (value.is_number())
            return std::optional(json::serialize(value));
        return fault(place + " must be a text, a number, true, false or null");
    }

    tl::expected<Statement, Error> readStatement(const json::value& value, const std::string& place)
    {
        const json::object* object = value.if_object();
        const json::value* sql = object ? object->if_contains("sql") : nullptr;
        if (!sql || !sql->is_string())
            return fault(place + ".sql must be a text");
        Statement statement;
        statement.sql = json::value_to<std::string>(*sql);
        const json::value* parameters = object->if_contains("parameters");
        if (object->size() > (parameters ? 2u : 1u))
            return fault(place + " may hold sql and parameters only");
        if (parameters) {
            const json::array* list = parameters->if_array();
            if (!list || list->size() > mostParameters)
                return fault(fmt::format("{}.parameters must be a list of at most {}", place, mostParameters));
            for (std::size_t i = 0; i < list->size(); ++i) {
                auto parameter = readParameter(list->at(i), fmt::format("{}.parameters[{}]", place, i));
                if (!parameter)
                    return tl::unexpected(parameter.error());
                statement.parameters.push_back(std::move(*parameter));
            }
        }
        if (auto allowed = checkStatement(statement); !allowed)
            return fault(place + ": " + allowed.error().message);
        return statement;
    }

} // namespace

tl::expected<void, Error> parseCallerBody(const std::string& body, CallerRequest& request)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    if (error)
        return fault("the body is not JSON: " + error.message());
    const json::object* object = value.if_object();
    if (!object)
        return fault("the body must be an object");
    for (const auto& member : *object) {
        if (member.key() != "statements" && member.key() != "shard")
            return fault(fmt::format("{} is not a known member", std::string(member.key())));
    }
    if (const json::value* shard = object->if_contains("shard")) {
        if (!shard->is_string() || shard->get_string().size() > mostShardBytes)
            return fault(fmt::format("shard must be a text of at most {} bytes", mostShardBytes));
        request.shard = json::value_to<std::string>(*shard);
    }
    if (request.settle)
        return {};
    const json::value* statements = object->if_contains("statements");
    const json::array* list = statements ? statements->if_array() : nullptr;
    if (!list || list->empty() || list->size() > mostStatements)
        return fault(fmt::format("statements must be a list of 1 to {}", mostStatements));
    for (std::size_t i = 0; i < list->size(); ++i) {
        auto statement = readStatement(list->at(i), fmt::format("statements[{}]", i));
        if (!statement)
            return tl::unexpected(statement.error());
        request.statements.push_back(std::move(*statement));
    }
    return {};
}

} // namespace catkinlock
