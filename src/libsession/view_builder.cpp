#include "libsession/view_builder.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace json = boost::json;

namespace {

    // How long a member without an entry is kept. After an outage of the store, members that are running write their
    // entries again within this time.
    constexpr Milliseconds missingMemberRetention { 2500 };

    template <typename Visit>
    void forEachUnder(const std::map<std::string, KeyValue>& values, const std::string& prefix, Visit visit)
    {
        for (auto it = values.lower_bound(prefix); it != values.end() && it->first.starts_with(prefix); ++it)
            visit(it->first.substr(prefix.size()), it->second);
    }

    std::string textOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_string() ? json::value_to<std::string>(*value) : "";
    }

    RegisteredInstance parseInstance(const std::string& text)
    {
        json::error_code error;
        json::value value = json::parse(text, error);
        const json::object* object = error ? nullptr : value.if_object();
        if (!object)
            return {};
        return { textOf(*object, "peer"), textOf(*object, "data_centre") };
    }

} // namespace

ViewBuilder::ViewBuilder(std::shared_ptr<const DocumentSource> documents)
    : documents(std::move(documents))
{
}

std::vector<std::string> ViewBuilder::takeFaults() { return std::exchange(this->faults, {}); }

void ViewBuilder::readTables(const std::map<std::string, KeyValue>& values)
{
    auto found = values.find(this->documents->tablesKey());
    if (found == values.end() || found->second.revision <= this->tablesKeyRevision)
        return;
    this->tablesKeyRevision = found->second.revision;
    auto next = this->documents->parseTables(found->second.value);
    if (!next) {
        this->faults.push_back("configuration rejected, the last valid one stays in force: " + next.error().message);
        return;
    }
    if (next->revision >= this->tables->revision)
        this->tables = std::make_shared<const Tables>(std::move(*next));
}

void ViewBuilder::readTargets(const std::map<std::string, KeyValue>& values, TimePoint now, FleetView& view)
{
    forEachUnder(values, this->documents->targetPrefix(), [&](const std::string& id, const KeyValue& entry) {
        auto target = this->documents->parseTarget(id, entry.value);
        if (target)
            view.targets[id] = *target;
        else
            this->faults.push_back(fmt::format("target entry of member {} ignored: {}", id, target.error().message));
    });
    for (const auto& [id, target] : this->lastTargets) {
        if (view.targets.count(id)) {
            this->missingSince.erase(id);
            continue;
        }
        auto since = this->missingSince.emplace(id, now).first->second;
        if (!target.draining && now - since < missingMemberRetention)
            view.targets[id] = target;
        else
            this->missingSince.erase(id);
    }
    this->lastTargets = view.targets;
}

FleetView ViewBuilder::build(const std::map<std::string, KeyValue>& values, std::int64_t revision, TimePoint now)
{
    FleetView view;
    view.serial = ++this->serial;
    view.revision = revision;
    this->readTables(values);
    view.tables = this->tables;
    this->readTargets(values, now, view);
    forEachUnder(values, groupPrefix, [&](const std::string& service, const KeyValue& entry) {
        auto record = parseGroupRecord(entry.value);
        // A record that can't be parsed shows that the fleet has agreed on a primary before, so the members' claims
        // must not be used. Until the record is readable again the group has no primary.
        GroupRecord unreadable { GroupRecord::State::Replacing, "", 0 };
        view.groups[service] = record.value_or(unreadable);
    });
    forEachUnder(values, instancePrefix,
        [&](const std::string& name, const KeyValue& entry) { view.instances[name] = parseInstance(entry.value); });
    return view;
}

} // namespace catkinlock
