#include "libsession/promoter.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_link.h"
#include "catkinlock/rendezvous.h"
#include "libsession/spawn.h"
#include "libsession/store_mirror.h"
#include "libsession/target_link.h"
#include "libsession/view_builder.h"
#include "peer.pb.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr const char* dutyKey = "catkinlock/duty/promotion";
    constexpr std::uint32_t dutySeconds = 4;
    // The holder stops this much before its lease ends: a call to the platform may take that long.
    constexpr Milliseconds dutyMargin { 1200 };
    constexpr Milliseconds orderTimeout { 400 };
    constexpr Milliseconds stepPause { 60 };
    constexpr Milliseconds leadPause { 80 };
    constexpr Milliseconds askInterval { 250 };
    constexpr Milliseconds opinionLifetime { 1000 };
    constexpr std::size_t mostAskedPeers = 16;
    constexpr Milliseconds reachedWithin { 800 };
    // Least time between two tries of one instance, and what instances of lower rank wait for those before them.
    constexpr Milliseconds retryPause { 500 };
    constexpr Milliseconds rankDelay { 120 };
    constexpr std::size_t mostRanks = 8;
    // Longest time of one replacement before its instance lets another one try.
    constexpr Milliseconds longestReplacement { 12000 };
    constexpr Milliseconds longestLeadWait { 4000 };
    // What a view may be used longer than its time, by a process that was on its way to use it.
    constexpr Milliseconds viewMargin { 150 };
    // A planned handover lets the replicas receive what the primary still had for this many rounds.
    constexpr unsigned roundsBeforePause = 3;
    constexpr const char* operatorName = "catkinlock";

    std::string text(std::int64_t number) { return fmt::format("{}", number); }

} // namespace

Promoter::Promoter(asio::io_context& context, Parts parts)
    : context(context)
    , parts(std::move(parts))
{
}

asio::awaitable<void> Promoter::pause(Milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void Promoter::updateSights(std::vector<MemberObservation> seen, std::map<std::string, Position> highest)
{
    this->sights.clear();
    for (MemberObservation& sight : seen)
        this->sights[sight.id] = std::move(sight);
    this->acknowledged = std::move(highest);
}

void Promoter::look(TimePoint now)
{
    auto view = this->parts.view->read();
    for (const auto& [name, pool] : view->tables->pools) {
        if (!this->watches[name].busy && !this->stopped)
            this->lookAt(name, *view, now);
    }
}

PrimaryEvidence Promoter::evidenceOf(const std::string& service, const FleetView& view, Watch& watch, TimePoint now)
{
    PrimaryEvidence evidence;
    auto primary = view.primaryOf(service);
    evidence.known = primary.has_value();
    if (!primary)
        return evidence;
    watch.knownAt = now;
    if (watch.primary != primary->id) {
        watch.primary = primary->id;
        watch.opinions.clear();
    }
    evidence.draining = primary->draining;
    auto sight = this->sights.find(primary->id);
    if (sight != this->sights.end())
        evidence.health = sight->second.health;
    for (const auto& [peer, opinion] : watch.opinions) {
        if (now - opinion.at > opinionLifetime)
            continue;
        evidence.othersSuspecting += opinion.suspects;
        evidence.othersReaching += opinion.reaches;
    }
    return evidence;
}

void Promoter::lookAt(const std::string& service, const FleetView& view, TimePoint now)
{
    Watch& watch = this->watches[service];
    if (watch.knownAt == TimePoint())
        watch.knownAt = now;
    if (now < watch.notBefore || view.membersOf(service).empty())
        return;
    PrimaryEvidence evidence = this->evidenceOf(service, view, watch, now);
    Duration unknownFor = now - watch.knownAt;
    PrimaryVerdict verdict = judgePrimary(evidence, {}, unknownFor, now);
    if (verdict == PrimaryVerdict::Fine)
        return;
    if (verdict == PrimaryVerdict::Suspect || verdict == PrimaryVerdict::Replace) {
        if (now - watch.askedAt > askInterval && evidence.known) {
            watch.askedAt = now;
            this->askOthers(service, watch.primary, true);
        }
        if (verdict == PrimaryVerdict::Suspect)
            return;
    }
    watch.busy = true;
    writeLog(LogLevel::Warning, "primary_to_be_replaced",
        { { "service", service }, { "primary", watch.primary }, { "known", evidence.known ? "true" : "false" },
            { "draining", evidence.draining ? "true" : "false" }, { "failures", text(evidence.health.failures) },
            { "lost_writes", text(evidence.health.lostWrites) },
            { "others_suspecting", text(static_cast<std::int64_t>(evidence.othersSuspecting)) },
            { "others_reaching", text(static_cast<std::int64_t>(evidence.othersReaching)) },
            { "view_revision", text(view.revision) } });
    Decision decision;
    decision.service = service;
    decision.planned = verdict == PrimaryVerdict::HandOver;
    decision.primary = evidence.known ? watch.primary : "";
    auto record = view.groups.find(service);
    if (record != view.groups.end())
        decision.record = record->second;
    spawn(this->context, [self = this->shared_from_this(), decision] { return self->replace(decision); });
}

void Promoter::askOthers(const std::string& service, const std::string& primary, bool asks)
{
    auto view = this->parts.view->read();
    std::vector<std::string> addresses;
    for (const auto& [name, instance] : view->instances) {
        if (name != this->parts.instance && !instance.peerAddress.empty())
            addresses.push_back(instance.peerAddress);
    }
    // A sample says enough, and a large fleet that suspects together would send the square of its size.
    std::shuffle(addresses.begin(), addresses.end(), this->random);
    addresses.resize(std::min(addresses.size(), mostAskedPeers));
    for (const std::string& address : addresses) {
        wire::Envelope envelope;
        wire::PrimaryNote& note = *envelope.mutable_primary_note();
        note.set_service(service);
        note.set_primary(primary);
        note.set_suspects(true);
        note.set_asks(asks);
        this->parts.link->send(address, envelope);
    }
}

void Promoter::answerNote(const std::string& sender, const std::string& service, const std::string& primary)
{
    auto sight = this->sights.find(primary);
    TimePoint now = Clock::now();
    wire::Envelope envelope;
    wire::PrimaryNote& note = *envelope.mutable_primary_note();
    note.set_service(service);
    note.set_primary(primary);
    bool seen = sight != this->sights.end();
    note.set_reaches(seen && !sight->second.health.failures && now - sight->second.health.lastSuccess < reachedWithin
        && !sight->second.health.lostWrites);
    note.set_suspects(seen && (sight->second.health.failures > 1 || sight->second.health.lostWrites > 1));
    this->parts.link->send(sender, envelope);
}

void Promoter::receivePrimaryNote(const std::string& sender, const wire::PrimaryNote& note)
{
    Watch& watch = this->watches[note.service()];
    if (watch.primary == note.primary())
        watch.opinions[sender] = { note.suspects(), note.reaches(), Clock::now() };
    if (note.asks())
        this->answerNote(sender, note.service(), note.primary());
}

void Promoter::receiveViewNote(const std::string& sender, const wire::ViewNote& note)
{
    std::int64_t& seen = this->viewsSeen[sender];
    seen = std::max(seen, note.revision());
}

asio::awaitable<void> Promoter::replace(Decision decision)
{
    auto self = this->shared_from_this();
    std::string service = decision.service;
    // Instances line up in an order of the group's own, so that one goes first and the others find its work done.
    auto view = this->parts.view->read();
    std::uint64_t own = stableHash(this->parts.instance, stableHash(service));
    std::size_t rank = 0;
    for (const auto& [name, instance] : view->instances)
        rank += stableHash(name, stableHash(service)) < own;
    co_await this->pause(rankDelay * static_cast<int>(std::min(rank, mostRanks)));
    auto later = this->parts.view->read();
    auto record = later->groups.find(service);
    std::optional<GroupRecord> recordNow;
    if (record != later->groups.end())
        recordNow = record->second;
    Duty duty;
    bool mine = false;
    if (recordNow == decision.record)
        mine = co_await this->takeDuty(duty);
    if (mine) {
        bool done = co_await this->carryOut(decision, duty);
        co_await this->parts.store->revokeLease(duty.lease);
        writeLog(done ? LogLevel::Info : LogLevel::Warning, done ? "primary_replaced" : "primary_not_replaced",
            { { "service", service }, { "fencing_token", text(duty.token) } });
    }
    Watch& watch = this->watches[service];
    watch.busy = false;
    watch.notBefore = Clock::now() + retryPause;
}

asio::awaitable<bool> Promoter::takeDuty(Duty& duty)
{
    auto lease = co_await this->parts.store->grantLease(dutySeconds);
    if (!lease)
        co_return false;
    duty.lease = *lease;
    TimePoint askedAt = Clock::now();
    std::string holder = fmt::format("{}/{}", this->parts.instance, duty.lease);
    auto swapped = co_await this->parts.store->swap(dutyKey, 0, holder, duty.lease);
    bool mine = swapped && swapped->swapped;
    if (mine)
        duty.token = swapped->revision;
    if (!swapped && swapped.error().mayHaveRun) {
        auto found = co_await this->parts.store->read(dutyKey);
        mine = found && *found && (*found)->value == holder;
        if (mine)
            duty.token = (*found)->revision;
    }
    if (!mine) {
        co_await this->parts.store->revokeLease(duty.lease);
        co_return false;
    }
    duty.validUntil = askedAt;
    co_await this->renewDuty(duty);
    writeLog(LogLevel::Info, "duty_taken", { { "duty", "promotion" }, { "fencing_token", text(duty.token) } });
    co_return Clock::now() < duty.validUntil;
}

asio::awaitable<void> Promoter::renewDuty(Duty& duty)
{
    TimePoint askedAt = Clock::now();
    if (duty.validUntil - askedAt > std::chrono::seconds(dutySeconds) / 3)
        co_return;
    auto kept = co_await this->parts.store->keepLeaseAlive(duty.lease);
    if (kept && *kept)
        duty.validUntil = askedAt + std::chrono::seconds(dutySeconds) - dutyMargin;
    else if (kept)
        duty.validUntil = askedAt;
}

asio::awaitable<PlatformResult<std::optional<KeyValue>>> Promoter::readRecord(std::string service)
{
    return this->parts.store->read(groupPrefix + service);
}

// Replaces the record of revision `expected`. The revision that wrote the new one; 0 if it could not be written.
asio::awaitable<std::int64_t> Promoter::writeRecord(std::string service, std::int64_t expected, GroupRecord record)
{
    std::string value = writeGroupRecord(record);
    auto swapped = co_await this->parts.store->swap(groupPrefix + service, expected, value, 0);
    if (swapped)
        co_return swapped->swapped ? swapped->revision : 0;
    // The answer is lost, or the store refused: the key tells.
    auto after = co_await this->readRecord(service);
    if (after && *after && (*after)->value == value && (*after)->revision > expected)
        co_return (*after)->revision;
    co_return 0;
}

asio::awaitable<std::optional<MemberReport>> Promoter::order(TargetRecord target, TargetCommand command)
{
    auto self = this->shared_from_this();
    auto link = this->links[target.id];
    this->links.erase(target.id);
    if (!link || !link->isOpen()) {
        link = std::make_shared<TargetLink>(this->context.get_executor(), this->parts.targets);
        auto opened = co_await link->open(target, operatorName, orderTimeout);
        if (!opened)
            co_return std::nullopt;
    }
    auto reply = co_await link->command(command, std::nullopt, orderTimeout);
    if (!reply)
        co_return std::nullopt;
    this->links[target.id] = link;
    co_return this->parts.targets->report(*reply);
}

asio::awaitable<bool> Promoter::primaryAnswers(TargetRecord primary)
{
    TargetCommand status;
    auto report = co_await this->order(primary, status);
    co_return report && report->primary;
}

asio::awaitable<std::vector<MemberStanding>> Promoter::fence(
    std::vector<TargetRecord> members, GroupRecord old, bool pauseAll)
{
    auto self = this->shared_from_this();
    struct Shared {
        std::vector<MemberStanding> standings;
        std::size_t left = 0;
        std::uint64_t highestTerm = 0;
    };
    auto shared = std::make_shared<Shared>();
    shared->highestTerm = old.term;
    for (const TargetRecord& member : members) {
        MemberStanding standing;
        standing.id = member.id;
        standing.wasPrimary = member.id == old.primary;
        standing.draining = member.draining;
        shared->standings.push_back(standing);
    }
    // Terms first, so that the order is above every one of them.
    for (int step = 0; step < 2; ++step) {
        shared->left = members.size();
        std::uint64_t term = shared->highestTerm + 1;
        for (std::size_t i = 0; i < members.size(); ++i) {
            // A primary that came back under another id leads although the record names the earlier one.
            MemberStanding& standing = shared->standings[i];
            standing.wasPrimary = standing.wasPrimary || standing.report.primary;
            bool wasPrimary = standing.wasPrimary;
            TargetCommand command;
            command.kind = TargetCommand::Kind::Status;
            command.term = term;
            if (step)
                command.kind = wasPrimary ? TargetCommand::Kind::StepDown : TargetCommand::Kind::Pause;
            TargetRecord member = members[i];
            // Replicas go on receiving while a primary that still serves steps down, so that they have all of its log.
            bool skip = step && !wasPrimary && !pauseAll;
            auto ask = [self, shared, member, command, i, step, skip]() -> asio::awaitable<void> {
                std::optional<MemberReport> report;
                TargetCommand sent = command;
                if (skip)
                    sent.kind = TargetCommand::Kind::Status;
                report = co_await self->order(member, sent);
                --shared->left;
                if (!report)
                    co_return;
                shared->highestTerm = std::max({ shared->highestTerm, report->term, report->fencedTerm });
                shared->standings[i].report = *report;
                shared->standings[i].fenced = step && !report->primary;
            };
            spawn(this->context, ask);
        }
        while (shared->left)
            co_await this->pause(Milliseconds(5));
    }
    co_return shared->standings;
}

asio::awaitable<bool> Promoter::promote(std::string service, std::string id, const Duty& duty)
{
    if (Clock::now() >= duty.validUntil)
        co_return false;
    PromotionOrder order;
    order.service = service;
    order.target = id;
    order.holder = this->parts.instance;
    order.fencingToken = duty.token;
    auto accepted = co_await this->parts.promotions->promote(order);
    writeLog(LogLevel::Info, "promotion_ordered",
        { { "service", service }, { "member", id }, { "fencing_token", text(duty.token) },
            { "outcome", accepted ? (*accepted ? "accepted" : "conflict") : accepted.error().message } });
    co_return accepted&&* accepted;
}

// The term that the member leads; 0 if it does not.
asio::awaitable<std::uint64_t> Promoter::awaitLead(TargetRecord target, std::uint64_t oldTerm, Duty& duty)
{
    TimePoint end = Clock::now() + longestLeadWait;
    while (Clock::now() < end) {
        TargetCommand status;
        auto report = co_await this->order(target, status);
        if (report && report->primary && report->term > oldTerm)
            co_return report->term;
        co_await this->renewDuty(duty);
        co_await this->pause(leadPause);
    }
    co_return 0;
}

// Waits until every instance has seen the revision or can no longer use an older view.
asio::awaitable<void> Promoter::awaitViews(std::int64_t revision, TimePoint writtenAt, Duty& duty)
{
    TimePoint lapsed = writtenAt + this->parts.viewUsableFor + viewMargin;
    while (Clock::now() < lapsed) {
        auto view = this->parts.view->read();
        bool all = true;
        for (const auto& [name, instance] : view->instances) {
            if (name == this->parts.instance || this->viewsSeen[instance.peerAddress] >= revision)
                continue;
            all = false;
            wire::Envelope envelope;
            envelope.mutable_view_query()->set_revision(revision);
            this->parts.link->send(instance.peerAddress, envelope);
        }
        if (all)
            co_return;
        co_await this->renewDuty(duty);
        co_await this->pause(stepPause);
    }
}

// Fences the members until one can be promoted without loss; nothing if that can't be shown while the duty lasts.
// `term` becomes the highest term seen.
asio::awaitable<std::optional<std::string>> Promoter::chooseNext(
    Decision decision, GroupRecord old, std::uint64_t& term, Duty& duty)
{
    TimePoint end = Clock::now() + longestReplacement;
    std::optional<std::string> chosen;
    unsigned rounds = 0;
    while (!chosen && Clock::now() < end && !this->stopped) {
        auto view = this->parts.view->read();
        bool pauseAll = !decision.planned || ++rounds > roundsBeforePause;
        auto standings = co_await this->fence(view->membersOf(decision.service), old, pauseAll);
        chosen = choosePromotion(standings, this->acknowledged[decision.service]);
        std::string seen;
        for (const MemberStanding& standing : standings) {
            term = std::max(term, standing.report.term);
            seen += fmt::format("{}{}:{}.{} ", standing.id, standing.fenced ? "" : "(not fenced)",
                standing.report.received.term, standing.report.received.lsn);
        }
        writeLog(LogLevel::Info, "members_fenced",
            { { "service", decision.service }, { "members", seen }, { "chosen", chosen.value_or("") } });
        co_await this->renewDuty(duty);
        if (Clock::now() >= duty.validUntil)
            co_return std::nullopt;
        if (!chosen)
            co_await this->pause(stepPause);
    }
    co_return chosen;
}

asio::awaitable<bool> Promoter::carryOut(Decision decision, Duty& duty)
{
    auto self = this->shared_from_this();
    TimePoint start = Clock::now();
    std::string service = decision.service;
    // Whoever had the duty before may have done the work, which this instance's view need not show yet.
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
    auto view = this->parts.view->read();
    auto listed = view->targets.find(old.primary);
    bool resumed = old.state == GroupRecord::State::Replacing;
    bool silent = !decision.planned && !resumed && !this->sights[old.primary].health.lostWrites;
    if (silent && listed != view->targets.end()) {
        // Connections may have gone silent while the member is well.
        bool answers = co_await this->primaryAnswers(listed->second);
        if (answers) {
            writeLog(LogLevel::Info, "primary_answers", { { "service", service }, { "primary", old.primary } });
            co_return false;
        }
    }
    GroupRecord replacing = old;
    replacing.state = GroupRecord::State::Replacing;
    std::int64_t revision = resumed ? expected : co_await this->writeRecord(service, expected, replacing);
    TimePoint writtenAt = Clock::now();
    if (!revision)
        co_return false;
    std::uint64_t oldTerm = old.term;
    auto chosen = co_await this->chooseNext(decision, old, oldTerm, duty);
    auto latest = this->parts.view->read();
    auto target = chosen ? latest->targets.find(*chosen) : latest->targets.end();
    if (target == latest->targets.end())
        co_return false;
    TargetRecord lead = target->second;
    bool promoted = co_await this->promote(service, lead.id, duty);
    if (!promoted)
        co_return false;
    std::uint64_t term = co_await this->awaitLead(lead, oldTerm, duty);
    if (!term)
        co_return false;
    co_await this->awaitViews(revision, writtenAt, duty);
    if (Clock::now() >= duty.validUntil)
        co_return false;
    GroupRecord serving { GroupRecord::State::Serving, lead.id, term };
    std::int64_t written = co_await this->writeRecord(service, revision, serving);
    this->promotionCount += written != 0;
    writeLog(LogLevel::Info, "primary_serves",
        { { "service", service }, { "member", lead.id }, { "term", text(static_cast<std::int64_t>(term)) },
            { "took_ms", text(std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count()) } });
    co_return written != 0;
}

} // namespace catkinlock
