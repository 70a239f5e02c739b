#include "libsession/store_copy.h"

#include "catkinlock/store_revision.h"
#include <algorithm>

namespace catkinlock {

bool StoreCopy::replace(KeyRange range)
{
    bool earlier = range.revision < this->copyRevision && !StoreRevision::sameEra(range.revision, this->copyRevision);
    if (earlier)
        return false;
    this->copy.clear();
    for (KeyValue& value : range.values)
        this->copy[value.key] = std::move(value);
    this->copyRevision = range.revision;
    return true;
}

StoreCopy::Merge StoreCopy::apply(const KeyChanges& response)
{
    if (response.historyLost)
        return Merge::ReadAgain;
    if (!StoreRevision::sameEra(response.revision, this->copyRevision))
        return response.revision < this->copyRevision ? Merge::Ignored : Merge::ReadAgain;
    bool changed = false;
    for (const KeyValue& change : response.changes) {
        if (change.revision > this->copyRevision)
            changed = this->applyChange(change) || changed;
    }
    this->copyRevision = std::max(this->copyRevision, response.revision);
    return changed ? Merge::Changed : Merge::Confirmed;
}

bool StoreCopy::applyChange(const KeyValue& change)
{
    auto held = this->copy.find(change.key);
    if (held != this->copy.end() && held->second.revision >= change.revision)
        return false;
    if (!change.deleted)
        this->copy[change.key] = change;
    else if (held != this->copy.end())
        this->copy.erase(held);
    return true;
}

} // namespace catkinlock
