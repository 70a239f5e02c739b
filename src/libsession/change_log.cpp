#include "libsession/change_log.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace catkinlock {

namespace {

    // Limits of the log. A follower that is further behind reads the whole store instead.
    constexpr std::size_t maxChanges = 2048;
    constexpr std::size_t maxBytes = 4 << 20;

} // namespace

void ChangeLog::restart(std::int64_t revision)
{
    this->changes.clear();
    this->startRevision = revision;
    this->lastRevision = revision;
}

void ChangeLog::append(const std::vector<KeyValue>& next, std::int64_t revision)
{
    for (const KeyValue& change : next) {
        if (change.revision > this->lastRevision)
            this->changes.push_back(change);
    }
    this->lastRevision = std::max(this->lastRevision, revision);
    std::size_t bytes = 0;
    for (const KeyValue& change : this->changes)
        bytes += change.key.size() + change.value.size();
    while (!this->changes.empty() && (this->changes.size() > maxChanges || bytes > maxBytes)) {
        bytes -= this->changes.front().key.size() + this->changes.front().value.size();
        this->startRevision = this->changes.front().revision;
        this->changes.pop_front();
    }
}

std::optional<std::vector<KeyValue>> ChangeLog::since(std::int64_t after) const
{
    if (after < this->startRevision)
        return std::nullopt;
    // Walks from the newest change to the oldest, so that only the latest change of each key is reported.
    std::vector<KeyValue> found;
    std::set<std::string_view> reportedKeys;
    for (auto it = this->changes.rbegin(); it != this->changes.rend() && it->revision > after; ++it) {
        if (reportedKeys.insert(it->key).second)
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

} // namespace catkinlock
