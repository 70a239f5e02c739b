#include "libsession/leader_record.h"

#include <boost/json.hpp>

namespace catkinlock {

namespace json = boost::json;

std::string writeLeaderRecord(const LeaderRecord& record)
{
    const char* state = record.state == LeaderRecord::State::Acting ? "acting" : "idle";
    return json::serialize(
        json::object { { "state", state }, { "holder", record.holder }, { "lease", record.leaseId } });
}

LeaderRecord parseLeaderRecord(const std::string& text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    const json::object* object = error ? nullptr : value.if_object();
    const json::value* state = object ? object->if_contains("state") : nullptr;
    const json::value* holder = object ? object->if_contains("holder") : nullptr;
    const json::value* lease = object ? object->if_contains("lease") : nullptr;
    if (!state || !state->is_string() || !holder || !holder->is_string() || !lease || !lease->is_int64())
        return {};
    LeaderRecord record;
    record.state = state->get_string() == "idle" ? LeaderRecord::State::Idle : LeaderRecord::State::Acting;
    record.holder = json::value_to<std::string>(*holder);
    record.leaseId = lease->get_int64();
    return record;
}

} // namespace catkinlock
