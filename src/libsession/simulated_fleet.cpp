#include "libsession/simulated_fleet.h"

#include "catkinlock/rendezvous.h"
#include <algorithm>
#include <fmt/format.h>

namespace catkinlock::simulation {

namespace {

    // What an order takes to take effect once it has reached the platform.
    constexpr Milliseconds orderEffectDelay { 600 };
    // The judgement of turn-taking leaves out instances that were disrupted within this time.
    constexpr Milliseconds contactTime { 4000 };
    // Shortest time between the exit of an instance and its next start.
    constexpr Milliseconds restartDelay { 200 };

    std::size_t index(int number) { return static_cast<std::size_t>(number); }

} // namespace

bool FleetRun::inTouch(int instance, Milliseconds at) const
{
    return std::none_of(this->disrupted.begin(), this->disrupted.end(), [&](const DisruptedSpan& span) {
        bool concerns = span.instance < 0 || span.instance == instance;
        return concerns && span.from <= at && span.to >= at - contactTime;
    });
}

SimulatedFleet::SimulatedFleet(const FleetPlan& plan)
    : plan(plan)
    , random(plan.seed)
{
    this->instances.resize(index(plan.instances));
    this->runs.resize(index(plan.instances));
    this->restartAt.resize(index(plan.instances));
    this->open.assign(plan.needs.size(), true);
    this->terms.resize(index(plan.groups));
    this->primaries.assign(index(plan.groups), "m0");
    this->result.servingAt.resize(index(plan.groups));
    for (int group = 0; group < plan.groups; ++group)
        this->store.swap(groupKey(group), 0, writeGroupRecord({ GroupRecord::State::Serving, "m0", 0 }), 0);
}

// Coroutines that wait are ended through the context, so it goes last.
SimulatedFleet::~SimulatedFleet()
{
    this->time.clear();
    this->context.restart();
    this->context.poll();
}

FleetRun SimulatedFleet::play()
{
    for (const Disruption& disruption : this->plan.disruptions)
        this->time.at(VirtualTime::start + disruption.from, [this, disruption] { this->begin(disruption); });
    for (int number = 0; number < this->plan.instances; ++number)
        this->startInstance(number);
    while (this->time.runNext(VirtualTime::start + this->plan.length)) {
        this->context.restart();
        this->context.poll();
    }
    this->recordServing();
    return std::move(this->result);
}

Duration SimulatedFleet::delay(Milliseconds least, Milliseconds greatest)
{
    double share = std::uniform_real_distribution<double>(0, this->plan.slowness / 100.0)(this->random);
    auto span = std::chrono::duration_cast<std::chrono::microseconds>(greatest - least);
    return least
        + std::chrono::microseconds(static_cast<std::int64_t>(share * share * static_cast<double>(span.count())));
}

void SimulatedFleet::log(const std::string& event)
{
    this->result.events
        += fmt::format("{:7.3f} s  {}\n", static_cast<double>(this->time.elapsed().count()) / 1000, event);
}

bool SimulatedFleet::disrupted(Disruption::Kind kind, int instance) const
{
    Milliseconds now = this->time.elapsed();
    return std::any_of(this->active.begin(), this->active.end(), [&](const Disruption& disruption) {
        return disruption.kind == kind && disruption.instance == instance && now < disruption.from + disruption.lasts;
    });
}

void SimulatedFleet::send(int from, int to, std::function<void(SimulatedInstance&)> deliver)
{
    bool lossy = this->disrupted(Disruption::Kind::Lossy, from) || this->disrupted(Disruption::Kind::Lossy, to);
    bool cut = this->disrupted(Disruption::Kind::Cut, from) || this->disrupted(Disruption::Kind::Cut, to);
    if (cut || (lossy && this->chance(0.5)))
        return;
    this->time.at(this->time.now() + this->delay(Milliseconds(1), Milliseconds(60)), [this, to, deliver] {
        auto receiver = this->instances[index(to)];
        if (receiver && !this->disrupted(Disruption::Kind::Cut, to))
            receiver->at(this->time.now(), [receiver, deliver] { deliver(*receiver); });
    });
}

int SimulatedFleet::numberOf(const std::string& name) const
{
    for (int number = 0; number < this->plan.instances; ++number) {
        if (nameOf(number) == name)
            return number;
    }
    return -1;
}

std::optional<TimePoint> SimulatedFleet::observedFrom(const Need& need, int instance, TimePoint startedAt) const
{
    TimePoint from = VirtualTime::start + need.from;
    if (this->time.now() >= from + need.lasts)
        return std::nullopt;
    auto difference = stableHash(nameOf(instance), this->plan.seed + static_cast<std::uint64_t>(need.from.count()));
    bool draining = need.kind == Need::Kind::Draining;
    Milliseconds detection { difference % (draining ? 200 : 800) };
    // Without memory, an instance collects its evidence anew.
    Milliseconds evidence { draining || startedAt <= from ? 0 : 1100 };
    return std::max(from, startedAt + evidence) + detection;
}

bool SimulatedFleet::primaryAnswers(int group) const
{
    Milliseconds now = this->time.elapsed();
    return std::none_of(this->plan.needs.begin(), this->plan.needs.end(), [&](const Need& need) {
        bool lasting = this->isOpen(need) && need.from <= now && now < need.from + need.lasts;
        return need.group == group && lasting && need.kind == Need::Kind::Dark;
    });
}

// The next member, or the same one again if the group has no better one.
std::string SimulatedFleet::memberToPromote(int group) const
{
    Milliseconds now = this->time.elapsed();
    bool better = std::none_of(this->plan.needs.begin(), this->plan.needs.end(), [&](const Need& need) {
        return need.group == group && !need.curable && need.from <= now && now < need.from + need.lasts;
    });
    const std::string& primary = this->primaries[index(group)];
    return better ? "m" + std::to_string(std::stoi(primary.substr(1)) + 1) : primary;
}

bool SimulatedFleet::isOrderHeldUp() { return std::exchange(this->holdsUpOrder, false); }

void SimulatedFleet::receiveOrder(Order order, std::string member)
{
    order.at = this->time.elapsed();
    this->log(fmt::format("{} run {}: order for g{}, member {}, token {}{}", nameOf(order.instance), order.run,
        order.group, member, order.fencingToken, order.leaseHeld ? "" : ", WITHOUT THE LEASE"));
    this->result.orders.push_back(order);
    this->time.at(this->time.now() + orderEffectDelay, [this, order, member] {
        std::uint64_t term = ++this->terms[index(order.group)];
        this->primaries[index(order.group)] = member;
        this->log(fmt::format("g{} has the primary {}, term {}", order.group, member, term));
        for (std::size_t i = 0; i < this->plan.needs.size(); ++i) {
            const Need& need = this->plan.needs[i];
            if (need.group == order.group && need.curable && need.from <= order.at)
                this->open[i] = false;
        }
    });
}

void SimulatedFleet::recordServing()
{
    for (int group = 0; group < this->plan.groups; ++group) {
        bool needed = std::any_of(this->plan.needs.begin(), this->plan.needs.end(),
            [&](const Need& need) { return need.group == group && this->isOpen(need); });
        const KeyChange* record = this->store.read(groupKey(group));
        bool serving = record && record->group.state == GroupRecord::State::Serving
            && record->group.primary == this->primaries[index(group)];
        if (serving && !needed)
            this->result.servingAt[index(group)]
                = std::chrono::duration_cast<Milliseconds>(record->at - VirtualTime::start);
    }
}

void SimulatedFleet::startInstance(int number)
{
    if (this->instances[index(number)])
        return;
    if (this->time.elapsed() > Milliseconds(0)) {
        this->result.disrupted.push_back({ number, this->time.elapsed(), this->time.elapsed() });
        this->log(nameOf(number) + " starts again");
    }
    this->instances[index(number)] = std::make_shared<SimulatedInstance>(*this, number, ++this->runs[index(number)]);
    this->instances[index(number)]->start();
}

void SimulatedFleet::exited(int instance)
{
    this->log(nameOf(instance) + " exits");
    this->instances[index(instance)].reset();
    TimePoint restart = std::max(this->restartAt[index(instance)], this->time.now() + restartDelay);
    this->time.at(restart, [this, instance] { this->startInstance(instance); });
}

void SimulatedFleet::begin(const Disruption& planned)
{
    using Kind = Disruption::Kind;
    Disruption disruption = planned;
    bool ofStore = disruption.kind == Kind::Outage || disruption.kind == Kind::LostAnswers;
    if (ofStore)
        disruption.instance = -1;
    else if (disruption.instance < 0) {
        const KeyChange* stored = this->store.read(leaderLeaseKey);
        int holder = stored ? this->numberOf(stored->leader.record.holder) : -1;
        disruption.instance = std::max(holder, 0);
    }
    disruption.from = this->time.elapsed();
    constexpr const char* names[] { "killed", "told to leave", "suspended", "cut off", "loses messages",
        "turned away by the store", "unreachable", "loses answers" };
    this->log(fmt::format("{} {} for {} ms", ofStore ? "store" : nameOf(disruption.instance),
        names[static_cast<int>(disruption.kind)], disruption.lasts.count()));
    // An instance that the store turns away has its links and its process, so it counts as one in touch.
    if (disruption.kind != Kind::TurnedAway) {
        Milliseconds length = disruption.kind == Kind::Leave ? Milliseconds(0) : disruption.lasts;
        this->result.disrupted.push_back({ disruption.instance, disruption.from, disruption.from + length });
    }
    std::shared_ptr<SimulatedInstance> target = ofStore ? nullptr : this->instances[index(disruption.instance)];
    int number = disruption.instance;
    TimePoint end = this->time.now() + disruption.lasts;
    if (disruption.kind == Kind::Kill && target) {
        target->kill();
        this->instances[index(number)].reset();
        this->time.at(end, [this, number] { this->startInstance(number); });
    } else if (disruption.kind == Kind::Leave && target) {
        this->restartAt[index(number)] = end;
        target->leave();
    } else if (disruption.kind == Kind::Suspend && target)
        target->suspendUntil(end);
    this->active.push_back(disruption);
}

void SimulatedFleet::fireStepFault(int number)
{
    Disruption disruption;
    disruption.instance = number;
    disruption.lasts = Milliseconds(200);
    switch (this->plan.stepFault->kind) {
    case StepFault::Kind::KillForGood:
        disruption.lasts = 2 * this->plan.length;
        break;
    case StepFault::Kind::Leave:
        disruption.kind = Disruption::Kind::Leave;
        break;
    case StepFault::Kind::Suspend:
        disruption.kind = Disruption::Kind::Suspend;
        disruption.lasts = Milliseconds(5000);
        break;
    default:
        break;
    }
    this->begin(disruption);
}

void SimulatedFleet::disruptAt(Step step, SimulatedProcess& process)
{
    const auto& fault = this->plan.stepFault;
    if (!fault || fault->step != step || this->result.stepFaultAt)
        return;
    this->result.stepFaultAt = this->time.elapsed();
    this->holdsUpOrder = fault->kind == StepFault::Kind::KillWithOrderOnItsWay;
    int number = process.number;
    bool loss = fault->kind == StepFault::Kind::LoseAnswer || fault->kind == StepFault::Kind::LoseAnswerAndDelayEffect;
    if (loss) {
        this->log("the answer to the next call of " + nameOf(number) + " is lost");
        this->result.disrupted.push_back({ -1, this->time.elapsed(), this->time.elapsed() });
        using Loss = SimulatedProcess::Loss;
        bool delayed = fault->kind == StepFault::Kind::LoseAnswerAndDelayEffect;
        process.loseNextAnswer(delayed ? Loss::DelayedEffect : Loss::Answer);
    } else if (fault->after.count()) {
        this->result.stepFaultAt = this->time.elapsed() + fault->after;
        this->time.at(this->time.now() + fault->after, [this, number] { this->fireStepFault(number); });
    } else
        this->fireStepFault(number);
}

FleetRun simulateFleet(const FleetPlan& plan) { return SimulatedFleet(plan).play(); }

} // namespace catkinlock::simulation
