#include "libsession/slot_directory.h"

#include "libserver/slot_keeper.h"
#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <string_view>

namespace catkinlock {

namespace json = boost::json;

namespace {

    // An instance with at least this part of the most cores of any counts as strong.
    constexpr double minCoresFraction = 0.5;
    // With fewer strong instances, too large a part of each rate would depend on one of them.
    constexpr std::size_t minStrongHolders = 3;

    // Reads name and address of the instance that a slot's value names into `record`. Returns false if the value is
    // malformed.
    bool readHolder(const std::string& text, InstanceRecord& record)
    {
        json::error_code error;
        json::value value = json::parse(text, error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* name = object ? object->if_contains("instance") : nullptr;
        const json::value* peer = object ? object->if_contains("peer") : nullptr;
        if (!name || !name->is_string() || !peer || !peer->is_string())
            return false;
        record.name = json::value_to<std::string>(*name);
        record.address = json::value_to<std::string>(*peer);
        return true;
    }

} // namespace

std::vector<std::string> slotCandidates(const FleetView& view, const std::string& self)
{
    double most = 0;
    for (const auto& [name, instance] : view.instances)
        most = std::max(most, instance.cores);
    std::vector<std::string> strong;
    for (const auto& [name, instance] : view.instances) {
        if (instance.cores >= most * minCoresFraction)
            strong.push_back(name);
    }
    auto candidates = strong.size() >= minStrongHolders ? std::move(strong) : view.instanceNames();
    if (!view.instances.count(self))
        candidates.push_back(self);
    return candidates;
}

std::vector<InstanceRecord> instancesInStore(const std::map<std::string, KeyValue>& values, const FleetView& view)
{
    std::map<std::string, InstanceRecord> records;
    for (const auto& [name, instance] : view.instances)
        records[name] = { name, instance.peerAddress, instance.dataCentre, 1, view.serial, InstanceState::Live, {} };
    std::string prefix = slotPrefix;
    for (auto it = values.lower_bound(prefix); it != values.end() && it->first.starts_with(prefix); ++it) {
        InstanceRecord entry;
        auto slot = slotOf(it->first);
        if (!slot || !readHolder(it->second.value, entry))
            continue;
        auto& record = records[entry.name];
        record = { entry.name, entry.address, "", 1, view.serial, InstanceState::Live, record.slots };
        record.slots.push_back(*slot);
    }
    std::vector<InstanceRecord> list;
    list.reserve(records.size());
    for (auto& [name, record] : records)
        list.push_back(std::move(record));
    return list;
}

std::vector<InstanceRecord> recordsOfExpired(
    const std::vector<InstanceRecord>& known, const std::vector<InstanceRecord>& current, std::uint64_t version)
{
    std::set<std::string_view> listed;
    for (const InstanceRecord& record : current)
        listed.insert(record.name);
    std::vector<InstanceRecord> expired;
    for (InstanceRecord record : known) {
        if (listed.count(record.name))
            continue;
        record.version = version;
        record.state = InstanceState::Dead;
        record.slots.clear();
        expired.push_back(std::move(record));
    }
    return expired;
}

std::vector<std::uint32_t> slotsListedFor(const std::map<std::string, KeyValue>& values, const std::string& instance)
{
    for (const InstanceRecord& record : instancesInStore(values, {})) {
        if (record.name == instance)
            return record.slots;
    }
    return {};
}

} // namespace catkinlock
