#include "catkinlock/fair_queue.h"

#include <algorithm>

namespace catkinlock {

FairQueue::FairQueue(std::size_t maxPerWorkspace)
    : maxPerWorkspace(maxPerWorkspace)
{
}

bool FairQueue::push(const std::string& workspace, std::uint32_t weight, Waiter waiter)
{
    WorkspaceQueue& queue = this->queues[workspace];
    if (queue.waiters.size() >= this->maxPerWorkspace)
        return false;
    queue.weight = weight;
    if (queue.waiters.empty()) {
        queue.credit = weight;
        this->roundRobin.push_back(workspace);
    }
    queue.waiters.push_back(waiter);
    ++this->waiterCount;
    return true;
}

std::optional<FairQueue::Waiter> FairQueue::pop(TimePoint now)
{
    while (!this->roundRobin.empty()) {
        std::string workspace = this->roundRobin.front();
        WorkspaceQueue& queue = this->queues[workspace];
        while (!queue.waiters.empty() && queue.waiters.front().deadline <= now) {
            queue.waiters.pop_front();
            --this->waiterCount;
        }
        if (queue.waiters.empty()) {
            this->roundRobin.pop_front();
            this->queues.erase(workspace);
            continue;
        }
        if (!queue.credit) {
            queue.credit = queue.weight;
            this->roundRobin.pop_front();
            this->roundRobin.push_back(workspace);
            continue;
        }
        --queue.credit;
        Waiter waiter = queue.waiters.front();
        queue.waiters.pop_front();
        --this->waiterCount;
        if (queue.waiters.empty()) {
            this->roundRobin.pop_front();
            this->queues.erase(workspace);
        }
        return waiter;
    }
    return std::nullopt;
}

void FairQueue::remove(const std::string& workspace, std::uint64_t id)
{
    auto queue = this->queues.find(workspace);
    if (queue == this->queues.end())
        return;
    auto& waiters = queue->second.waiters;
    auto found = std::find_if(waiters.begin(), waiters.end(), [id](const Waiter& waiter) { return waiter.id == id; });
    if (found == waiters.end())
        return;
    waiters.erase(found);
    --this->waiterCount;
    if (waiters.empty()) {
        std::erase(this->roundRobin, workspace);
        this->queues.erase(queue);
    }
}

} // namespace catkinlock
