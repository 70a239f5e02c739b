#include "libsession/promoter.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_link.h"
#include "catkinlock/rendezvous.h"
#include "libsession/leader_lease.h"
#include "libsession/member_commands.h"
#include "libsession/membership_change.h"
#include "libsession/spawn.h"
#include "libsession/store_mirror.h"
#include "libsession/system_time.h"
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
    // Between two status requests to a member that is being promoted.
    constexpr Milliseconds leadershipPollInterval { 80 };
    // Least time between two queries to peers about one primary.
    constexpr Milliseconds peerQueryInterval { 250 };
    // Size of the random sample of peers that is queried about a suspected primary.
    constexpr std::size_t maxQueriedPeers = 16;
    // Least time between two attempts of this instance to replace the primary of one group.
    constexpr Milliseconds retryDelay { 500 };
    // The same after the replacement was left to the leader.
    constexpr Milliseconds deferredRetryDelay { 200 };
    // Each instance waits this long per rank, so that those before it can finish first. Ranks above `maxRank` wait as
    // long as `maxRank`.
    constexpr Milliseconds rankDelay { 120 };
    constexpr std::size_t maxRank = 8;
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

    std::string text(std::int64_t number) { return fmt::format("{}", number); }

    const char* stepName(LeaderStep step)
    {
        switch (step) {
        case LeaderStep::Act:
            return "act";
        case LeaderStep::Resume:
            return "resume";
        case LeaderStep::Acquire:
            return "acquire";
        case LeaderStep::TakeOver:
            return "take_over";
        case LeaderStep::Defer:
            return "defer";
        }
        return "";
    }

    void logLeaseObtained(LeaderStep step, const std::string& previousHolder, std::int64_t fencingToken)
    {
        writeLog(LogLevel::Info, "duty_taken",
            { { "duty", "promotion" }, { "fencing_token", text(fencingToken) }, { "step", stepName(step) },
                { "previous_holder", previousHolder } });
    }

    void logLeaseReleased(std::int64_t fencingToken)
    {
        writeLog(LogLevel::Info, "duty_ended", { { "duty", "promotion" }, { "fencing_token", text(fencingToken) } });
    }

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

Promoter::Promoter(asio::io_context& context, Parts parts)
    : context(context)
    , parts(std::move(parts))
    , leaderLease(std::make_shared<LeaderLease>(context,
          LeaderLease::Parts { this->parts.store, std::make_shared<SystemTime>(context), this->parts.instance },
          LeaderLease::Hooks { logLeaseObtained, logLeaseReleased }))
    , members(std::make_shared<MemberCommands>(context, this->parts.targets))
    , viewUsers(this->parts.maxViewAge + viewAgeMargin, this->parts.registrationTime)
{
}

asio::awaitable<void> Promoter::sleepFor(Milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void Promoter::updateObservations(std::vector<MemberObservation> seen, std::map<std::string, Position> highest)
{
    this->observations.clear();
    for (MemberObservation& observation : seen)
        this->observations[observation.id] = std::move(observation);
    this->acknowledged = std::move(highest);
}

void Promoter::checkGroups(TimePoint now)
{
    auto view = this->parts.view->read();
    for (const auto& [name, pool] : view->tables->pools) {
        if (!this->watches[name].replacementRunning && (!this->lastStart || this->isLeader()))
            this->checkGroup(name, *view, now);
    }
}

const MemberObservation* Promoter::observationOf(const std::string& member) const
{
    auto found = this->observations.find(member);
    return found == this->observations.end() ? nullptr : &found->second;
}

PrimaryEvidence Promoter::evidenceOn(
    const std::string& service, const FleetView& view, GroupWatch& watch, TimePoint now)
{
    auto primary = view.primaryOf(service);
    if (!primary)
        return {};
    watch.primaryObservedAt = now;
    watch.primary = primaryInUse(view, service);
    PrimaryEvidence evidence = collectEvidence(watch.primary, this->observationOf(primary->id), watch.peerReports, now);
    evidence.draining = primary->draining;
    evidence.deposedFor = watch.role.observe(watch.primary, view.isDeposed(service), now);
    return evidence;
}

void Promoter::checkGroup(const std::string& service, const FleetView& view, TimePoint now)
{
    GroupWatch& watch = this->watches[service];
    if (watch.primaryObservedAt == TimePoint())
        watch.primaryObservedAt = now;
    if (now < watch.nextAttemptAt || view.targets.idsOf(service).empty())
        return;
    PrimaryEvidence evidence = this->evidenceOn(service, view, watch, now);
    Duration unknownFor = now - watch.primaryObservedAt;
    PrimaryVerdict verdict = evaluatePrimary(evidence, {}, unknownFor, now);
    if (verdict == PrimaryVerdict::NoAction)
        return;
    if (verdict == PrimaryVerdict::Suspect || verdict == PrimaryVerdict::Replace) {
        if (now - watch.peersQueriedAt > peerQueryInterval && evidence.known) {
            watch.peersQueriedAt = now;
            this->queryPeers(service, watch.primary, true);
            if (this->rankFor(service) < maxRank)
                this->queryHolder(this->makeDecision(service, view), this->storedLeader(), false);
        }
        if (verdict == PrimaryVerdict::Suspect)
            return;
    }
    logReplacement(service, watch, evidence, view.revision, now);
    Decision decision = this->makeDecision(service, view);
    decision.lostWrites = losesWrites(evidence.health, {}, now);
    this->startReplacement(std::move(decision));
}

void Promoter::logReplacement(const std::string& service, const GroupWatch& watch, const PrimaryEvidence& evidence,
    std::int64_t viewRevision, TimePoint now)
{
    Duration evidenceAge = now - evidence.health.earliestFailure().value_or(now);
    writeLog(LogLevel::Warning, "primary_to_be_replaced",
        { { "service", service }, { "primary", watch.primary.member },
            { "term", text(static_cast<std::int64_t>(watch.primary.term)) },
            { "known", evidence.known ? "true" : "false" }, { "draining", evidence.draining ? "true" : "false" },
            { "deposed_ms", text(std::chrono::duration_cast<Milliseconds>(evidence.deposedFor).count()) },
            { "failures", text(evidence.health.failures) }, { "lost_writes", text(evidence.health.lostWrites) },
            { "evidence_term", text(static_cast<std::int64_t>(evidence.health.term)) },
            { "evidence_age_ms", text(std::chrono::duration_cast<Milliseconds>(evidenceAge).count()) },
            { "others_suspecting", text(static_cast<std::int64_t>(evidence.othersSuspecting)) },
            { "others_reaching", text(static_cast<std::int64_t>(evidence.othersReaching)) },
            { "view_revision", text(viewRevision) } });
}

void Promoter::queryPeers(const std::string& service, const PrimaryTerm& primary, bool requestReply)
{
    auto view = this->parts.view->read();
    std::vector<std::string> addresses;
    for (const auto& [name, instance] : view->instances) {
        if (name != this->parts.instance && !instance.peerAddress.empty())
            addresses.push_back(instance.peerAddress);
    }
    // Only a random sample is queried. If all instances of a large fleet suspected a primary at once, queries to all
    // peers would grow with the square of the fleet's size.
    std::shuffle(addresses.begin(), addresses.end(), this->random);
    addresses.resize(std::min(addresses.size(), maxQueriedPeers));
    for (const std::string& address : addresses) {
        wire::Envelope envelope;
        wire::PrimaryNote& note = *envelope.mutable_primary_note();
        note.set_service(service);
        note.set_primary(primary.member);
        note.set_term(primary.term);
        note.set_suspects(true);
        note.set_asks(requestReply);
        this->parts.link->send(address, envelope);
    }
}

void Promoter::replyToPrimaryNote(const std::string& sender, const wire::PrimaryNote& query)
{
    TimePoint now = Clock::now();
    PeerReport report = reportOn(query.primary(), this->observationOf(query.primary()), now);
    wire::Envelope envelope;
    wire::PrimaryNote& note = *envelope.mutable_primary_note();
    note.set_service(query.service());
    note.set_primary(query.primary());
    note.set_term(report.primary.term);
    note.set_reaches(report.reaches);
    note.set_suspects(report.suspects);
    note.set_leader_lease(query.leader_lease());
    note.set_holds_leader_lease(this->leaderLease->holds(query.leader_lease(), now));
    this->parts.link->send(sender, envelope);
}

void Promoter::receivePrimaryNote(const std::string& sender, const wire::PrimaryNote& note)
{
    this->watches[note.service()].peerReports[sender]
        = { { note.primary(), note.term() }, note.suspects(), note.reaches(), Clock::now() };
    if (note.asks())
        this->replyToPrimaryNote(sender, note);
    else
        this->recordHolderReply(note);
    if (note.requests_replacement())
        this->replaceOnRequest(note);
}

void Promoter::receiveViewNote(const std::string& sender, const wire::ViewNote& note)
{
    this->viewUsers.recordRevision(sender, note.revision());
}

void Promoter::recordView(const FleetView& view, TimePoint confirmedAt, TimePoint now)
{
    this->viewUsers.recordView(view, confirmedAt, now);
}

std::size_t Promoter::rankFor(const std::string& service) const
{
    return this->parts.view->read()->rankOf(this->parts.instance, service);
}

std::optional<GroupRecord> Promoter::recordOf(const std::string& service) const
{
    auto view = this->parts.view->read();
    auto record = view->groups.find(service);
    return record == view->groups.end() ? std::nullopt : std::optional(record->second);
}

// Waits for this instance's turn, then replaces the primary, or leaves that to the leader, unless the record has
// changed meanwhile. The leader has its turn at once; the others usually find afterwards that the record has changed.
asio::awaitable<void> Promoter::replace(Decision decision)
{
    auto self = this->shared_from_this();
    std::size_t rank = this->leads() ? 0 : std::min(this->rankFor(decision.service), maxRank);
    co_await this->sleepFor(rankDelay * static_cast<int>(rank));
    Milliseconds delay = retryDelay;
    bool confirmed = this->recordOf(decision.service) == decision.record;
    if (confirmed)
        confirmed = co_await this->confirm(decision);
    if (confirmed)
        delay = co_await this->replaceOrDefer(decision);
    GroupWatch& watch = this->watches[decision.service];
    watch.replacementRunning = false;
    watch.nextAttemptAt = Clock::now() + delay;
}

// Tries a primary that failed to reply once more, over a new connection unless one is open here: existing connections
// may be broken while the member works. Returns false if the primary need not or can't be replaced. An instance that
// leaves a replacement to the leader has done this already.
asio::awaitable<bool> Promoter::confirm(Decision decision)
{
    auto self = this->shared_from_this();
    bool isReplacing = decision.record && decision.record->state == GroupRecord::State::Replacing;
    if (decision.planned || decision.requested || isReplacing || decision.primary.empty())
        co_return true;
    auto listed = this->parts.view->read()->membersOf(decision.service);
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

// Returns the delay before the next attempt.
asio::awaitable<Milliseconds> Promoter::replaceOrDefer(Decision decision)
{
    auto self = this->shared_from_this();
    const LeaderTenure& tenure = this->leaderLease->tenure();
    bool urgent = !decision.planned;
    auto stored = this->storedLeader();
    if (tenure.next(stored, this->contactWith(stored), urgent, Clock::now()) == LeaderStep::Defer)
        stored = co_await this->readLeader();
    HolderContact contact = this->contactWith(stored);
    if (tenure.next(stored, contact, urgent, Clock::now()) == LeaderStep::Defer) {
        this->queryHolder(decision, stored, true);
        co_return deferredRetryDelay;
    }
    // An instance that leaves acts to the end of its tenure, but starts no new one, and nothing that it could not
    // finish.
    if (this->lastStart && (!this->leads() || Clock::now() > *this->lastStart))
        co_return retryDelay;
    // An order of the last leader before a restore may still be on its way. That leader gives no further one: it renews
    // the lease before each, and the restored store has lost it.
    auto restoredAt = this->parts.mirror->restoredAt();
    if (!this->leads() && restoredAt && Clock::now() < *restoredAt + leaderLeaseMargin)
        co_return retryDelay;
    bool obtained = co_await this->leaderLease->obtain(stored, contact, urgent);
    if (!obtained)
        co_return retryDelay;
    decision.fencingToken = tenure.fencingToken();
    bool replaced = co_await this->executeReplacement(decision);
    writeLog(replaced ? LogLevel::Info : LogLevel::Warning, replaced ? "primary_replaced" : "primary_not_replaced",
        { { "service", decision.service }, { "fencing_token", text(decision.fencingToken) } });
    // Under the lease, so that the next leader acts afterwards.
    co_await this->awaitResumes(decision.service);
    this->leaderLease->finish();
    co_return retryDelay;
}

// The stored leader lease according to this instance's copy of the store.
std::optional<StoredLeader> Promoter::storedLeader() const
{
    const auto& values = this->parts.mirror->values();
    auto found = values.find(leaderLeaseKey);
    if (found == values.end())
        return std::nullopt;
    return StoredLeader { parseLeaderRecord(found->second.value), found->second.revision };
}

// The stored leader lease as the store has it. This instance's copy of the store may be seconds old if its relay has
// just ended, which the leader often has done too.
asio::awaitable<std::optional<StoredLeader>> Promoter::readLeader()
{
    auto found = co_await this->parts.store->read(leaderLeaseKey);
    if (!found)
        co_return this->storedLeader();
    if (!*found)
        co_return std::nullopt;
    co_return StoredLeader { parseLeaderRecord((*found)->value), (*found)->revision };
}

// What the holder of the stored leader lease has replied so far.
HolderContact Promoter::contactWith(const std::optional<StoredLeader>& stored) const
{
    bool known = stored && stored->record.leaseId == this->contactLease;
    return known ? this->contact : HolderContact {};
}

// Asks the holder of the leader lease whether it still holds it, and to replace the primary if `requestReplacement`.
void Promoter::queryHolder(const Decision& decision, const std::optional<StoredLeader>& stored, bool requestReplacement)
{
    if (!stored || stored->record.holder == this->parts.instance)
        return;
    if (stored->record.leaseId != this->contactLease)
        this->contact = {};
    this->contactLease = stored->record.leaseId;
    this->contact.recordQuery(Clock::now());
    auto view = this->parts.view->read();
    auto holder = view->instances.find(stored->record.holder);
    if (holder == view->instances.end() || holder->second.peerAddress.empty())
        return;
    wire::Envelope envelope;
    wire::PrimaryNote& note = *envelope.mutable_primary_note();
    note.set_service(decision.service);
    note.set_primary(decision.primary);
    note.set_term(view->termOf(decision.service));
    note.set_suspects(true);
    note.set_asks(true);
    note.set_lost_writes(decision.lostWrites);
    note.set_leader_lease(stored->record.leaseId);
    note.set_requests_replacement(requestReplacement);
    this->parts.link->send(holder->second.peerAddress, envelope);
}

void Promoter::recordHolderReply(const wire::PrimaryNote& note)
{
    if (!note.leader_lease() || note.leader_lease() != this->contactLease)
        return;
    this->contact.recordReply(note.holds_leader_lease(), Clock::now());
}

// Starts the replacement that another instance has decided on, if this instance holds the leader lease and uses the
// same member as primary of the same term.
void Promoter::replaceOnRequest(const wire::PrimaryNote& note)
{
    TimePoint now = Clock::now();
    GroupWatch& watch = this->watches[note.service()];
    if (!this->leaderLease->holds(note.leader_lease(), now) || watch.replacementRunning || now < watch.nextAttemptAt)
        return;
    auto view = this->parts.view->read();
    if (primaryInUse(*view, note.service()) != PrimaryTerm { note.primary(), note.term() })
        return;
    Decision decision = this->makeDecision(note.service(), *view);
    decision.requested = true;
    decision.lostWrites = note.lost_writes();
    this->startReplacement(std::move(decision));
}

Promoter::Decision Promoter::makeDecision(const std::string& service, const FleetView& view) const
{
    Decision decision;
    decision.service = service;
    if (auto primary = view.primaryOf(service)) {
        decision.primary = primary->id;
        decision.planned = primary->draining;
    }
    auto record = view.groups.find(service);
    if (record != view.groups.end())
        decision.record = record->second;
    return decision;
}

void Promoter::startReplacement(Decision decision)
{
    this->watches[decision.service].replacementRunning = true;
    spawn(this->context, [self = this->shared_from_this(), decision] { return self->replace(decision); });
}

bool Promoter::leads() const { return this->leaderLease->tenure().held().has_value(); }

bool Promoter::isLeader() const { return this->leads() || !this->leaderLease->tenure().isOver(Clock::now()); }

// False also if the lease was lost and acquired again since, because another instance may have acted in between.
bool Promoter::mayAct(const Decision& decision) const
{
    const LeaderTenure& tenure = this->leaderLease->tenure();
    return tenure.fencingToken() == decision.fencingToken && tenure.mayAct(Clock::now());
}

// Passed along with what is sent for the decision, to be asked once nothing is left to wait for.
std::function<bool()> Promoter::guardOf(const Decision& decision)
{
    return [self = this->shared_from_this(), decision] { return self->mayAct(decision); };
}

asio::awaitable<PlatformResult<std::optional<KeyValue>>> Promoter::readRecord(std::string service)
{
    return this->parts.store->read(groupPrefix + service);
}

// The group's membership; std::nullopt if the store has none that can be read.
asio::awaitable<std::optional<GroupMembership>> Promoter::readMembership(std::string service)
{
    auto stored = co_await this->parts.store->read(membershipPrefix + service);
    if (!stored || !*stored)
        co_return std::nullopt;
    co_return parseGroupMembership((*stored)->value);
}

// Replaces the group's record if its revision is `expected`. Returns the revision of the new record, or 0 if it could
// not be written.
asio::awaitable<std::int64_t> Promoter::writeRecord(std::string service, std::int64_t expected, GroupRecord record)
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
asio::awaitable<bool> Promoter::promote(Decision decision, std::string id)
{
    bool covered = co_await this->leaderLease->prepareOrder();
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
        this->leaderLease->recordOrder(Clock::now());
    writeLog(LogLevel::Info, "promotion_ordered",
        { { "service", request.service }, { "member", id }, { "fencing_token", text(request.fencingToken) },
            { "outcome", accepted ? (*accepted ? "accepted" : "conflict") : accepted.error().message } });
    co_return accepted&&* accepted;
}

// Waits until the member reports that it is the primary of a term above `oldTerm`. Returns that term, or 0 if it did
// not happen in time.
asio::awaitable<std::uint64_t> Promoter::awaitLeadership(TargetRecord target, std::uint64_t oldTerm)
{
    TimePoint deadline = Clock::now() + leadershipTimeout;
    while (Clock::now() < deadline) {
        TargetCommand status;
        auto report = co_await this->members->send(target, status);
        if (report && report->primary && report->term > oldTerm)
            co_return report->term;
        co_await this->leaderLease->renewIfNeeded();
        co_await this->sleepFor(leadershipPollInterval);
    }
    co_return 0;
}

// True if no instance uses a view from before the mark.
bool Promoter::haveAllViews(const Mark& mark) const
{
    TimePoint now = Clock::now();
    return now >= mark.writtenAt + this->parts.maxViewAge + viewAgeMargin
        || this->viewUsers.allHave(mark.revision, this->parts.instance, now);
}

// Asks instances to report their views, until none uses one from before the mark.
asio::awaitable<void> Promoter::queryViews(Mark mark)
{
    auto self = this->shared_from_this();
    while (!this->haveAllViews(mark)) {
        for (const std::string& address : this->viewUsers.behind(mark.revision, this->parts.instance, Clock::now())) {
            wire::Envelope envelope;
            envelope.mutable_view_query()->set_revision(mark.revision);
            this->parts.link->send(address, envelope);
        }
        co_await this->sleepFor(viewQueryInterval);
    }
}

asio::awaitable<void> Promoter::awaitViews(Mark mark)
{
    auto self = this->shared_from_this();
    while (!this->haveAllViews(mark)) {
        co_await this->leaderLease->renewIfNeeded();
        co_await this->sleepFor(stepInterval);
    }
}

// Fences the members, repeatedly if necessary, until one can be promoted without losing an acknowledged commit, or one
// has been promoted already. Returns std::nullopt if there is none before the time-out or the end of the leader lease.
asio::awaitable<std::optional<Promoter::NewPrimary>> Promoter::selectNewPrimary(
    Decision decision, GroupRecord old, GroupMembership membership)
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
        auto listed = view->membersOf(decision.service);
        auto mayAct = this->guardOf(decision);
        auto candidates = co_await this->members->fence(listed, old, pauseAll, std::move(mayAct));
        auto promoted = findPromoted(candidates, old);
        bool prefersOthers = Clock::now() < start + avoidFormerPrimaryFor;
        auto chosen = promoted ? promoted : this->choose(decision, old, membership, listed, candidates, prefersOthers);
        this->logFencing(decision.service, candidates, chosen);
        co_await this->leaderLease->renewIfNeeded();
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

// Selects the member to promote once no commit can be acknowledged that the selected member lacks. As long as a former
// primary is not fenced, an instance with a view from before the mark may write to it, and the promotion itself lets
// replicas receive from it again.
asio::awaitable<std::optional<Promoter::NewPrimary>> Promoter::selectFinally(
    Decision decision, GroupRecord old, GroupMembership membership, Mark mark)
{
    auto self = this->shared_from_this();
    auto selected = co_await this->selectNewPrimary(decision, old, membership);
    if (!selected || selected->isPromoted || isFormerPrimaryFenced(selected->candidates))
        co_return selected;
    co_await this->awaitViews(mark);
    bool final = co_await this->areLogsUnchanged(decision.service, selected->candidates);
    if (!final)
        selected = co_await this->selectNewPrimary(decision, old, membership);
    co_return selected;
}

// True if the fenced candidates have received nothing since they reported.
asio::awaitable<bool> Promoter::areLogsUnchanged(std::string service, std::vector<PromotionCandidate> candidates)
{
    auto self = this->shared_from_this();
    std::erase_if(candidates, [](const PromotionCandidate& candidate) { return !candidate.fenced; });
    auto members = this->parts.view->read()->membersOf(service);
    std::erase_if(members, [&candidates](const TargetRecord& member) {
        return std::none_of(candidates.begin(), candidates.end(),
            [&member](const PromotionCandidate& candidate) { return candidate.id == member.id; });
    });
    auto reports = co_await this->members->reports(members, "");
    co_return std::all_of(candidates.begin(), candidates.end(), [&reports](const PromotionCandidate& candidate) {
        return std::any_of(reports.begin(), reports.end(), [&candidate](const PromotionCandidate& now) {
            return now.id == candidate.id && !now.report.primary && now.report.received == candidate.report.received;
        });
    });
}

// Selects from the candidates, which are the `listed` members. Adds the other runs of the membership to them, those of
// members that have registered since included. `prefersOthers`: no former primary is selected that would be replaced
// again.
std::optional<std::string> Promoter::choose(const Decision& decision, const GroupRecord& old,
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
bool Promoter::otherMemberCanLead(
    const Decision& decision, const std::vector<TargetRecord>& listed, std::vector<PromotionCandidate> members) const
{
    for (PromotionCandidate& member : members) {
        member.fenced = member.report.term != 0;
        member.report.primary = false;
    }
    GroupRecord old = decision.record.value_or(GroupRecord { GroupRecord::State::Serving, decision.primary, 0 });
    return this->choose(decision, old, {}, listed, members, true).has_value();
}

void Promoter::logFencing(const std::string& service, const std::vector<PromotionCandidate>& candidates,
    const std::optional<std::string>& chosen) const
{
    writeLog(LogLevel::Info, "members_fenced",
        { { "service", service }, { "members", describe(candidates) }, { "chosen", chosen.value_or("") } });
}

// Has the selected member promoted, unless it is already. Returns the term in which it is the primary; 0 if that
// failed.
asio::awaitable<std::uint64_t> Promoter::makePrimary(Decision decision, NewPrimary selected)
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

// Lets replicas receive again that were paused after the promotion had taken effect. Not awaited here, because one that
// does not respond would delay the new primary.
void Promoter::resumeReplicas(const Decision& decision, const std::string& primary)
{
    auto replicas = this->parts.view->read()->membersOf(decision.service);
    std::erase_if(replicas, [&primary](const TargetRecord& member) { return member.id == primary; });
    ++this->watches[decision.service].resumes;
    spawn(this->context,
        [self = this->shared_from_this(), service = decision.service, replicas,
            mayAct = this->guardOf(decision)]() -> asio::awaitable<void> {
            co_await self->members->resume(replicas, mayAct);
            --self->watches[service].resumes;
        });
}

// Waits until no command to resume of this instance can arrive any more, which takes three time-outs at most. The
// command carries no term: it would undo a pause of the next replacement.
asio::awaitable<void> Promoter::awaitResumes(std::string service)
{
    while (this->watches[service].resumes) {
        co_await this->leaderLease->renewIfNeeded();
        co_await this->sleepFor(stepInterval);
    }
}

// Marks the group as being replaced, fences and promotes, and writes the new primary to the group's record. Returns
// false if a step failed; the next attempt then continues from the record.
asio::awaitable<bool> Promoter::executeReplacement(Decision decision)
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
    co_await this->awaitViews(mark);
    if (!this->mayAct(decision))
        co_return false;
    GroupRecord serving { GroupRecord::State::Serving, selected->target.id, term };
    std::int64_t written = co_await this->writeRecord(service, mark.revision, serving);
    this->promotionCount += written != 0;
    writeLog(LogLevel::Info, "primary_serves",
        { { "service", service }, { "member", selected->target.id }, { "term", text(static_cast<std::int64_t>(term)) },
            { "adopted", selected->isPromoted ? "true" : "false" },
            { "took_ms", text(std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count()) } });
    co_return written != 0;
}

} // namespace catkinlock
