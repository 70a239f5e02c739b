#include "libsession/group_membership.h"

#include <algorithm>
#include <boost/json.hpp>

namespace catkinlock {

namespace json = boost::json;

namespace {

    std::optional<MemberRun> parseRun(const json::value& value)
    {
        const json::object* object = value.if_object();
        const json::value* id = object ? object->if_contains("id") : nullptr;
        const json::value* startedAt = object ? object->if_contains("started_at") : nullptr;
        const json::value* address = object ? object->if_contains("address") : nullptr;
        if (!id || !id->is_string() || !startedAt || !startedAt->is_int64() || !address || !address->is_string())
            return std::nullopt;
        return MemberRun { json::value_to<std::string>(*id), startedAt->get_int64(),
            json::value_to<std::string>(*address) };
    }

} // namespace

MemberRun runOf(const TargetRecord& target) { return { target.id, target.startedAt, target.address }; }

bool isContinued(const MemberRun& run, const GroupMembership& membership, const std::vector<TargetRecord>& members)
{
    auto isRestartOf = [&run](const MemberRun& other) { return other.id == run.id && other.startedAt > run.startedAt; };
    bool restarted = std::any_of(membership.runs.begin(), membership.runs.end(), isRestartOf)
        || std::any_of(members.begin(), members.end(),
            [&isRestartOf](const TargetRecord& member) { return isRestartOf(runOf(member)); });
    return !restarted && std::any_of(members.begin(), members.end(), [&run](const TargetRecord& member) {
        return member.id != run.id && member.address == run.address && member.startedAt >= run.startedAt;
    });
}

std::string writeGroupMembership(const GroupMembership& membership)
{
    json::array runs;
    for (const MemberRun& run : membership.runs)
        runs.push_back({ { "id", run.id }, { "started_at", run.startedAt }, { "address", run.address } });
    return json::serialize(json::object { { "runs", runs }, { "complete", membership.isComplete } });
}

std::optional<GroupMembership> parseGroupMembership(const std::string& text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    const json::object* object = error ? nullptr : value.if_object();
    const json::value* runs = object ? object->if_contains("runs") : nullptr;
    if (!runs || !runs->is_array())
        return std::nullopt;
    GroupMembership membership;
    const json::value* complete = object->if_contains("complete");
    membership.isComplete = complete && complete->is_bool() && complete->get_bool();
    for (const json::value& item : runs->get_array()) {
        auto run = parseRun(item);
        if (!run)
            return std::nullopt;
        membership.runs.insert(*run);
    }
    return membership;
}

} // namespace catkinlock
