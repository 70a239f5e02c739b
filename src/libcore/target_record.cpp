#include "catkinlock/target_record.h"

namespace catkinlock {

void TargetDirectory::set(const TargetRecord& record)
{
    auto [entry, added] = this->records.try_emplace(record.id, record);
    if (!added) {
        this->idsByService[entry->second.service].erase(record.id);
        entry->second = record;
    }
    this->idsByService[record.service].insert(record.id);
}

const TargetRecord* TargetDirectory::find(const std::string& id) const
{
    auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

const std::set<std::string>& TargetDirectory::idsOf(const std::string& service) const
{
    static const std::set<std::string> none;
    auto found = this->idsByService.find(service);
    return found == this->idsByService.end() ? none : found->second;
}

} // namespace catkinlock
