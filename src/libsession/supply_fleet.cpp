#include "libsession/supply_fleet.h"

#include "libsession/supply_call.h"
#include "libsession/supply_store_client.h"
#include "peer.pb.h"
#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace catkinlock::simulation {

namespace {

    using Kind = SupplyDisruption::Kind;
    using Scope = SupplyDisruption::Scope;

    // Times of a call's way to the store or back, of a message to another instance, and of an acknowledgement.
    constexpr Milliseconds leastDelay { 1 };
    constexpr Milliseconds maxStoreDelay { 20 };
    constexpr Milliseconds maxNearDelay { 5 };
    constexpr Milliseconds leastFarDelay { 5 };
    constexpr Milliseconds maxFarDelay { 60 };
    constexpr Milliseconds maxAcknowledgement { 40 };
    // Within this time from the beginning of the run, all instances start.
    constexpr Milliseconds startTime { 200 };
    // Differences of the clocks of processes are up to this.
    constexpr int maxClockOffsetS = 1800;

    std::size_t index(int number) { return static_cast<std::size_t>(number); }

} // namespace

SupplyFleet::SupplyFleet(const SupplyPlan& plan)
    : plan(plan)
    , random(plan.seed)
{
    this->instances.resize(index(plan.instances));
    this->staleConnections.resize(index(plan.instances));
    this->result.copies.resize(index(plan.instances));
    this->result.calls.resize(index(plan.instances));
    this->result.length = plan.length;
    this->registerInstances();
}

// Coroutines that wait are ended through the context, so it goes last.
SupplyFleet::~SupplyFleet()
{
    this->time.clear();
    this->context.restart();
    this->context.poll();
}

void SupplyFleet::registerInstances()
{
    for (int number = 0; number < this->plan.instances; ++number) {
        int others = this->plan.dataCentres - 1;
        int dataCentre = this->plan.uneven ? std::max(0, number - (this->plan.instances - 1 - others))
                                           : number % this->plan.dataCentres;
        std::string name = fmt::format("i{}", number);
        this->result.names.push_back(name);
        this->view.instances[name] = { name, fmt::format("dc{}", dataCentre) };
    }
    for (const std::string& name : this->result.names) {
        this->relayPlans.push_back(planRelays(this->view, name));
        this->result.relays.push_back(this->relayPlans.back().pollsStore);
    }
    for (int number = 0; number < this->plan.instances; ++number)
        this->ranks.push_back(number);
    std::stable_partition(
        this->ranks.begin(), this->ranks.end(), [this](int number) { return this->result.relays[index(number)]; });
}

SupplyRun SupplyFleet::play()
{
    for (const SupplyDisruption& disruption : this->plan.disruptions)
        this->time.at(VirtualTime::start + disruption.from, [this, disruption] { this->begin(disruption); });
    this->scheduleWrites();
    for (int number = 0; number < this->plan.instances; ++number)
        this->time.at(
            this->time.now() + this->delay(Milliseconds(0), startTime), [this, number] { this->start(number); });
    while (this->time.runNext(VirtualTime::start + this->plan.length)) {
        this->context.restart();
        this->context.poll();
    }
    this->result.versions = this->store.versions();
    return std::move(this->result);
}

void SupplyFleet::scheduleWrites()
{
    for (const WriteBurst& burst : this->plan.writes) {
        for (int i = 0; i < burst.count; ++i) {
            this->time.at(VirtualTime::start + burst.from + i * burst.interval, [this] {
                if (this->isSilent(-1) || this->isRefused(-1))
                    return;
                Milliseconds slowness { this->amountOf(Kind::SlowStore, -1).value_or(0) };
                this->store.write(this->delay(leastDelay, maxAcknowledgement) + slowness);
                const Version& version = this->store.versions().back();
                this->log(fmt::format("the store has version {}, acknowledged at {} ms", version.revision,
                    version.acknowledgedAt.count()));
            });
        }
    }
}

Duration SupplyFleet::delay(Milliseconds least, Milliseconds greatest)
{
    double share = std::uniform_real_distribution<double>(0, 1)(this->random);
    auto span = std::chrono::duration_cast<std::chrono::microseconds>(greatest - least);
    return least + std::chrono::microseconds(static_cast<std::int64_t>(share * static_cast<double>(span.count())));
}

Duration SupplyFleet::linkDelay(int from, int to)
{
    const auto& instances = this->view.instances;
    bool near = instances.at(this->result.names[index(from)]).dataCentre
        == instances.at(this->result.names[index(to)]).dataCentre;
    Milliseconds late { std::max(
        this->amountOf(Kind::LatePeers, from).value_or(0), this->amountOf(Kind::LatePeers, to).value_or(0)) };
    return late + (near ? this->delay(leastDelay, maxNearDelay) : this->delay(leastFarDelay, maxFarDelay));
}

void SupplyFleet::log(const std::string& event)
{
    this->result.events += fmt::format("{:6} ms  {}\n", this->time.elapsed().count(), event);
}

void SupplyFleet::trace(int number, const std::string& event)
{
    if (number == this->plan.traced)
        this->log(fmt::format("{}{}: {}", this->result.names[index(number)],
            this->result.relays[index(number)] ? " (relay)" : "", event));
}

std::optional<int> SupplyFleet::amountOf(Kind kind, int instance) const
{
    std::optional<int> greatest;
    for (const Active& one : this->active) {
        if (one.kind == kind && one.instance == instance && this->time.elapsed() < one.until)
            greatest = std::max(greatest.value_or(0), one.amount);
    }
    return greatest;
}

bool SupplyFleet::isSilent(int instance) const
{
    return this->amountOf(Kind::SilentStore, instance) || this->amountOf(Kind::SilentStore, -1);
}

bool SupplyFleet::isRefused(int instance) const
{
    return this->amountOf(Kind::RefusingStore, instance) || this->amountOf(Kind::RefusingStore, -1);
}

bool SupplyFleet::losesMessage(int from, int to)
{
    int lost = 0;
    for (Kind kind : { Kind::LosesSent, Kind::LosesBoth })
        lost = std::max(lost, this->amountOf(kind, from).value_or(0));
    for (Kind kind : { Kind::LosesReceived, Kind::LosesBoth })
        lost = std::max(lost, this->amountOf(kind, to).value_or(0));
    return std::uniform_int_distribution<int>(0, 99)(this->random) < lost;
}

void SupplyFleet::send(int from, const std::string& to, const wire::Envelope& message)
{
    auto found = std::find(this->result.names.begin(), this->result.names.end(), to);
    int receiver = static_cast<int>(found - this->result.names.begin());
    if (found == this->result.names.end() || this->losesMessage(from, receiver))
        return this->trace(from, "a message to " + to + " is lost");
    auto envelope = std::make_shared<wire::Envelope>(message);
    envelope->set_sender(this->result.names[index(from)]);
    if (envelope->has_changes_request())
        this->trace(from, fmt::format("asks {}, wait {} ms", to, envelope->changes_request().wait_ms()));
    this->time.at(this->time.now() + this->linkDelay(from, receiver), [this, receiver, envelope] {
        std::shared_ptr<SupplyInstance> instance = this->instances[index(receiver)];
        if (!instance)
            return;
        instance->process().in(Duration(0), [this, receiver, instance, envelope] {
            if (envelope->has_changes_reply())
                this->trace(receiver,
                    fmt::format("reply of {}: {}, {} changes, age {} ms", envelope->sender(),
                        envelope->changes_reply().unavailable() ? "unavailable" : "available",
                        envelope->changes_reply().changes_size(), envelope->changes_reply().confirmed_age_ms()));
            instance->receive(*envelope);
        });
    });
}

void SupplyFleet::traceCall(const SupplyCall& call, const SupplyRequest& request)
{
    if (call.instance != this->plan.traced)
        return;
    const auto& outcome = *call.outcome;
    std::string text = !outcome ? outcome.error().message
        : outcome->changes.historyLost
        ? "history lost"
        : fmt::format("revision {}", request.after ? outcome->changes.revision : outcome->range.revision);
    this->trace(call.instance,
        fmt::format("{} the store, wait {} ms: {}", request.after ? "polled" : "read", request.wait.count(), text));
}

void SupplyFleet::carry(const std::shared_ptr<SupplyCall>& call, const SupplyRequest& request)
{
    int number = call->instance;
    this->result.calls[index(number)].push_back(this->time.elapsed());
    if (this->isRefused(number))
        return call->process->in(this->delay(leastDelay, maxNearDelay), [call] {
            call->end(tl::unexpected(PlatformError { false, "refused" }));
        });
    if (this->isSilent(number))
        return;
    if (this->staleConnections[index(number)] > 0) {
        --this->staleConnections[index(number)];
        return;
    }
    std::erase_if(this->calls, [](const std::weak_ptr<SupplyCall>& other) { return other.expired(); });
    this->calls.push_back(call);
    this->time.at(this->time.now() + this->delay(leastDelay, maxStoreDelay), [this, call, request] {
        if (!this->isSilent(call->instance))
            this->store.receive(request, [this, call](const SupplyAnswer& found) { this->answer(call, found); });
    });
}

void SupplyFleet::answer(const std::shared_ptr<SupplyCall>& call, const SupplyAnswer& found)
{
    if (call->outcome || call->isSilent || this->isSilent(call->instance))
        return;
    Milliseconds slowness { std::max(
        this->amountOf(Kind::SlowStore, call->instance).value_or(0), this->amountOf(Kind::SlowStore, -1).value_or(0)) };
    call->process->in(slowness + this->delay(leastDelay, maxStoreDelay), [call, found] { call->end(found); });
}

void SupplyFleet::start(int number)
{
    if (this->instances[index(number)])
        return;
    Duration offset = std::chrono::seconds(std::uniform_int_distribution<int>(0, maxClockOffsetS)(this->random));
    auto process = std::make_shared<SupplyProcess>(this->time, offset, [this, number] {
        // What the event has caused runs first.
        this->context.restart();
        this->context.poll();
        this->observe(number);
    });
    this->staleConnections[index(number)] = 0;
    this->instances[index(number)] = std::make_shared<SupplyInstance>(*this, number, process);
    this->result.copies[index(number)].push_back(this->instances[index(number)]->state());
    this->instances[index(number)]->start();
}

void SupplyFleet::kill(int number, Milliseconds lasts)
{
    auto& instance = this->instances[index(number)];
    if (instance)
        instance->process().end();
    instance.reset();
    this->result.copies[index(number)].push_back({ this->time.elapsed(), 0, Milliseconds(0) });
    this->time.at(this->time.now() + lasts, [this, number] {
        this->log(this->result.names[index(number)] + " starts again");
        this->start(number);
    });
}

void SupplyFleet::observe(int number)
{
    const auto& instance = this->instances[index(number)];
    if (!instance)
        return;
    CopyState state = instance->state();
    std::vector<CopyState>& states = this->result.copies[index(number)];
    if (state.version != states.back().version)
        this->trace(number, fmt::format("has version {}", state.version));
    if (state.version != states.back().version || state.confirmedAt != states.back().confirmedAt)
        states.push_back(state);
    std::string fault = instance->check();
    if (!fault.empty())
        this->result.faults
            += fmt::format("{:6} ms  {}: {}\n", state.from.count(), this->result.names[index(number)], fault);
}

std::vector<int> SupplyFleet::disruptedBy(const SupplyDisruption& disruption) const
{
    switch (disruption.scope) {
    case Scope::Store:
        return { -1 };
    case Scope::OneInstance:
        return { this->ranks[index(disruption.rank) % this->ranks.size()] };
    case Scope::AllButOneFollower:
        return { this->ranks.begin(), this->ranks.end() - 1 };
    case Scope::AllRelays:
        break;
    }
    std::vector<int> relays;
    std::copy_if(this->ranks.begin(), this->ranks.end(), std::back_inserter(relays),
        [this](int number) { return this->result.relays[index(number)]; });
    return relays;
}

void SupplyFleet::begin(const SupplyDisruption& disruption)
{
    for (int instance : this->disruptedBy(disruption))
        this->disrupt(disruption, instance);
}

void SupplyFleet::disrupt(const SupplyDisruption& disruption, int instance)
{
    Milliseconds now = this->time.elapsed();
    std::string name = instance < 0 ? "the store" : this->result.names[index(instance)];
    std::string role = instance >= 0 && this->result.relays[index(instance)] ? " (relay)" : "";
    std::ostringstream text;
    text << disruption;
    this->log(fmt::format("{}{} as planned for {}", name, role, text.str()));
    this->active.push_back({ disruption.kind, instance, disruption.amount, now + disruption.lasts });
    this->result.disrupted.push_back({ instance, disruption.kind, now, now + disruption.lasts });
    if (disruption.kind == Kind::Compaction)
        return this->store.compact();
    if (disruption.kind == Kind::Restore)
        return this->store.restore(Milliseconds(disruption.amount));
    if (disruption.kind == Kind::RefusingStore || disruption.kind == Kind::StaleConnections)
        this->endCallsOf(instance, disruption.kind);
    if (instance < 0)
        return;
    if (disruption.kind == Kind::StaleConnections)
        this->staleConnections[index(instance)] = disruption.amount;
    else if (disruption.kind == Kind::Kill)
        this->kill(instance, disruption.lasts);
    else if (disruption.kind == Kind::Suspend && this->instances[index(instance)])
        this->instances[index(instance)]->process().suspendFor(disruption.lasts);
}

// Resets the calls of an instance, or silences their connections.
void SupplyFleet::endCallsOf(int instance, Kind kind)
{
    for (const std::weak_ptr<SupplyCall>& waiting : this->calls) {
        auto call = waiting.lock();
        if (!call || (instance >= 0 && call->instance != instance))
            continue;
        if (kind == Kind::StaleConnections)
            call->isSilent = true;
        else
            call->process->in(leastDelay, [call] {
                call->end(tl::unexpected(PlatformError { true, "connection reset" }));
            });
    }
}

SupplyRun simulateSupply(const SupplyPlan& plan) { return SupplyFleet(plan).play(); }

} // namespace catkinlock::simulation
