#include "libsession/change_log.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace catkinlock {

namespace {

    constexpr std::size_t mostChanges = 2048;
    // A follower that misses more than this reads the store afresh.
    constexpr std::size_t mostBytes = 4 << 20;

} // namespace

void ChangeLog::restart(std::int64_t revision)
{
    this->changes.clear();
    this->first = revision;
    this->last = revision;
}

void ChangeLog::append(const std::vector<KeyValue>& next, std::int64_t revision)
{
    for (const KeyValue& change : next) {
        if (change.revision > this->last)
            this->changes.push_back(change);
    }
    this->last = std::max(this->last, revision);
    std::size_t bytes = 0;
    for (const KeyValue& change : this->changes)
        bytes += change.key.size() + change.value.size();
    while (!this->changes.empty() && (this->changes.size() > mostChanges || bytes > mostBytes)) {
        bytes -= this->changes.front().key.size() + this->changes.front().value.size();
        this->first = this->changes.front().revision;
        this->changes.pop_front();
    }
}

std::optional<std::vector<KeyValue>> ChangeLog::since(std::int64_t after) const
{
    if (after < this->first)
        return std::nullopt;
    std::vector<KeyValue> found;
    std::set<std::string_view> told;
    for (auto it = this->changes.rbegin(); it != this->changes.rend() && it->revision > after; ++it) {
        if (told.insert(it->key).second)
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

} // namespace catkinlock
