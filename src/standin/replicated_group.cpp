#include "standin/replicated_group.h"

#include "standin/kv_service.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock::standin {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds replicationInterval { 10 };
    constexpr std::chrono::milliseconds heartbeatInterval { 1200 };
    // An entry expires after three intervals without a heartbeat.
    constexpr std::chrono::milliseconds entryLifetime { 3600 };
    // A former primary continues for this long once it can reach the new one.
    constexpr std::chrono::milliseconds formerPrimaryTime { 1000 };

} // namespace

ReplicatedGroup::ReplicatedGroup(
    asio::io_context& context, std::string service, std::size_t memberCount, const std::string& idPrefix)
    : context(context)
    , serviceName(std::move(service))
{
    for (std::size_t i = 0; i < memberCount; ++i)
        this->all.push_back(std::make_shared<ReplicatedMember>(context, *this, fmt::format("{}{}", idPrefix, i)));
    this->all.front()->primary = true;
}

void ReplicatedGroup::start(std::shared_ptr<KvService> service)
{
    this->store = std::move(service);
    for (const auto& member : this->all)
        member->start();
    asio::co_spawn(
        this->context, [this] { return this->runReplication(); }, asio::detached);
}

asio::awaitable<void> ReplicatedGroup::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

ReplicatedMember* ReplicatedGroup::primary() const
{
    ReplicatedMember* found = nullptr;
    for (const auto& member : this->all) {
        if (member->primary && (!found || member->term > found->term))
            found = member.get();
    }
    return found;
}

bool ReplicatedGroup::replicate(const ReplicatedMember& primary)
{
    bool received = false;
    if (primary.isSilent())
        return false;
    for (const auto& member : this->all) {
        if (member.get() == &primary || !member->receives() || member->isCutFrom(primary)
            || member->term > primary.term)
            continue;
        member->follow(primary);
        received = true;
    }
    return received;
}

asio::awaitable<void> ReplicatedGroup::runReplication()
{
    for (;;) {
        co_await this->sleepFor(replicationInterval);
        this->expireEntries();
        if (ReplicatedMember* latest = this->primary())
            this->replicate(*latest);
        for (const auto& member : this->all) {
            if (member->primary && member.get() != this->primary())
                this->replicate(*member);
        }
    }
}

void ReplicatedGroup::recordHeartbeat(const std::string& member, const std::string& entry)
{
    Heartbeat& last = this->heartbeats[member];
    auto now = std::chrono::steady_clock::now();
    bool unchanged = last.entry == entry;
    if (unchanged && now - last.at < heartbeatInterval)
        return;
    last = { now, entry };
    this->store->put("servers/" + member, entry);
}

void ReplicatedGroup::eraseEntry(const std::string& member)
{
    this->heartbeats.erase(member);
    this->store->erase("servers/" + member);
}

void ReplicatedGroup::expireEntries()
{
    auto now = std::chrono::steady_clock::now();
    for (auto it = this->heartbeats.begin(); it != this->heartbeats.end();) {
        if (now - it->second.at < entryLifetime) {
            ++it;
            continue;
        }
        this->recordEvent(fmt::format("entry of {} expires", it->first));
        this->store->erase("servers/" + it->first);
        it = this->heartbeats.erase(it);
    }
}

std::set<std::string> ReplicatedGroup::keptWrites() const
{
    std::set<std::string> kept;
    for (const auto& member : this->all) {
        for (const ReplicatedMember::Commit& commit : member->log)
            kept.insert(commit.writeIds.begin(), commit.writeIds.end());
    }
    return kept;
}

std::set<std::string> ReplicatedGroup::repeatedWrites() const
{
    std::set<std::string> repeated;
    for (const auto& member : this->all) {
        std::set<std::string> kept;
        for (const ReplicatedMember::Commit& commit : member->log) {
            for (const std::string& id : commit.writeIds) {
                if (!kept.insert(id).second)
                    repeated.insert(id);
            }
        }
    }
    return repeated;
}

std::set<std::string> ReplicatedGroup::lostWrites() const
{
    std::set<std::string> ids;
    for (const Acknowledged& acknowledged : this->acknowledgedCommits) {
        if (acknowledged.lost)
            ids.insert(acknowledged.commit.writeIds.begin(), acknowledged.commit.writeIds.end());
    }
    return ids;
}

std::chrono::milliseconds ReplicatedGroup::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->startedAt);
}

void ReplicatedGroup::recordAcknowledged(const ReplicatedMember& primary, const ReplicatedMember::Commit& commit)
{
    this->acknowledgedCommits.push_back({ primary.memberId, commit, this->now() });
    const ReplicatedMember* latest = this->primary();
    if (latest && latest->term > primary.term)
        this->checkLog(*latest);
}

void ReplicatedGroup::recordEvent(const std::string& event)
{
    this->events += fmt::format("{} ms: {}\n", this->now().count(), event);
}

void ReplicatedGroup::promote(const std::string& id)
{
    auto found = std::find_if(
        this->all.begin(), this->all.end(), [&id](const auto& member) { return member->memberId == id; });
    if (found == this->all.end() || (*found)->primary)
        return;
    this->recordEvent(fmt::format("order to promote {}", id));
    asio::co_spawn(
        this->context, [this, member = *found] { return this->lead(member); }, asio::detached);
}

void ReplicatedGroup::checkLog(const ReplicatedMember& promoted)
{
    for (Acknowledged& acknowledged : this->acknowledgedCommits) {
        const ReplicatedMember::Commit& commit = acknowledged.commit;
        bool held = std::find(promoted.log.begin(), promoted.log.end(), commit) != promoted.log.end();
        if (held || acknowledged.lost)
            continue;
        acknowledged.lost = true;
        this->recordEvent(fmt::format("the log of {} lacks {}.{}, acknowledged by {} at {} ms", promoted.memberId,
            commit.position.term, commit.position.lsn, acknowledged.member, acknowledged.at.count()));
    }
}

asio::awaitable<void> ReplicatedGroup::lead(std::shared_ptr<ReplicatedMember> target)
{
    unsigned run = target->run;
    co_await this->sleepFor(this->promotionTime);
    // A member that has restarted meanwhile does not know of the order.
    if (target->run != run)
        co_return;
    std::uint64_t term = 0;
    for (const auto& member : this->all)
        term = std::max(term, member->term + 1);
    target->primary = true;
    target->paused = false;
    target->term = term;
    ++this->promotionCount;
    this->checkLog(*target);
    Position position = target->position();
    this->recordEvent(fmt::format("{} leads term {} from {}.{}", target->memberId, term, position.term, position.lsn));
    for (const auto& member : this->all) {
        if (member == target || member->primary || member->isSilent())
            continue;
        member->paused = false;
        if (!member->deaf && !member->isCutFrom(*target))
            member->follow(*target);
    }
    co_await this->sleepFor(formerPrimaryTime);
    for (const auto& member : this->all) {
        bool deposed = member != target && member->primary && member->term < term;
        while (deposed && member->isSilent())
            co_await this->sleepFor(replicationInterval);
        if (deposed && member->term < term)
            member->primary = false;
    }
}

} // namespace catkinlock::standin
