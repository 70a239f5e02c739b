#include "libsession/simulated_instance.h"

#include "catkinlock/rendezvous.h"
#include "libsession/simulated_fleet.h"
#include "libsession/simulated_lease_store.h"
#include "libsession/simulated_time.h"
#include "libsession/spawn.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock::simulation {

namespace asio = boost::asio;

namespace {

    // The times of `Promoter`.
    constexpr Milliseconds checkInterval { 200 };
    constexpr Milliseconds retryDelay { 500 };
    constexpr Milliseconds deferredRetryDelay { 200 };
    constexpr Milliseconds rankDelay { 120 };
    constexpr int maxRank = 8;
    constexpr Milliseconds unknownAfter { 2500 };
    constexpr Milliseconds lostAfter { 1100 };
    // From the suspicion to the verdict.
    constexpr Milliseconds suspectBefore { 400 };
    constexpr Milliseconds queryInterval { 250 };
    constexpr Milliseconds pollInterval { 80 };
    constexpr Milliseconds leadershipTimeout { 4000 };
    constexpr Milliseconds maxViewAge { 4000 };
    constexpr Milliseconds drainTime { 6000 };
    constexpr Milliseconds drainCheckInterval { 50 };
    // Timeout of the platform's client.
    constexpr Milliseconds orderTimeout { 1000 };

    using Kind = Disruption::Kind;

} // namespace

SimulatedInstance::SimulatedInstance(SimulatedFleet& fleet, int number, int run)
    : SimulatedProcess(fleet, number, run)
    , copiedUntil(fleet.time.now())
    , copyDelay(fleet.delay(Milliseconds(5), fleet.plan.maxCopyDelay))
    , watches(static_cast<std::size_t>(fleet.plan.groups))
{
}

std::shared_ptr<SimulatedInstance> SimulatedInstance::shared()
{
    return std::static_pointer_cast<SimulatedInstance>(this->shared_from_this());
}

void SimulatedInstance::start()
{
    constexpr const char* steps[] { "acts under", "resumes", "acquires", "takes over", "defers" };
    auto log = [&fleet = this->fleet, run = fmt::format("{} run {}", this->name, this->run)](
                   const std::string& event) { fleet.log(fmt::format("{}: {}", run, event)); };
    this->lease = std::make_shared<LeaderLease>(this->fleet.context,
        LeaderLease::Parts { std::make_shared<SimulatedLeaseStore>(this->weak_from_this()),
            std::make_shared<SimulatedTime>(this->fleet, this->weak_from_this()), this->name },
        LeaderLease::Hooks { [log, steps](LeaderStep step, const std::string&, std::int64_t token) {
                                log(fmt::format("{} the lease, token {}", steps[static_cast<int>(step)], token));
                            },
            [log](std::int64_t) { log("ends the lease"); } });
    this->at(this->fleet.time.now() + this->fleet.delay(Milliseconds(0), checkInterval), [this] { this->check(); });
}

TimePoint SimulatedInstance::copyTime()
{
    bool frozen = this->fleet.disrupted(Kind::Cut, this->number) || this->fleet.disrupted(Kind::Outage, -1);
    if (!frozen)
        this->copiedUntil = std::max(this->copiedUntil, this->fleet.time.now() - this->copyDelay);
    return this->copiedUntil;
}

GroupRecord SimulatedInstance::copiedRecord(int group)
{
    const KeyChange* found = this->fleet.store.read(SimulatedFleet::groupKey(group), this->copyTime());
    return found ? found->group : GroupRecord();
}

std::optional<StoredLeader> SimulatedInstance::storedLeader()
{
    const KeyChange* found = this->fleet.store.read(leaderLeaseKey, this->copyTime());
    return found ? std::optional(found->leader) : std::nullopt;
}

void SimulatedInstance::check()
{
    this->at(this->fleet.time.now() + checkInterval, [this] { this->check(); });
    for (int group = 0; group < this->fleet.plan.groups && (!this->leaving || this->isLeader()); ++group) {
        if (!this->watches[static_cast<std::size_t>(group)].replacementRunning)
            this->checkGroup(group);
    }
}

void SimulatedInstance::checkGroup(int group)
{
    TimePoint now = this->fleet.time.now();
    GroupWatch& watch = this->watches[static_cast<std::size_t>(group)];
    GroupRecord record = this->copiedRecord(group);
    bool known = record.state == GroupRecord::State::Serving;
    if (known || watch.primaryObservedAt == TimePoint())
        watch.primaryObservedAt = now;
    if (watch.wrongPrimarySince == TimePoint())
        watch.wrongPrimarySince = now;
    if (now < watch.nextAttemptAt)
        return;
    bool suspected = !known && now - watch.primaryObservedAt >= unknownAfter - suspectBefore;
    bool lost = !known && now - watch.primaryObservedAt >= unknownAfter;
    bool draining = false;
    for (const Need& need : this->fleet.plan.needs) {
        bool cured = !this->fleet.isOpen(need) && record.term >= this->fleet.termOf(group);
        auto from = this->fleet.observedFrom(need, this->number, this->startedAt);
        if (!known || need.group != group || cured || !from)
            continue;
        draining = draining || (need.kind == Need::Kind::Draining && now >= *from);
        suspected = suspected || (need.kind != Need::Kind::Draining && now >= *from - suspectBefore);
        lost = lost || (need.kind != Need::Kind::Draining && now >= *from);
    }
    if (!known || record.primary == this->fleet.primaryOf(group))
        watch.wrongPrimarySince = now;
    suspected = suspected || now - watch.wrongPrimarySince >= lostAfter - suspectBefore;
    lost = lost || now - watch.wrongPrimarySince >= lostAfter;
    bool replace = lost || draining;
    if ((suspected || lost) && known && now - watch.peersQueriedAt > queryInterval) {
        watch.peersQueriedAt = now;
        if (this->rankFor(group) < maxRank)
            this->queryHolder(group, record.primary, false);
    }
    if (!replace)
        return;
    Decision decision = this->makeDecision(group);
    decision.lostWrites = std::any_of(this->fleet.plan.needs.begin(), this->fleet.plan.needs.end(),
        [&](const Need& need) { return need.group == group && need.kind == Need::Kind::LosesWrites; });
    this->startReplacement(decision);
}

int SimulatedInstance::rankFor(int group) const
{
    std::uint64_t seed = stableHash(SimulatedFleet::groupKey(group));
    int rank = 0;
    for (int other = 0; other < this->fleet.plan.instances; ++other)
        rank += stableHash(SimulatedFleet::nameOf(other), seed) < stableHash(this->name, seed);
    return rank;
}

SimulatedInstance::Decision SimulatedInstance::makeDecision(int group)
{
    Decision decision;
    decision.group = group;
    decision.record = this->copiedRecord(group);
    bool known = decision.record.state == GroupRecord::State::Serving;
    decision.planned
        = known && std::any_of(this->fleet.plan.needs.begin(), this->fleet.plan.needs.end(), [&](const Need& need) {
              auto from = this->fleet.observedFrom(need, this->number, this->startedAt);
              bool draining = need.kind == Need::Kind::Draining && this->fleet.isOpen(need);
              return need.group == group && draining && from && *from <= this->fleet.time.now();
          });
    return decision;
}

void SimulatedInstance::startReplacement(Decision decision)
{
    this->watches[static_cast<std::size_t>(decision.group)].replacementRunning = true;
    spawn(this->fleet.context, [self = this->shared(), decision] { return self->replace(decision); });
}

bool SimulatedInstance::isLeader() const
{
    return this->leads() || !this->lease->tenure().isOver(this->fleet.time.now());
}

void SimulatedInstance::queryHolder(int group, const std::string& primary, bool requestReplacement)
{
    auto stored = this->storedLeader();
    if (!stored || stored->record.holder == this->name)
        return;
    std::int64_t leaseId = stored->record.leaseId;
    if (leaseId != this->contactedLease)
        this->contact = {};
    this->contactedLease = leaseId;
    this->contact.recordQuery(this->fleet.time.now());
    int holder = this->fleet.numberOf(stored->record.holder);
    auto deliver = [sender = this->number, leaseId, group, primary, requestReplacement](SimulatedInstance& receiver) {
        receiver.receiveQuery(sender, leaseId);
        if (requestReplacement)
            receiver.replaceOnRequest(leaseId, group, primary);
    };
    this->fleet.send(this->number, holder, deliver);
}

void SimulatedInstance::receiveQuery(int sender, std::int64_t leaseId)
{
    bool held = this->lease->holds(leaseId, this->fleet.time.now());
    this->fleet.send(
        this->number, sender, [leaseId, held](SimulatedInstance& receiver) { receiver.receiveReply(leaseId, held); });
}

void SimulatedInstance::receiveReply(std::int64_t leaseId, bool held)
{
    if (leaseId == this->contactedLease)
        this->contact.recordReply(held, this->fleet.time.now());
}

void SimulatedInstance::replaceOnRequest(std::int64_t leaseId, int group, const std::string& primary)
{
    const GroupWatch& watch = this->watches[static_cast<std::size_t>(group)];
    bool waiting = watch.replacementRunning || this->fleet.time.now() < watch.nextAttemptAt;
    if (!this->lease->holds(leaseId, this->fleet.time.now()) || waiting)
        return;
    Decision decision = this->makeDecision(group);
    bool known = decision.record.state == GroupRecord::State::Serving;
    if ((known ? decision.record.primary : "") != primary)
        return;
    decision.requested = true;
    this->startReplacement(decision);
}

HolderContact SimulatedInstance::contactWith(const std::optional<StoredLeader>& stored) const
{
    return stored && stored->record.leaseId == this->contactedLease ? this->contact : HolderContact();
}

asio::awaitable<void> SimulatedInstance::replace(Decision decision)
{
    GroupWatch& watch = this->watches[static_cast<std::size_t>(decision.group)];
    int rank = this->leads() ? 0 : std::min(this->rankFor(decision.group), maxRank);
    co_await this->sleepFor(rankDelay * rank);
    Milliseconds delay = retryDelay;
    bool needed = this->copiedRecord(decision.group) == decision.record;
    if (needed)
        needed = co_await this->isStillNeeded(decision);
    if (needed)
        delay = co_await this->replaceOrDefer(decision);
    watch.replacementRunning = false;
    watch.nextAttemptAt = this->fleet.time.now() + delay;
}

asio::awaitable<bool> SimulatedInstance::isStillNeeded(Decision decision)
{
    bool isReplacing = decision.record.state == GroupRecord::State::Replacing;
    if (decision.planned || decision.requested || isReplacing)
        co_return true;
    // A member that is dark lets the connection time out, or the command after it as well.
    bool dark = !this->fleet.primaryAnswers(decision.group);
    Milliseconds timeout { this->fleet.chance(0.5) ? 400 : 800 };
    co_await this->sleepFor(dark ? timeout : this->fleet.delay(Milliseconds(4), Milliseconds(400)));
    if (decision.lostWrites)
        co_return true;
    bool leads = decision.record.primary == this->fleet.primaryOf(decision.group);
    co_return !(leads && this->fleet.primaryAnswers(decision.group));
}

asio::awaitable<Milliseconds> SimulatedInstance::replaceOrDefer(Decision decision)
{
    const LeaderTenure& tenure = this->lease->tenure();
    bool urgent = !decision.planned;
    auto stored = this->storedLeader();
    if (tenure.next(stored, this->contactWith(stored), urgent, this->fleet.time.now()) == LeaderStep::Defer)
        stored = co_await this->readLeader();
    HolderContact holder = this->contactWith(stored);
    if (tenure.next(stored, holder, urgent, this->fleet.time.now()) == LeaderStep::Defer) {
        bool known = decision.record.state == GroupRecord::State::Serving;
        this->queryHolder(decision.group, known ? decision.record.primary : "", true);
        co_return deferredRetryDelay;
    }
    if (this->leaving && !this->leads())
        co_return retryDelay;
    if (!co_await this->lease->obtain(stored, holder, urgent))
        co_return retryDelay;
    decision.fencingToken = tenure.fencingToken();
    co_await this->executeReplacement(decision);
    this->lease->finish();
    co_await this->enter(Step::Idle);
    co_return retryDelay;
}

asio::awaitable<std::optional<StoredLeader>> SimulatedInstance::readLeader()
{
    auto found = co_await this->read(leaderLeaseKey);
    if (!found)
        co_return this->storedLeader();
    co_return found->value ? std::optional(found->value->leader) : std::nullopt;
}

bool SimulatedInstance::mayAct(const Decision& decision) const
{
    return this->lease->tenure().fencingToken() == decision.fencingToken
        && this->lease->tenure().mayAct(this->fleet.time.now());
}

asio::awaitable<std::int64_t> SimulatedInstance::writeRecord(int group, std::int64_t expected, GroupRecord record)
{
    std::string value = writeGroupRecord(record);
    auto swapped = co_await this->swap(SimulatedFleet::groupKey(group), expected, value, 0);
    if (swapped)
        co_return swapped->number;
    auto after = co_await this->read(SimulatedFleet::groupKey(group));
    if (after && after->value && after->value->value == value && after->value->revision > expected)
        co_return after->value->revision;
    co_return 0;
}

asio::awaitable<bool> SimulatedInstance::executeReplacement(Decision decision)
{
    int group = decision.group;
    co_await this->enter(Step::ReadGroup);
    auto stored = co_await this->read(SimulatedFleet::groupKey(group));
    if (!stored || !stored->value || stored->value->group != decision.record)
        co_return false;
    GroupRecord old = stored->value->group;
    std::int64_t revision = stored->value->revision;
    if (old.state != GroupRecord::State::Replacing) {
        GroupRecord replacing = old;
        replacing.state = GroupRecord::State::Replacing;
        co_await this->enter(Step::WriteReplacing);
        revision = co_await this->writeRecord(group, revision, replacing);
    }
    if (!revision)
        co_return false;
    auto member = co_await this->selectNewPrimary(decision);
    if (!member)
        co_return false;
    bool adopted = *member == this->fleet.primaryOf(group) && this->fleet.termOf(group) > old.term;
    std::uint64_t oldTerm = adopted ? old.term : this->fleet.termOf(group);
    co_await this->enter(Step::Order);
    if (!adopted && !co_await this->promote(decision, *member))
        co_return false;
    co_await this->enter(Step::AwaitLeadership);
    std::uint64_t term = co_await this->awaitLeadership(group, oldTerm);
    if (!term)
        co_return false;
    co_await this->enter(Step::AwaitViews);
    co_await this->awaitViews(revision);
    co_await this->enter(Step::WriteServing);
    if (!this->mayAct(decision))
        co_return false;
    GroupRecord serving { GroupRecord::State::Serving, *member, term };
    co_return co_await this->writeRecord(group, revision, serving) != 0;
}

// The primary that an earlier leader promoted, if it answers, otherwise the member to promote.
asio::awaitable<std::optional<std::string>> SimulatedInstance::selectNewPrimary(Decision decision)
{
    for (int rounds = decision.planned ? 2 : 1; rounds > 0; --rounds) {
        co_await this->enter(Step::Fence);
        co_await this->sleepFor(this->fleet.delay(Milliseconds(20), Milliseconds(1200)));
        bool promoted = this->fleet.termOf(decision.group) > decision.record.term;
        co_await this->lease->renewIfNeeded();
        if (!this->mayAct(decision))
            co_return std::nullopt;
        if (promoted && this->fleet.primaryAnswers(decision.group))
            co_return this->fleet.primaryOf(decision.group);
    }
    co_return this->fleet.memberToPromote(decision.group);
}

asio::awaitable<bool> SimulatedInstance::promote(Decision decision, std::string member)
{
    bool covered = co_await this->lease->prepareOrder();
    if (!covered || !this->mayAct(decision))
        co_return false;
    SimulatedFleet& world = this->fleet;
    const KeyChange* stored = world.store.read(leaderLeaseKey);
    bool held = stored && stored->leader.record.state == LeaderRecord::State::Acting && this->lease->tenure().held()
        && stored->leader.record.leaseId == this->lease->tenure().held()->record.leaseId;
    Order order { {}, this->number, this->run, decision.group, decision.fencingToken, held };
    Loss loss = std::exchange(this->answerLoss, Loss::None);
    bool lost = loss != Loss::None || (world.disrupted(Kind::LostAnswers, -1) && world.chance(0.5));
    bool accepted = false;
    if (world.disrupted(Kind::Cut, this->number))
        co_await this->sleepFor(orderTimeout);
    else {
        bool heldUp = world.isOrderHeldUp();
        Duration duration = heldUp ? Duration(orderTimeout) : world.delay(Milliseconds(5), orderTimeout);
        Duration arrival = heldUp ? orderTimeout - world.delay(Milliseconds(0), Milliseconds(800))
                                  : std::min<Duration>(duration / 2, Milliseconds(200));
        world.time.at(world.time.now() + arrival, [&world, order, member] { world.receiveOrder(order, member); });
        co_await this->sleepFor(duration);
        accepted = !lost && !world.disrupted(Kind::Cut, this->number);
    }
    this->lease->recordOrder(world.time.now());
    co_return accepted;
}

asio::awaitable<std::uint64_t> SimulatedInstance::awaitLeadership(int group, std::uint64_t oldTerm)
{
    TimePoint deadline = this->fleet.time.now() + leadershipTimeout;
    while (this->fleet.time.now() < deadline) {
        co_await this->sleepFor(this->fleet.delay(Milliseconds(2), Milliseconds(100)));
        if (this->fleet.termOf(group) > oldTerm)
            co_return this->fleet.termOf(group);
        co_await this->lease->renewIfNeeded();
        co_await this->sleepFor(pollInterval);
    }
    co_return 0;
}

asio::awaitable<void> SimulatedInstance::awaitViews(std::int64_t revision)
{
    TimePoint deadline = this->fleet.time.now() + maxViewAge;
    bool all = false;
    while (!all && this->fleet.time.now() < deadline) {
        all = true;
        for (const auto& other : this->fleet.instances)
            all = all && other && this->fleet.store.revisionAt(other->copyTime()) >= revision;
        co_await this->lease->renewIfNeeded();
        co_await this->sleepFor(pollInterval);
    }
}

void SimulatedInstance::leave()
{
    if (this->leaving)
        return;
    this->leaving = true;
    spawn(this->fleet.context, [self = this->shared()] { return self->exitWhenDone(); });
}

asio::awaitable<void> SimulatedInstance::exitWhenDone()
{
    TimePoint deadline = this->fleet.time.now() + drainTime;
    bool busy = true;
    while (busy && this->fleet.time.now() < deadline) {
        co_await this->sleepFor(drainCheckInterval);
        busy = this->isLeader();
    }
    this->kill();
    this->fleet.exited(this->number);
}

} // namespace catkinlock::simulation
