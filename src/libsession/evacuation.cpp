#include "libsession/evacuation.h"

#include "catkinlock/store_revision.h"
#include <utility>

namespace catkinlock {

EvacuationTracker::EvacuationTracker(Parse parse)
    : parse(std::move(parse))
{
}

std::set<std::string> EvacuationTracker::update(const std::map<std::string, KeyValue>& entries,
    const std::set<std::string>& memberDataCentres, std::int64_t revision)
{
    for (const auto& [dataCentre, entry] : entries)
        this->readEntry(dataCentre, entry, memberDataCentres.count(dataCentre) != 0, revision);
    this->dropRemoved(entries, revision);
    std::set<std::string> evacuated;
    for (const auto& [dataCentre, request] : this->requests) {
        if (request.hasBegun)
            evacuated.insert(dataCentre);
    }
    return evacuated;
}

std::vector<EvacuationEvent> EvacuationTracker::takeEvents() { return std::exchange(this->events, {}); }

void EvacuationTracker::reject(const std::string& dataCentre, std::string reason)
{
    this->events.push_back({ EvacuationEvent::Kind::Rejected, dataCentre, std::move(reason) });
}

// Why the entry requests no evacuation; empty if it does.
std::string EvacuationTracker::problemOf(const std::string& dataCentre, const std::string& value) const
{
    // Members whose entries name no data centre are in none that can be evacuated.
    if (dataCentre.empty())
        return "names no data centre";
    auto parsed = this->parse(value);
    return parsed ? "" : parsed.error().message;
}

// A valid entry that is overwritten by one that can't be read stays in force.
void EvacuationTracker::readEntry(
    const std::string& dataCentre, const KeyValue& entry, bool isListed, std::int64_t revision)
{
    Request& request = this->requests[dataCentre];
    request.seenAt = revision;
    bool isNew = std::exchange(request.entryRevision, entry.revision) != entry.revision;
    std::string problem;
    if (isNew) {
        problem = this->problemOf(dataCentre, entry.value);
        request.isValid = request.isValid || problem.empty();
    }
    if (!problem.empty())
        this->reject(dataCentre, problem);
    if (!request.isValid || request.hasBegun)
        return;
    if (isListed) {
        request.hasBegun = true;
        this->events.push_back({ EvacuationEvent::Kind::Begun, dataCentre, "" });
    } else if (isNew && problem.empty())
        this->reject(dataCentre, "no member is listed in this data centre");
}

void EvacuationTracker::dropRemoved(const std::map<std::string, KeyValue>& entries, std::int64_t revision)
{
    for (auto it = this->requests.begin(); it != this->requests.end();) {
        const auto& [dataCentre, request] = *it;
        bool isLost = request.hasBegun && !StoreRevision::sameEra(request.seenAt, revision);
        if (entries.count(dataCentre) || isLost) {
            ++it;
            continue;
        }
        if (request.hasBegun)
            this->events.push_back({ EvacuationEvent::Kind::Ended, dataCentre, "" });
        it = this->requests.erase(it);
    }
}

} // namespace catkinlock
