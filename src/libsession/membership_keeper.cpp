#include "libsession/membership_keeper.h"

#include "catkinlock/log.h"
#include "libsession/member_commands.h"
#include "libsession/spawn.h"
#include "libsession/view_builder.h"

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // An instance changes a membership only after a change was due for this long per instance before it in the order.
    constexpr Milliseconds rankDelay { 2000 };
    // Between two attempts of this instance to change one membership.
    constexpr Milliseconds attemptInterval { 1000 };

    std::string idsOf(const std::set<MemberRun>& runs)
    {
        std::string ids;
        for (const MemberRun& run : runs)
            ids += run.id + " ";
        return ids;
    }

    TargetRecord targetOf(const MemberRun& run, const std::string& service)
    {
        TargetRecord target;
        target.id = run.id;
        target.service = service;
        target.address = run.address;
        target.startedAt = run.startedAt;
        return target;
    }

} // namespace

MembershipKeeper::MembershipKeeper(asio::io_context& context, Parts parts)
    : context(context)
    , parts(std::move(parts))
    , members(std::make_shared<MemberCommands>(context, this->parts.targets))
{
}

bool MembershipKeeper::isDue(const std::string& service, const FleetView& view, TimePoint now, TimePoint confirmedAt)
{
    GroupWatch& watch = this->watches[service];
    auto members = view.membersOf(service);
    auto known = view.memberships.find(service);
    GroupMembership membership = known == view.memberships.end() ? GroupMembership() : known->second;
    watch.absent.observe(membership, members, now);
    watch.observation.record(membership, members, confirmedAt);
    bool completes = !membership.isComplete && watch.observation.isComplete();
    bool differs = completes || !watch.absent.since().empty() || !runsToAdd(membership, members).empty();
    if (!differs || members.empty()) {
        watch.differsSince = TimePoint();
        return false;
    }
    if (watch.differsSince == TimePoint())
        watch.differsSince = now;
    auto rank = static_cast<int>(view.rankOf(this->parts.instance, service));
    return !watch.changing && now >= watch.nextAttemptAt && now - watch.differsSince >= rankDelay * rank;
}

void MembershipKeeper::check(TimePoint now, TimePoint confirmedAt)
{
    auto view = this->parts.view->read();
    for (const auto& [service, pool] : view->tables->pools) {
        if (!this->isDue(service, *view, now, confirmedAt))
            continue;
        this->watches[service].changing = true;
        spawn(this->context, [self = this->shared_from_this(), service = service] { return self->change(service); });
    }
}

asio::awaitable<void> MembershipKeeper::change(std::string service)
{
    auto self = this->shared_from_this();
    co_await this->addOrRemove(service);
    GroupWatch& watch = this->watches[service];
    watch.changing = false;
    watch.nextAttemptAt = Clock::now() + attemptInterval;
}

// Additions and the runs that these continue go first: a run that may hold commits has to be known at once, and one
// that has ended can wait.
asio::awaitable<void> MembershipKeeper::addOrRemove(std::string service)
{
    auto self = this->shared_from_this();
    auto stored = co_await this->readStored(service);
    if (!stored)
        co_return;
    GroupMembership next = nextMembership(
        stored->membership, this->parts.view->read()->membersOf(service), this->watches[service].observation);
    if (next != stored->membership) {
        co_await this->write(service, *stored, next);
        co_return;
    }
    auto ended = co_await this->endedRuns(service, stored->membership);
    if (ended.empty())
        co_return;
    bool covered = co_await this->isCovered(service);
    if (!covered)
        co_return;
    for (const MemberRun& run : ended)
        next.runs.erase(run);
    co_await this->write(service, *stored, next);
}

// std::nullopt if the store did not reply, or has a membership that can't be read.
asio::awaitable<std::optional<MembershipKeeper::StoredMembership>> MembershipKeeper::readStored(std::string service)
{
    auto found = co_await this->parts.store->read(membershipPrefix + service);
    if (!found)
        co_return std::nullopt;
    if (!*found)
        co_return StoredMembership {};
    auto membership = parseGroupMembership((*found)->value);
    if (!membership)
        co_return std::nullopt;
    co_return StoredMembership { std::move(*membership), (*found)->revision };
}

// The runs of the membership that have ended: they are without an entry, and a later run has their id or address,
// nothing accepts connections there, or they have not responded for long.
asio::awaitable<std::set<MemberRun>> MembershipKeeper::endedRuns(std::string service, GroupMembership membership)
{
    auto self = this->shared_from_this();
    auto view = this->parts.view->read();
    AbsentRuns& absent = this->watches[service].absent;
    absent.observe(membership, view->membersOf(service), Clock::now());
    std::set<MemberRun> ended;
    // A copy, because the runs are observed again while this waits for replies.
    auto absentSince = absent.since();
    for (const auto& [run, since] : absentSince) {
        bool hasEnded = isSucceeded(run, view->targets);
        if (!hasEnded) {
            MemberCommands::Presence presence = co_await this->members->probe(targetOf(run, service));
            bool isLongAbsent = Clock::now() - since >= absenceLimit;
            hasEnded = presence == MemberCommands::Presence::Ended
                || (presence == MemberCommands::Presence::Silent && isLongAbsent);
        }
        if (hasEnded)
            ended.insert(run);
    }
    co_return ended;
}

// True if the members that are listed hold every acknowledged commit, under a primary that is not being replaced.
asio::awaitable<bool> MembershipKeeper::isCovered(std::string service)
{
    auto self = this->shared_from_this();
    MemberReports replies;
    replies.earlier = co_await this->reports(service);
    replies.later = co_await this->reports(service);
    // The record is read last: if it still names the primary, no other had been promoted when the reports were sent.
    auto stored = co_await this->parts.store->read(groupPrefix + service);
    if (!stored)
        co_return false;
    auto view = this->parts.view->read();
    auto inUse = view->primaryOf(service);
    if (!inUse)
        co_return false;
    std::string primary = inUse->id;
    std::uint64_t term = 0;
    if (*stored) {
        auto record = parseGroupRecord((*stored)->value);
        if (!record || record->state != GroupRecord::State::Serving || record->primary != primary)
            co_return false;
        term = record->term;
    }
    co_return haveEveryCommit(replies, primary, term, view->syncReplicasOf(service));
}

asio::awaitable<std::map<std::string, MemberReport>> MembershipKeeper::reports(std::string service)
{
    auto self = this->shared_from_this();
    auto candidates = co_await this->members->reports(this->parts.view->read()->membersOf(service), "");
    std::map<std::string, MemberReport> byId;
    for (const PromotionCandidate& candidate : candidates) {
        if (candidate.report.term)
            byId[candidate.id] = candidate.report;
    }
    co_return byId;
}

asio::awaitable<void> MembershipKeeper::write(std::string service, StoredMembership before, GroupMembership next)
{
    auto self = this->shared_from_this();
    auto swapped
        = co_await this->parts.store->swap(membershipPrefix + service, before.revision, writeGroupMembership(next), 0);
    std::set<MemberRun> added;
    std::set<MemberRun> removed;
    std::set_difference(next.runs.begin(), next.runs.end(), before.membership.runs.begin(),
        before.membership.runs.end(), std::inserter(added, added.end()));
    std::set_difference(before.membership.runs.begin(), before.membership.runs.end(), next.runs.begin(),
        next.runs.end(), std::inserter(removed, removed.end()));
    writeLog(LogLevel::Info, "membership_changed",
        { { "service", service }, { "added", idsOf(added) }, { "removed", idsOf(removed) },
            { "complete", next.isComplete ? "true" : "false" },
            { "outcome", swapped && swapped->swapped ? "written" : "not_written" } });
}

} // namespace catkinlock
