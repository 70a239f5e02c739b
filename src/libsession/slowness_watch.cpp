#include "libsession/slowness_watch.h"

namespace catkinlock {

namespace {

    // A member counts as slow from the first bound on, and as recovered below the second one.
    constexpr double slowFrom = 2;
    constexpr double recoveredBelow = 1.4;
    // A change counts once it has lasted for this long, since a few long statements in a row look like one.
    constexpr Milliseconds minDuration { 1000 };

} // namespace

std::optional<bool> SlownessWatch::record(const std::string& id, double slowness, TimePoint now)
{
    Member& member = this->members[id];
    bool changes = member.slow ? slowness < recoveredBelow : slowness >= slowFrom;
    if (changes && !member.changing)
        member.since = now;
    member.changing = changes;
    if (!changes || now - member.since < minDuration)
        return std::nullopt;
    member.slow = !member.slow;
    member.changing = false;
    return member.slow;
}

void SlownessWatch::keepOnly(const std::set<std::string>& kept)
{
    for (auto it = this->members.begin(); it != this->members.end();)
        it = kept.count(it->first) ? std::next(it) : this->members.erase(it);
}

} // namespace catkinlock
