#include "libsession/member_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinlock {

namespace {

    // While lower priorities wait, one of this many places is given to the statement of theirs that has waited longest.
    constexpr unsigned placesPerLowerPriority = 8;
    // Part of the places that one workspace may hold while others wait.
    constexpr std::size_t workspaceDivisor = 2;

    // A wait is tried if it is expected to take at most this part of the time allowed: waits vary, and a refusal at
    // once is better for the caller than one at the end of the wait.
    constexpr double maxExpectedPart = 0.75;
    // Weight of a statement in the averages of its priority, from 0 to 1.
    constexpr double waitWeight = 0.05;
    // Bounds the effect of the averages.
    constexpr double maxCorrection = 8;
    // The averages lose their effect within about this time without new waits. If all statements of a priority are
    // refused, nothing else shows that waits have become shorter.
    constexpr double correctionSeconds = 0.5;

    std::pair<std::uint32_t, TimePoint> orderOf(const QueuedStatement& statement)
    {
        return { statement.priority, statement.rank };
    }

    bool isBefore(const MemberQueue::Item& left, const MemberQueue::Item& right)
    {
        return orderOf(*left) < orderOf(*right);
    }

} // namespace

void MemberQueue::add(Item item)
{
    auto position = std::upper_bound(this->items.begin(), this->items.end(), item, isBefore);
    this->items.insert(position, std::move(item));
}

void MemberQueue::remove(const Item& item)
{
    auto found = std::find(this->items.begin(), this->items.end(), item);
    if (found != this->items.end())
        this->items.erase(found);
}

std::size_t MemberQueue::sizeOf(const std::string& workspace) const
{
    return static_cast<std::size_t>(std::count_if(this->items.begin(), this->items.end(),
        [&workspace](const Item& item) { return item->workspace == workspace; }));
}

MemberQueue::Item MemberQueue::frontOf(const std::string& workspace) const
{
    auto found = std::find_if(this->items.begin(), this->items.end(),
        [&workspace](const Item& item) { return item->workspace == workspace; });
    return found == this->items.end() ? nullptr : *found;
}

MemberQueue::Item MemberQueue::oldestOfLowerPriority(const std::function<bool(const Item&)>& accepts) const
{
    Item oldest;
    for (const Item& item : this->items) {
        bool lower = item->priority > this->items.front()->priority;
        if (lower && (!oldest || item->since < oldest->since) && accepts(item))
            oldest = item;
    }
    return oldest;
}

MemberQueue::Item MemberQueue::next(
    std::size_t places, const Held& held, const std::function<bool(const QueuedStatement&)>& canServe) const
{
    std::size_t maxOfWorkspace = std::max<std::size_t>(places / workspaceDivisor, 1);
    auto accepts = [&](const Item& item) {
        auto used = held.find(item->workspace);
        return (used == held.end() || used->second < maxOfWorkspace) && canServe(*item);
    };
    if (this->givenToHighest + 1 >= placesPerLowerPriority) {
        if (Item item = this->oldestOfLowerPriority(accepts))
            return item;
    }
    auto found = std::find_if(this->items.begin(), this->items.end(), accepts);
    // Workspaces at their bound use the places that no other can use.
    if (found == this->items.end())
        found = std::find_if(
            this->items.begin(), this->items.end(), [&canServe](const Item& item) { return canServe(*item); });
    return found == this->items.end() ? nullptr : *found;
}

void MemberQueue::take(const Item& item, TimePoint now)
{
    this->recordWait(*item, now);
    bool lower = item->priority > this->items.front()->priority;
    bool lowerWaits = this->items.back()->priority > item->priority;
    if (lower)
        this->givenToHighest = 0;
    else if (lowerWaits)
        this->givenToHighest = std::min(this->givenToHighest + 1, placesPerLowerPriority);
    this->remove(item);
}

void MemberQueue::expire(const Item& item, TimePoint now)
{
    if (std::find(this->items.begin(), this->items.end(), item) == this->items.end())
        return;
    this->recordWait(*item, now);
    this->remove(item);
}

// The wait of a statement that got no place counts as one that ended then, although it would have taken longer.
void MemberQueue::recordWait(const QueuedStatement& statement, TimePoint now)
{
    // It waited for a connection only.
    if (statement.expectedWait == Duration(0))
        return;
    Waits& waits = this->waitsByPriority[statement.priority];
    double expectedMs = std::chrono::duration<double, std::milli>(statement.expectedWait).count();
    double actualMs = std::chrono::duration<double, std::milli>(now - statement.since).count();
    waits.expectedMs += waitWeight * (expectedMs - waits.expectedMs);
    waits.actualMs += waitWeight * (actualMs - waits.actualMs);
    waits.recordedAt = now;
}

std::size_t MemberQueue::countBefore(std::uint32_t priority, TimePoint rank) const
{
    QueuedStatement statement { "", priority, {}, rank, {} };
    return static_cast<std::size_t>(std::count_if(this->items.begin(), this->items.end(),
        [&statement](const Item& item) { return orderOf(*item) <= orderOf(statement); }));
}

Duration MemberQueue::expectedWait(std::size_t before, std::size_t places, Duration held)
{
    // While all places are in use, one of them becomes free every `held` / `places` on average.
    return held * static_cast<std::int64_t>(before + 1) / static_cast<std::int64_t>(std::max<std::size_t>(places, 1));
}

// Statements of higher priorities that arrive later, the share of lower ones and transactions, which don't wait for the
// places of their later statements, make waits longer than the queue alone shows.
bool MemberQueue::isServedInTime(const QueuedStatement& statement, Duration wait, TimePoint now) const
{
    double correction = 1;
    auto waits = this->waitsByPriority.find(statement.priority);
    if (waits != this->waitsByPriority.end() && waits->second.expectedMs > 0) {
        double seconds = std::chrono::duration<double>(now - waits->second.recordedAt).count();
        correction = std::clamp(waits->second.actualMs / waits->second.expectedMs, 1.0, maxCorrection);
        correction = 1 + (correction - 1) * std::exp(-seconds / correctionSeconds);
    }
    return std::chrono::duration<double>(statement.expectedWait).count() * correction
        <= std::chrono::duration<double>(wait).count() * maxExpectedPart;
}

} // namespace catkinlock
