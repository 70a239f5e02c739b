#include "libsession/replacement.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_link.h"
#include "catkinlock/promotion_service.h"
#include "libsession/leader_lease.h"
#include "libsession/member_commands.h"
#include "libsession/membership_change.h"
#include "libsession/replacement_decision.h"
#include "libsession/spawn.h"
#include "libsession/view_builder.h"
#include "peer.pb.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Between two rounds of fencing, and between two checks of the peers' views.
    constexpr Milliseconds stepInterval { 60 };
    // A peer replies once its view is recent enough. After this time a reply or its query counts as lost.
    constexpr Milliseconds viewQueryInterval { 500 };
    // Queries are sent in portions, with a pause after each, since the link drops what it holds for the least recently
    // used of several hundred peers.
    constexpr std::size_t viewQueryPortion = 128;
    constexpr Milliseconds viewQueryPause { 20 };
    // Between two status requests to a member that is being promoted.
    constexpr Milliseconds leadershipPollInterval { 80 };
    // After this time without a member that can be promoted safely, the instance gives up and another one may try.
    constexpr Milliseconds selectionTimeout { 12000 };
    // Longest wait for a promoted member to report that it is the primary.
    constexpr Milliseconds leadershipTimeout { 4000 };
    // Added to the maximum age of a view, because a request that was just past the age check still uses it.
    constexpr Milliseconds viewAgeMargin { 150 };
    // In a planned handover the replicas are not paused for this many rounds of fencing, so that they can receive the
    // rest of the old primary's log.
    constexpr unsigned roundsBeforePause = 3;
    // If no other member can be promoted safely for this long, a former primary whose writes got no reply, or that is
    // draining, may be promoted again, since it has stepped down by then and its replicas can't get its log otherwise.
    constexpr Milliseconds avoidFormerPrimaryFor { 1500 };

    // A leaving member that was promoted steps down after this time, also if no other one has received its log.
    constexpr Milliseconds catchUpTimeout { 1500 };

    std::string text(std::int64_t number) { return fmt::format("{}", number); }

    // The members with their roles and log positions, for the log.
    std::string describe(const std::vector<PromotionCandidate>& candidates)
    {
        std::string summary;
        for (const PromotionCandidate& candidate : candidates) {
            const MemberReport& report = candidate.report;
            std::string remarks;
            remarks += report.primary ? "(primary)" : "";
            remarks += report.term ? "" : "(no reply)";
            remarks += candidate.fenced ? "" : "(not fenced)";
            remarks += candidate.hasEveryCommit ? "(in use)" : "";
            summary += fmt::format("{}{}:{}.{} in {} held {} ", candidate.id, remarks, report.received.term,
                report.received.lsn, report.term, report.fencedTerm);
        }
        return summary;
    }

} // namespace

GroupReplacer::GroupReplacer(asio::io_context& context, Parts parts)
    : context(context)
    , parts(std::move(parts))
    , members(std::make_shared<MemberCommands>(context, this->parts.targets))
    , viewUsers(this->parts.maxViewAge + viewAgeMargin, this->parts.registrationTime)
{
}

asio::awaitable<void> GroupReplacer::sleepFor(Milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void GroupReplacer::updateAcknowledged(std::map<std::string, Position> highest)
{
    this->acknowledged = std::move(highest);
}

void GroupReplacer::recordViewRevision(const std::string& sender, std::int64_t revision)
{
    this->viewUsers.recordRevision(sender, revision);
}

void GroupReplacer::recordView(const FleetView& view, TimePoint confirmedAt, TimePoint now)
{
    this->viewUsers.recordView(view, confirmedAt, now);
}

asio::awaitable<bool> GroupReplacer::confirm(ReplacementDecision decision)
{
    auto self = this->shared_from_this();
    bool isReplacing = decision.record && decision.record->state == GroupRecord::State::Replacing;
    if (decision.planned || decision.requested || isReplacing || decision.primary.empty())
        co_return true;
    auto listed = this->parts.view->read()->promotionMembersOf(decision.service);
    auto reports = co_await this->members->reports(listed, decision.primary);
    bool responds = std::any_of(reports.begin(), reports.end(), [&decision](const PromotionCandidate& member) {
        return member.id == decision.primary && member.report.primary;
    });
    if (!responds || (decision.lostWrites && this->otherMemberCanLead(decision, listed, reports)))
        co_return true;
    writeLog(LogLevel::Info, decision.lostWrites ? "no_other_member_can_lead" : "primary_answers",
        { { "service", decision.service }, { "primary", decision.primary }, { "members", describe(reports) } });
    co_return false;
}

// False also if the lease was lost and acquired again since, because another instance may have acted in between.
bool GroupReplacer::mayAct(const ReplacementDecision& decision) const
{
    const LeaderTenure& tenure = this->parts.leaderLease->tenure();
    return tenure.fencingToken() == decision.fencingToken && tenure.mayAct(Clock::now());
}

// Passed along with what is sent for the decision, to be asked once nothing is left to wait for.
std::function<bool()> GroupReplacer::guardOf(const ReplacementDecision& decision)
{
    return [self = this->shared_from_this(), decision] { return self->mayAct(decision); };
}

asio::awaitable<PlatformResult<std::optional<KeyValue>>> GroupReplacer::readRecord(std::string service)
{
    return this->parts.store->read(groupPrefix + service);
}

// The group's membership; std::nullopt if the store has none that can be read.
asio::awaitable<std::optional<GroupMembership>> GroupReplacer::readMembership(std::string service)
{
    auto stored = co_await this->parts.store->read(membershipPrefix + service);
    if (!stored || !*stored)
        co_return std::nullopt;
    co_return parseGroupMembership((*stored)->value);
}

// Replaces the group's record if its revision is `expected`. Returns the revision of the new record, or 0 if it could
// not be written.
asio::awaitable<std::int64_t> GroupReplacer::writeRecord(std::string service, std::int64_t expected, GroupRecord record)
{
    std::string value = writeGroupRecord(record);
    auto swapped = co_await this->parts.store->swap(groupPrefix + service, expected, value, 0);
    if (swapped)
        co_return swapped->swapped ? swapped->revision : 0;
    // The call failed, so the write may or may not have taken effect; read the key to find out.
    auto after = co_await this->readRecord(service);
    if (after && *after && (*after)->value == value && (*after)->revision > expected)
        co_return (*after)->revision;
    co_return 0;
}

// Requests the promotion of a member from the platform. Returns true if it was accepted.
asio::awaitable<bool> GroupReplacer::promote(ReplacementDecision decision, std::string id)
{
    bool covered = co_await this->parts.leaderLease->prepareOrder();
    if (!covered || !this->mayAct(decision))
        co_return false;
    PromotionRequest request;
    request.service = decision.service;
    request.target = id;
    request.holder = this->parts.instance;
    request.fencingToken = decision.fencingToken;
    auto mayAct = this->guardOf(decision);
    auto accepted = co_await this->parts.promotions->promote(request, std::move(mayAct));
    // An order that certainly did not run begins no tenure, so that another instance may try.
    if (accepted || accepted.error().mayHaveRun)
        this->parts.leaderLease->recordOrder(Clock::now());
    writeLog(LogLevel::Info, "promotion_ordered",
        { { "service", request.service }, { "member", id }, { "fencing_token", text(request.fencingToken) },
            { "outcome", accepted ? (*accepted ? "accepted" : "conflict") : accepted.error().message } });
    co_return accepted&&* accepted;
}

// Waits until the member reports that it is the primary of a term above `oldTerm`. Returns that term, or 0 if it did
// not happen in time.
asio::awaitable<std::uint64_t> GroupReplacer::awaitLeadership(TargetRecord target, std::uint64_t oldTerm)
{
    TimePoint deadline = Clock::now() + leadershipTimeout;
    while (Clock::now() < deadline) {
        TargetCommand status;
        auto report = co_await this->members->send(target, status);
        if (report && report->primary && report->term > oldTerm)
            co_return report->term;
        co_await this->parts.leaderLease->renewIfNeeded();
        co_await this->sleepFor(leadershipPollInterval);
    }
    co_return 0;
}

// True if no instance uses a view from before the mark.
bool GroupReplacer::haveAllViews(const Mark& mark) const
{
    TimePoint now = Clock::now();
    return now >= mark.writtenAt + this->parts.maxViewAge + viewAgeMargin
        || this->viewUsers.allHave(mark.revision, this->parts.instance, now);
}

// Asks instances to report their views, until none uses one from before the mark.
asio::awaitable<void> GroupReplacer::queryViews(Mark mark)
{
    auto self = this->shared_from_this();
    while (!this->haveAllViews(mark)) {
        auto behind = this->viewUsers.behind(mark.revision, this->parts.instance, Clock::now());
        for (std::size_t i = 0; i < behind.size(); ++i) {
            if (i && i % viewQueryPortion == 0)
                co_await this->sleepFor(viewQueryPause);
            wire::Envelope envelope;
            envelope.mutable_view_query()->set_revision(mark.revision);
            this->parts.link->send(behind[i], envelope);
        }
        co_await this->sleepFor(viewQueryInterval);
    }
}

// Waits until no instance uses a view from before the mark, or this one may no longer act.
asio::awaitable<void> GroupReplacer::awaitViews(ReplacementDecision decision, Mark mark)
{
    auto self = this->shared_from_this();
    while (!this->haveAllViews(mark) && this->mayAct(decision)) {
        co_await this->parts.leaderLease->renewIfNeeded();
        co_await this->sleepFor(stepInterval);
    }
}

// Fences the members, repeatedly if necessary, until one can be promoted without losing an acknowledged commit, or one
// has been promoted already. Returns std::nullopt if there is none before the time-out or the end of the leader lease.
asio::awaitable<std::optional<GroupReplacer::NewPrimary>> GroupReplacer::selectNewPrimary(
    ReplacementDecision decision, GroupRecord old, GroupMembership membership)
{
    auto self = this->shared_from_this();
    TimePoint start = Clock::now();
    TimePoint deadline = start + selectionTimeout;
    NewPrimary selected;
    selected.oldTerm = old.term;
    unsigned rounds = 0;
    while (Clock::now() < deadline) {
        auto view = this->parts.view->read();
        bool pauseAll = !decision.planned || rounds >= roundsBeforePause;
        ++rounds;
        auto listed = view->promotionMembersOf(decision.service);
        auto mayAct = this->guardOf(decision);
        auto candidates = co_await this->members->fence(listed, old, pauseAll, std::move(mayAct));
        auto promoted = findPromoted(candidates, old);
        bool prefersOthers = Clock::now() < start + avoidFormerPrimaryFor;
        auto chosen = promoted ? promoted : this->choose(decision, old, membership, listed, candidates, prefersOthers);
        this->logFencing(decision.service, candidates, chosen);
        co_await this->parts.leaderLease->renewIfNeeded();
        if (!this->mayAct(decision))
            co_return std::nullopt;
        for (const PromotionCandidate& candidate : candidates)
            selected.oldTerm = promoted ? old.term : std::max(selected.oldTerm, candidate.report.term);
        const TargetRecord* target = chosen ? view->targets.find(*chosen) : nullptr;
        if (target) {
            selected.target = *target;
            selected.isPromoted = promoted.has_value();
            selected.candidates = std::move(candidates);
            co_return selected;
        }
        co_await this->sleepFor(stepInterval);
    }
    co_return std::nullopt;
}

// Selects the member to promote once no instance writes to a former primary that is not fenced: the promotion lets
// replicas receive from it again.
asio::awaitable<std::optional<GroupReplacer::NewPrimary>> GroupReplacer::selectFinally(
    ReplacementDecision decision, GroupRecord old, GroupMembership membership, Mark mark)
{
    auto self = this->shared_from_this();
    auto selected = co_await this->selectNewPrimary(decision, old, membership);
    if (!selected || selected->isPromoted || isFormerPrimaryFenced(selected->candidates))
        co_return selected;
    if (this->haveAllViews(mark))
        co_return selected;
    co_await this->awaitViews(decision, mark);
    // A former primary may have come back and have been written to meanwhile.
    co_return co_await this->selectNewPrimary(decision, old, membership);
}

// Selects from the candidates, which are the `listed` members. Adds the other runs of the membership to them, those of
// members that have registered since included. `prefersOthers`: no former primary is selected that would be replaced
// again.
std::optional<std::string> GroupReplacer::choose(const ReplacementDecision& decision, const GroupRecord& old,
    GroupMembership membership, const std::vector<TargetRecord>& listed, std::vector<PromotionCandidate>& candidates,
    bool prefersOthers) const
{
    auto view = this->parts.view->read();
    auto known = view->memberships.find(decision.service);
    if (known != view->memberships.end()) {
        membership.runs.insert(known->second.runs.begin(), known->second.runs.end());
        membership.isComplete = membership.isComplete || known->second.isComplete;
    }
    membership.runs.merge(runsToAdd(membership, view->membersOf(decision.service)));
    addAbsentRuns(candidates, listed, membership, old);
    PromotionTerms terms;
    terms.syncReplicas = view->syncReplicasOf(decision.service);
    auto highest = this->acknowledged.find(decision.service);
    if (highest != this->acknowledged.end())
        terms.acknowledged = highest->second;
    terms.mayLackRuns = !membership.isComplete;
    terms.avoidsFormerPrimary = prefersOthers && decision.lostWrites;
    terms.avoidsDrainingPrimary = prefersOthers;
    return choosePromotion(candidates, terms);
}

// True if another member could be promoted in place of a primary whose writes get no reply, once every member that has
// reported is fenced. Otherwise a replacement would only make the primary step down and promote it again.
bool GroupReplacer::otherMemberCanLead(const ReplacementDecision& decision, const std::vector<TargetRecord>& listed,
    std::vector<PromotionCandidate> members) const
{
    for (PromotionCandidate& member : members) {
        member.fenced = member.report.term != 0;
        member.report.primary = false;
    }
    GroupRecord old = decision.record.value_or(GroupRecord { GroupRecord::State::Serving, decision.primary, 0 });
    return this->choose(decision, old, {}, listed, members, true).has_value();
}

void GroupReplacer::logFencing(const std::string& service, const std::vector<PromotionCandidate>& candidates,
    const std::optional<std::string>& chosen) const
{
    writeLog(LogLevel::Info, "members_fenced",
        { { "service", service }, { "members", describe(candidates) }, { "chosen", chosen.value_or("") } });
}

// Has the selected member promoted, unless it is already. Returns the term in which it is the primary; 0 if that
// failed.
asio::awaitable<std::uint64_t> GroupReplacer::makePrimary(ReplacementDecision decision, NewPrimary selected)
{
    auto self = this->shared_from_this();
    if (!selected.isPromoted) {
        bool accepted = co_await this->promote(decision, selected.target.id);
        if (!accepted)
            co_return 0;
    }
    std::uint64_t term = co_await this->awaitLeadership(selected.target, selected.oldTerm);
    if (term)
        this->resumeReplicas(decision, selected.target.id);
    co_return term;
}

// Waits until a member that isn't leaving has the log that the leaving one was promoted with, for `catchUpTimeout` at
// most. A replica that is paused before receives the rest only if the leaving member is promoted again.
asio::awaitable<void> GroupReplacer::awaitFollower(ReplacementDecision decision, Promoted leaving)
{
    auto self = this->shared_from_this();
    Position needed;
    for (const PromotionCandidate& candidate : leaving.member.candidates) {
        if (candidate.id == leaving.member.target.id)
            needed = candidate.report.received;
    }
    TimePoint deadline = Clock::now() + catchUpTimeout;
    while (Clock::now() < deadline && this->mayAct(decision)) {
        auto others = this->parts.view->read()->membersOf(decision.service);
        std::erase_if(others, [](const TargetRecord& member) { return member.draining; });
        auto reports = co_await this->members->reports(others, leaving.member.target.id);
        bool hasFollower = std::any_of(reports.begin(), reports.end(), [&needed](const PromotionCandidate& member) {
            return member.report.term && member.report.received >= needed;
        });
        if (hasFollower || others.empty())
            co_return;
        co_await this->parts.leaderLease->renewIfNeeded();
        co_await this->sleepFor(stepInterval);
    }
}

// Hands the role of a leaving member, which was promoted because no other one had its log, over to another member
// without serving in between. The record names the leaving member from then on, so that the next leader goes on from
// here if this one ends. Returns the leaving member again if no other one gets its log, std::nullopt on failure.
asio::awaitable<std::optional<GroupReplacer::Promoted>> GroupReplacer::handOver(
    ReplacementDecision decision, GroupMembership membership, Mark mark, Promoted leaving)
{
    auto self = this->shared_from_this();
    // The primary before, if it isn't fenced, counts no longer as a former one below.
    if (!isFormerPrimaryFenced(leaving.member.candidates))
        co_await this->awaitViews(decision, mark);
    co_await this->awaitResumes(decision.service);
    if (!this->mayAct(decision))
        co_return std::nullopt;
    GroupRecord between { GroupRecord::State::Replacing, leaving.member.target.id, leaving.term };
    std::int64_t written = co_await this->writeRecord(decision.service, leaving.recordRevision, between);
    writeLog(LogLevel::Info, "leaving_member_promoted",
        { { "service", decision.service }, { "member", between.primary },
            { "term", text(static_cast<std::int64_t>(between.term)) }, { "recorded", written ? "true" : "false" } });
    if (!written)
        co_return std::nullopt;
    co_await this->awaitFollower(decision, leaving);
    decision.planned = true;
    auto selected = co_await this->selectNewPrimary(decision, between, std::move(membership));
    if (!selected)
        co_return std::nullopt;
    std::uint64_t term = co_await this->makePrimary(decision, *selected);
    if (!term)
        co_return std::nullopt;
    co_return Promoted { std::move(*selected), term, written };
}

// Lets replicas receive again that were paused after the promotion had taken effect. Not awaited here, because one that
// does not respond would delay the new primary.
void GroupReplacer::resumeReplicas(const ReplacementDecision& decision, const std::string& primary)
{
    auto replicas = this->parts.view->read()->membersOf(decision.service);
    std::erase_if(replicas, [&primary](const TargetRecord& member) { return member.id == primary; });
    ++this->resumes[decision.service];
    spawn(this->context,
        [self = this->shared_from_this(), service = decision.service, replicas,
            mayAct = this->guardOf(decision)]() -> asio::awaitable<void> {
            co_await self->members->resume(replicas, mayAct);
            --self->resumes[service];
        });
}

asio::awaitable<void> GroupReplacer::awaitResumes(std::string service)
{
    auto self = this->shared_from_this();
    while (this->resumes[service]) {
        co_await this->parts.leaderLease->renewIfNeeded();
        co_await this->sleepFor(stepInterval);
    }
}

asio::awaitable<bool> GroupReplacer::replace(ReplacementDecision decision)
{
    auto self = this->shared_from_this();
    TimePoint start = Clock::now();
    std::string service = decision.service;
    // An earlier holder of the leader lease may have replaced the primary already. This instance's view may not show
    // that yet, so the record is read from the store.
    auto stored = co_await this->readRecord(service);
    if (!stored)
        co_return false;
    std::optional<GroupRecord> current;
    std::int64_t expected = 0;
    if (*stored) {
        current = parseGroupRecord((*stored)->value);
        expected = (*stored)->revision;
    }
    if (current != decision.record) {
        writeLog(LogLevel::Info, "decision_overtaken", { { "service", service } });
        co_return false;
    }
    GroupRecord old = current.value_or(GroupRecord { GroupRecord::State::Serving, decision.primary, 0 });
    GroupRecord replacing = old;
    replacing.state = GroupRecord::State::Replacing;
    // Also written if the record says so already: a write of the previous leader that is still on its way then fails.
    Mark mark;
    mark.revision = co_await this->writeRecord(service, expected, replacing);
    mark.writtenAt = Clock::now();
    if (!mark.revision)
        co_return false;
    spawn(this->context, [self, mark] { return self->queryViews(mark); });
    // The membership is read after the group was marked: from then on no run is removed from it.
    auto membership = co_await this->readMembership(service);
    if (!membership)
        co_return false;
    auto selected = co_await this->selectFinally(decision, old, *membership, mark);
    if (!selected)
        co_return false;
    std::uint64_t term = co_await this->makePrimary(decision, *selected);
    if (!term)
        co_return false;
    std::optional<Promoted> promoted = Promoted { std::move(*selected), term, mark.revision };
    if (promoted->member.target.draining)
        promoted = co_await this->handOver(decision, *membership, mark, *promoted);
    if (!promoted)
        co_return false;
    co_await this->awaitViews(decision, mark);
    if (!this->mayAct(decision))
        co_return false;
    GroupRecord serving { GroupRecord::State::Serving, promoted->member.target.id, promoted->term };
    std::int64_t written = co_await this->writeRecord(service, promoted->recordRevision, serving);
    this->promotionCount += written != 0;
    writeLog(LogLevel::Info, "primary_serves",
        { { "service", service }, { "member", serving.primary },
            { "term", text(static_cast<std::int64_t>(serving.term)) },
            { "adopted", promoted->member.isPromoted ? "true" : "false" },
            { "took_ms", text(std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count()) } });
    co_return written != 0;
}

} // namespace catkinlock
