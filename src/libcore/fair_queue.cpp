#include "catkinlock/fair_queue.h"

#include <algorithm>

namespace catkinlock {

FairQueue::FairQueue(std::size_t mostPerWorkspace)
    : mostPerWorkspace(mostPerWorkspace)
{
}

bool FairQueue::push(const std::string& workspace, std::uint32_t weight, Waiter waiter)
{
    Line& line = this->lines[workspace];
    if (line.waiters.size() >= this->mostPerWorkspace)
        return false;
    line.weight = weight;
    if (line.waiters.empty()) {
        line.credit = weight;
        this->round.push_back(workspace);
    }
    line.waiters.push_back(waiter);
    ++this->waiting;
    return true;
}

std::optional<FairQueue::Waiter> FairQueue::pop(TimePoint now)
{
    while (!this->round.empty()) {
        std::string workspace = this->round.front();
        Line& line = this->lines[workspace];
        while (!line.waiters.empty() && line.waiters.front().deadline <= now) {
            line.waiters.pop_front();
            --this->waiting;
        }
        if (line.waiters.empty()) {
            this->round.pop_front();
            this->lines.erase(workspace);
            continue;
        }
        if (!line.credit) {
            line.credit = line.weight;
            this->round.pop_front();
            this->round.push_back(workspace);
            continue;
        }
        --line.credit;
        Waiter waiter = line.waiters.front();
        line.waiters.pop_front();
        --this->waiting;
        if (line.waiters.empty()) {
            this->round.pop_front();
            this->lines.erase(workspace);
        }
        return waiter;
    }
    return std::nullopt;
}

void FairQueue::remove(const std::string& workspace, std::uint64_t id)
{
    auto line = this->lines.find(workspace);
    if (line == this->lines.end())
        return;
    auto& waiters = line->second.waiters;
    auto found = std::find_if(waiters.begin(), waiters.end(), [id](const Waiter& waiter) { return waiter.id == id; });
    if (found == waiters.end())
        return;
    waiters.erase(found);
    --this->waiting;
    if (waiters.empty()) {
        std::erase(this->round, workspace);
        this->lines.erase(line);
    }
}

} // namespace catkinlock
