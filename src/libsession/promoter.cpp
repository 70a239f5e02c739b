#include "libsession/promoter.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_link.h"
#include "libsession/leader_lease.h"
#include "libsession/replacement.h"
#include "libsession/replacement_decision.h"
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

} // namespace

Promoter::Promoter(asio::io_context& context, Parts parts)
    : context(context)
    , parts(std::move(parts))
    , leaderLease(std::make_shared<LeaderLease>(context,
          LeaderLease::Parts { this->parts.store, std::make_shared<SystemTime>(context), this->parts.instance },
          LeaderLease::Hooks { logLeaseObtained, logLeaseReleased }))
    , replacer(std::make_shared<GroupReplacer>(context,
          GroupReplacer::Parts { this->parts.store, this->parts.promotions, this->parts.targets, this->parts.view,
              this->parts.link, this->leaderLease, this->parts.maxViewAge, this->parts.registrationTime,
              this->parts.instance }))
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
    this->replacer->updateAcknowledged(std::move(highest));
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
    evidence.draining = view.isToHandOver(service);
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
    ReplacementDecision decision = this->makeDecision(service, view);
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
    this->replacer->recordViewRevision(sender, note.revision());
}

void Promoter::recordView(const FleetView& view, TimePoint confirmedAt, TimePoint now)
{
    this->replacer->recordView(view, confirmedAt, now);
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
asio::awaitable<void> Promoter::replace(ReplacementDecision decision)
{
    auto self = this->shared_from_this();
    std::size_t rank = this->leads() ? 0 : std::min(this->rankFor(decision.service), maxRank);
    co_await this->sleepFor(rankDelay * static_cast<int>(rank));
    Milliseconds delay = retryDelay;
    bool confirmed = this->recordOf(decision.service) == decision.record;
    if (confirmed)
        confirmed = co_await this->replacer->confirm(decision);
    if (confirmed)
        delay = co_await this->replaceOrDefer(decision);
    GroupWatch& watch = this->watches[decision.service];
    watch.replacementRunning = false;
    watch.nextAttemptAt = Clock::now() + delay;
}

// Returns the delay before the next attempt.
asio::awaitable<Milliseconds> Promoter::replaceOrDefer(ReplacementDecision decision)
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
    bool replaced = co_await this->replacer->replace(decision);
    writeLog(replaced ? LogLevel::Info : LogLevel::Warning, replaced ? "primary_replaced" : "primary_not_replaced",
        { { "service", decision.service }, { "fencing_token", text(decision.fencingToken) } });
    // Under the lease, so that the next leader acts afterwards.
    co_await this->replacer->awaitResumes(decision.service);
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
void Promoter::queryHolder(
    const ReplacementDecision& decision, const std::optional<StoredLeader>& stored, bool requestReplacement)
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
    ReplacementDecision decision = this->makeDecision(note.service(), *view);
    decision.requested = true;
    decision.lostWrites = note.lost_writes();
    this->startReplacement(std::move(decision));
}

ReplacementDecision Promoter::makeDecision(const std::string& service, const FleetView& view) const
{
    ReplacementDecision decision;
    decision.service = service;
    if (auto primary = view.primaryOf(service)) {
        decision.primary = primary->id;
        decision.planned = view.isToHandOver(service);
    }
    auto record = view.groups.find(service);
    if (record != view.groups.end())
        decision.record = record->second;
    return decision;
}

void Promoter::startReplacement(ReplacementDecision decision)
{
    this->watches[decision.service].replacementRunning = true;
    spawn(this->context, [self = this->shared_from_this(), decision] { return self->replace(decision); });
}

bool Promoter::leads() const { return this->leaderLease->tenure().held().has_value(); }

bool Promoter::isLeader() const { return this->leads() || !this->leaderLease->tenure().isOver(Clock::now()); }

std::uint64_t Promoter::promotions() const { return this->replacer->promotions(); }

} // namespace catkinlock
