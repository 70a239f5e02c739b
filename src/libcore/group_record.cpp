#include "catkinlock/group_record.h"

#include <boost/json.hpp>

namespace catkinlock {

namespace json = boost::json;

std::string writeGroupRecord(const GroupRecord& record)
{
    const char* state = record.state == GroupRecord::State::Serving ? "serving" : "replacing";
    return json::serialize(json::object { { "state", state }, { "primary", record.primary }, { "term", record.term } });
}

std::optional<GroupRecord> parseGroupRecord(const std::string& text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    const json::object* object = error ? nullptr : value.if_object();
    const json::value* state = object ? object->if_contains("state") : nullptr;
    const json::value* primary = object ? object->if_contains("primary") : nullptr;
    const json::value* term = object ? object->if_contains("term") : nullptr;
    if (!state || !state->is_string() || !primary || !primary->is_string() || !term || !term->is_number())
        return std::nullopt;
    GroupRecord record;
    record.state = state->get_string() == "serving" ? GroupRecord::State::Serving : GroupRecord::State::Replacing;
    record.primary = json::value_to<std::string>(*primary);
    json::error_code inexact;
    record.term = term->to_number<std::uint64_t>(inexact);
    return inexact ? std::nullopt : std::optional(record);
}

} // namespace catkinlock
