#include "libsession/view_builder.h"

#include "catkinlock/address.h"
#include "catkinlock/store_revision.h"
#include <algorithm>
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

    // std::nullopt if a field is missing or the address is not one at which messages can be received.
    std::optional<RegisteredInstance> parseInstance(const std::string& text)
    {
        json::error_code error;
        json::value value = json::parse(text, error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* peer = object ? object->if_contains("peer") : nullptr;
        const json::value* dataCentre = object ? object->if_contains("data_centre") : nullptr;
        if (!peer || !peer->is_string() || !dataCentre || !dataCentre->is_string())
            return std::nullopt;
        RegisteredInstance instance { json::value_to<std::string>(*peer), json::value_to<std::string>(*dataCentre) };
        const json::value* cores = object->if_contains("cores");
        if (cores && cores->is_double())
            instance.cores = cores->get_double();
        return parseAddress(instance.peerAddress).port() ? std::optional(instance) : std::nullopt;
    }

    // True for the entry of an instance that has left.
    bool isLeft(const std::string& text)
    {
        json::error_code error;
        json::value value = json::parse(text, error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* left = object ? object->if_contains("left") : nullptr;
        return left && left->is_bool() && left->get_bool();
    }

    // True if `first` was written after `second`. The terms of a group's primaries only grow, and within a term a
    // record is written as Serving first, then as Replacing.
    bool isNewer(const GroupRecord& first, const GroupRecord& second)
    {
        if (first.term != second.term)
            return first.term > second.term;
        return first.state == GroupRecord::State::Replacing && second.state == GroupRecord::State::Serving;
    }

} // namespace

ViewBuilder::ViewBuilder(std::shared_ptr<const DocumentSource> documents)
    : documents(std::move(documents))
    , evacuations([source = this->documents](const std::string& text) { return source->parseEvacuation(text); })
{
}

void ViewBuilder::addFault(const KeyValue& entry, std::string text)
{
    if (std::exchange(this->reportedRevisions[entry.key], entry.revision) != entry.revision)
        this->faults.push_back(std::move(text));
}

std::vector<std::string> ViewBuilder::takeFaults() { return std::exchange(this->faults, {}); }

void ViewBuilder::readTables(const std::map<std::string, KeyValue>& values)
{
    auto found = values.find(this->documents->tablesKey());
    if (found == values.end())
        this->storedTablesVersion = 0;
    if (found == values.end() || found->second.revision <= this->tablesKeyRevision)
        return;
    this->tablesKeyRevision = found->second.revision;
    auto next = this->documents->parseTables(found->second.value);
    this->storedTablesVersion = next ? next->revision : 0;
    if (!next) {
        this->faults.push_back("configuration rejected, the last valid one stays in force: " + next.error().message);
        return;
    }
    if (next->revision >= this->tables->revision) {
        this->tables = std::make_shared<const Tables>(std::move(*next));
        this->tablesText = found->second.value;
    }
}

bool ViewBuilder::learn(const KeyValue& document)
{
    if (document.key != this->documents->tablesKey())
        return false;
    auto next = this->documents->parseTables(document.value);
    if (!next || next->revision <= this->tables->revision)
        return false;
    this->tables = std::make_shared<const Tables>(std::move(*next));
    this->tablesText = document.value;
    return true;
}

std::optional<KeyValue> ViewBuilder::lostConfiguration() const
{
    if (this->storedTablesVersion >= this->tables->revision)
        return std::nullopt;
    return KeyValue { this->documents->tablesKey(), this->tablesText, 0, false };
}

// A record of an earlier era stays in the view if it is newer than the store's.
void ViewBuilder::readGroups(const std::map<std::string, KeyValue>& values, std::int64_t revision, FleetView& view)
{
    this->recordsToWrite.clear();
    std::map<std::string, std::int64_t> storedRevisions;
    forEachUnder(values, groupPrefix, [&](const std::string& service, const KeyValue& entry) {
        // A record that can't be parsed shows that the fleet has agreed on a primary before, so the members' claims
        // must not be used. Until the record is readable again the group has no primary.
        GroupRecord unreadable { GroupRecord::State::Replacing, "", 0 };
        auto record = parseGroupRecord(entry.value);
        if (!record)
            this->addFault(entry, fmt::format("record of group {} can't be read, so it has no primary", service));
        view.groups[service] = record.value_or(unreadable);
        storedRevisions[service] = entry.revision;
    });
    for (const auto& [service, known] : this->knownRecords) {
        auto stored = view.groups.find(service);
        bool restored = known.revision < revision && !StoreRevision::sameEra(known.revision, revision);
        bool lost = restored && (stored == view.groups.end() || isNewer(known.record, stored->second));
        if (!lost)
            continue;
        view.groups[service] = known.record;
        this->recordsToWrite.push_back(
            { groupPrefix + service, writeGroupRecord(known.record), storedRevisions[service], false });
    }
    std::erase_if(this->knownRecords, [&](const auto& entry) { return !view.groups.count(entry.first); });
    for (const auto& [service, record] : view.groups) {
        bool lost = std::any_of(this->recordsToWrite.begin(), this->recordsToWrite.end(),
            [&service = service](const KeyValue& entry) { return entry.key == groupPrefix + service; });
        if (!lost)
            this->knownRecords[service] = { record, revision };
    }
}

void ViewBuilder::readTargets(const std::map<std::string, KeyValue>& values, std::int64_t revision, TimePoint now,
    TimePoint confirmedAt, FleetView& view)
{
    if (this->lastRevision && !StoreRevision::sameEra(this->lastRevision, revision))
        this->restoredRevision = revision;
    this->lastRevision = revision;
    forEachUnder(values, this->documents->targetPrefix(), [&](const std::string& id, const KeyValue& entry) {
        auto target = this->documents->parseTarget(id, entry.value);
        if (target) {
            bool mayBeOlder = entry.revision <= this->restoredRevision;
            if (target->draining)
                this->drain.recordLeaving(id, now, confirmedAt);
            else if (!mayBeOlder)
                this->drain.recordReady(id);
            target->draining = this->drain.isLeaving(id);
            view.targets.set(*target);
        } else
            this->addFault(entry, fmt::format("target entry of member {} ignored: {}", id, target.error().message));
    });
    for (const auto& [id, target] : this->lastTargets.all()) {
        if (view.targets.contains(id)) {
            this->missingSince.erase(id);
            continue;
        }
        auto since = this->missingSince.emplace(id, now).first->second;
        if (!target.draining && now - since < missingMemberRetention)
            view.targets.set(target);
        else
            this->missingSince.erase(id);
    }
    this->lastTargets = view.targets;
    this->drain.forgetOld(now);
    view.sendEnds = this->drain.sendEnds();
}

// A membership that can't be read, or that may be of an older copy of the store, lacks no run of the last view.
void ViewBuilder::readMemberships(const std::map<std::string, KeyValue>& values, FleetView& view)
{
    std::set<std::string> complete;
    std::map<std::string, std::int64_t> storedRevisions;
    forEachUnder(values, membershipPrefix, [&](const std::string& service, const KeyValue& entry) {
        storedRevisions[service] = entry.revision;
        auto membership = parseGroupMembership(entry.value);
        if (!membership)
            this->addFault(entry, fmt::format("membership of group {} can't be read", service));
        else
            view.memberships[service] = *membership;
        if (membership && entry.revision > this->restoredRevision)
            complete.insert(service);
    });
    for (const auto& [service, last] : this->lastMemberships) {
        if (complete.count(service))
            continue;
        GroupMembership& membership = view.memberships[service];
        GroupMembership stored = membership;
        membership.runs.insert(last.runs.begin(), last.runs.end());
        membership.isComplete = membership.isComplete || last.isComplete;
        if (membership != stored)
            this->recordsToWrite.push_back(
                { membershipPrefix + service, writeGroupMembership(membership), storedRevisions[service], false });
    }
    this->lastMemberships = view.memberships;
}

void ViewBuilder::readInstances(const std::map<std::string, KeyValue>& values, FleetView& view)
{
    std::map<std::string, InstanceEntry> entries;
    forEachUnder(values, instancePrefix, [&](const std::string& name, const KeyValue& entry) {
        auto last = this->lastInstances.find(name);
        bool known = last != this->lastInstances.end();
        // Most entries are those of the last view, and parsing takes most of the time.
        if (known && last->second.text == entry.value) {
            entries[name] = last->second;
            return;
        }
        if (auto instance = parseInstance(entry.value)) {
            entries[name] = { entry.value, *instance };
        } else if (isLeft(entry.value)) {
            view.leftInstances.insert(name);
        } else {
            this->addFault(entry, fmt::format("entry of instance {} can't be read", name));
            if (known)
                entries[name] = last->second;
        }
    });
    for (const auto& [name, entry] : entries)
        view.instances.emplace_hint(view.instances.end(), name, entry.instance);
    this->lastInstances = std::move(entries);
}

// Takes the data centres of the view's members, so these have to be read before.
void ViewBuilder::readEvacuations(const std::map<std::string, KeyValue>& values, std::int64_t revision, FleetView& view)
{
    std::map<std::string, KeyValue> entries;
    forEachUnder(values, this->documents->evacuationPrefix(),
        [&entries](const std::string& dataCentre, const KeyValue& entry) { entries[dataCentre] = entry; });
    std::set<std::string> memberDataCentres;
    for (const auto& [id, target] : view.targets.all())
        memberDataCentres.insert(target.dataCentre);
    view.evacuated = this->evacuations.update(entries, memberDataCentres, revision);
}

FleetView ViewBuilder::build(
    const std::map<std::string, KeyValue>& values, std::int64_t revision, TimePoint now, TimePoint confirmedAt)
{
    FleetView view;
    view.serial = ++this->serial;
    view.revision = revision;
    this->readTables(values);
    view.tables = this->tables;
    this->readTargets(values, revision, now, confirmedAt, view);
    this->readEvacuations(values, revision, view);
    this->readGroups(values, revision, view);
    this->readMemberships(values, view);
    this->readInstances(values, view);
    std::erase_if(this->reportedRevisions, [&values](const auto& reported) { return !values.count(reported.first); });
    return view;
}

} // namespace catkinlock
