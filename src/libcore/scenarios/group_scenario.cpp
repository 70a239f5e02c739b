#include "libcore/scenarios/group_scenario.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace catkinlock::scenarios {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t memberCount = 3;
    constexpr std::size_t gatewayCount = 3;
    // Times and durations are integers in milliseconds of the virtual clock.

    // Faults are injected only in the first phase and cleared at its end.
    constexpr int faultPhaseMs = 6000;
    constexpr int recoveryPhaseMs = 8000;
    constexpr int pollIntervalMs = 100;
    constexpr int responseTimeoutMs = 300;
    constexpr int writeIntervalMs = 40;
    // A caller settles a write that has had no response for this long.
    constexpr int callerTimeoutMs = 3000;
    constexpr int maxReadAgeMs = 800;

    // An entry of a member's log.
    struct Entry {
        std::uint64_t term;
        std::uint64_t id;
        // The entry is a record that prevents the request from running, not the request itself.
        bool tombstone;
    };

    // A member of the group that follows the rules of docs/PLATFORM.md for real members.
    struct FakeMember {
        std::uint64_t promisedTerm = 1;
        std::uint64_t term = 1;
        bool isPrimary = false;
        // Index of the member from which this one replicates.
        std::optional<std::size_t> source;
        std::vector<Entry> log;
        std::size_t applied = 0;
        int lastPrimaryMessageAt = 0;
        int frozenUntil = 0;
        // Average time until entries become visible to reads. An entry takes a tenth of it to arrive.
        int lagMs = 20;
        bool crashed = false;
        bool cutFromMembers = false;
        bool cutFromGateways = false;

        MemberStatus status(int now) const
        {
            std::uint64_t logTerm = this->log.empty() ? 0 : this->log.back().term;
            auto sincePrimaryMessage
                = static_cast<std::uint64_t>(this->isPrimary ? 0 : now - this->lastPrimaryMessageAt);
            return { this->isPrimary, this->promisedTerm, { this->term, this->log.size() }, logTerm, this->applied,
                sincePrimaryMessage };
        }
        bool fence(std::uint64_t newTerm)
        {
            if (newTerm <= this->promisedTerm)
                return false;
            this->promisedTerm = newTerm;
            this->isPrimary = false;
            this->source.reset();
            return true;
        }
        bool promote(std::uint64_t newTerm)
        {
            if (newTerm != this->promisedTerm)
                return false;
            if (this->isPrimary && this->term == newTerm)
                return true;
            this->isPrimary = true;
            this->term = newTerm;
            this->log.push_back({ newTerm, 0, false });
            this->applied = this->log.size();
            return true;
        }
        bool follow(std::uint64_t newTerm, std::size_t primary)
        {
            if (newTerm < this->promisedTerm || (this->isPrimary && this->term == newTerm))
                return false;
            this->promisedTerm = newTerm;
            this->isPrimary = false;
            this->source = primary;
            return true;
        }
        const Entry* find(std::uint64_t id) const
        {
            // Searches backwards, since most look-ups are for recent entries.
            for (auto entry = this->log.rbegin(); entry != this->log.rend(); ++entry) {
                if (entry->id == id)
                    return &*entry;
            }
            return nullptr;
        }
    };

    struct Write {
        std::uint64_t id;
        int startedAt;
        bool settling = false;
        bool inFlight = false;
        int attemptDeadline = 0;
        // Set once the primary has committed the write, while confirmation by a majority is pending.
        std::optional<Position> position = std::nullopt;
        bool responseIsNotRun = false;
    };

    struct FakeGateway {
        GroupState state;
        std::optional<Failover> failover;
        int frozenUntil = 0;
        std::vector<Write> writes;
        int nextWriteAt = 0;
    };

    // A write that was reported to its caller as done.
    struct ReportedWrite {
        int at;
        Position position;
    };

    class Scenario {
    public:
        Scenario(std::uint64_t seed, std::vector<FaultPlan> plans, const Mutation& mutation)
            : random(seed)
            , plans(std::move(plans))
            , mutation(mutation)
            , stepCounts(stepCount, 0)
        {
            for (std::size_t i = 0; i < gatewayCount; ++i) {
                FakeGateway& gateway = this->gateways[i];
                gateway.state = GroupState(memberCount, this->time());
                gateway.failover.emplace(memberCount, FailoverTimes {}, this->time());
                gateway.nextWriteAt = 200 + static_cast<int>(i) * 13;
            }
        }

        ScenarioResult run()
        {
            for (this->now = 1; this->now < faultPhaseMs + recoveryPhaseMs; ++this->now) {
                if (this->now == faultPhaseMs)
                    this->clearFaults();
                if (this->now == faultPhaseMs / 3)
                    this->enterStep(Step::Idle);
                this->runDueEvents();
                for (std::size_t i = 0; i < memberCount; ++i)
                    this->replicate(this->members[i]);
                for (std::size_t i = 0; i < gatewayCount; ++i)
                    this->advanceGateway(i);
            }
            this->checkHistory();
            return std::move(this->result);
        }

    private:
        struct Event {
            int at;
            std::uint64_t sequence;
            std::function<void()> run;
            bool operator>(const Event& other) const
            {
                return std::pair(this->at, this->sequence) > std::pair(other.at, other.sequence);
            }
        };

        TimePoint time() const { return TimePoint(milliseconds(this->now + 1000)); }
        int randomInt(int min, int max) { return std::uniform_int_distribution<int>(min, max)(this->random); }
        bool chance(double probability) { return std::bernoulli_distribution(probability)(this->random); }
        void after(int delay, std::function<void()> run)
        {
            this->events.push({ this->now + delay, this->nextSequence++, std::move(run) });
        }
        void recordViolation(const std::string& what)
        {
            if (std::find(this->result.violations.begin(), this->result.violations.end(), what)
                == this->result.violations.end())
                this->result.violations.push_back(what);
        }

        void runDueEvents()
        {
            while (!this->events.empty() && this->events.top().at <= this->now) {
                auto run = this->events.top().run;
                this->events.pop();
                run();
            }
        }

        // Sends a request to a member and its response back to the gateway. The request may be delayed or duplicated
        // and the response lost; a frozen receiver handles either when it resumes. `execute` runs on the member and
        // returns the handler of the response.
        void sendRequest(std::size_t gateway, std::size_t member, std::function<std::function<void()>()> execute)
        {
            bool delayed = this->messagesDelayed && this->chance(0.1);
            int copies = this->messagesDuplicated && this->chance(0.3) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                int delay = delayed ? this->randomInt(500, 2500) : this->randomInt(1, 4);
                this->after(
                    delay, [this, gateway, member, execute] { this->deliverRequest(gateway, member, execute); });
            }
        }

        void deliverRequest(std::size_t gateway, std::size_t member, std::function<std::function<void()>()> execute)
        {
            FakeMember& target = this->members[member];
            if (target.crashed || target.cutFromGateways)
                return;
            if (target.frozenUntil > this->now) {
                this->after(
                    target.frozenUntil - this->now, [=, this] { this->deliverRequest(gateway, member, execute); });
                return;
            }
            auto response = execute();
            if (this->responsesLost && this->chance(0.4))
                return;
            this->after(this->randomInt(1, 4), [this, gateway, response] { this->deliverResponse(gateway, response); });
        }

        void deliverResponse(std::size_t gateway, std::function<void()> response)
        {
            int resumesAt = this->gateways[gateway].frozenUntil;
            if (resumesAt > this->now)
                this->after(resumesAt - this->now, response);
            else
                response();
        }

        void replicate(FakeMember& member)
        {
            bool unavailable
                = member.crashed || member.frozenUntil > this->now || !member.source || member.cutFromMembers;
            if (unavailable)
                return;
            FakeMember& primary = this->members[*member.source];
            bool primaryServes = !primary.crashed && primary.frozenUntil <= this->now && !primary.cutFromMembers
                && primary.isPrimary && primary.term == member.promisedTerm;
            if (!primaryServes)
                return;
            member.lastPrimaryMessageAt = this->now;
            if (member.term != primary.term) {
                std::size_t common = 0;
                while (common < member.log.size() && common < primary.log.size()
                    && member.log[common].term == primary.log[common].term)
                    ++common;
                member.log.resize(common);
                member.applied = std::min(member.applied, common);
                member.term = primary.term;
            }
            if (member.log.size() < primary.log.size() && this->chance(1.0 / std::max(member.lagMs / 10, 1)))
                member.log.push_back(primary.log[member.log.size()]);
            if (member.applied < member.log.size() && this->chance(1.0 / member.lagMs))
                member.applied = member.log.size();
        }

        void advanceGateway(std::size_t index)
        {
            FakeGateway& gateway = this->gateways[index];
            if (gateway.frozenUntil > this->now)
                return;
            if (this->now % pollIntervalMs == static_cast<int>(index) * 7) {
                for (std::size_t member = 0; member < memberCount; ++member)
                    this->poll(index, member);
            }
            if (this->now % 25 == 0)
                this->sendActions(index,
                    gateway.failover->tick(gateway.state, this->time(), static_cast<unsigned>(index), false,
                        this->randomInt(0, 1000) / 1000.0));
            if (this->now >= gateway.nextWriteAt) {
                gateway.nextWriteAt += writeIntervalMs;
                gateway.writes.push_back({ ++this->lastWriteId, this->now });
            }
            this->advanceWrites(index);
            if (this->now % 30 == static_cast<int>(index))
                this->read(index);
        }

        void poll(std::size_t index, std::size_t member)
        {
            int sentAtMs = this->now;
            auto responded = std::make_shared<bool>(false);
            TimePoint requestedAt = this->time();
            this->sendRequest(index, member, [=, this] {
                MemberStatus status = this->members[member].status(this->now);
                return [=, this] {
                    if (this->now - sentAtMs > responseTimeoutMs)
                        return;
                    *responded = true;
                    this->gateways[index].state.observe(member, status, requestedAt, this->time());
                };
            });
            this->after(responseTimeoutMs, [=, this] {
                if (!*responded)
                    this->deliverResponse(
                        index, [=, this] { this->gateways[index].state.recordFailure(member, this->time()); });
            });
        }

        void sendActions(std::size_t index, const std::vector<FailoverAction>& actions)
        {
            for (FailoverAction action : actions) {
                if (action.kind == FailoverAction::Kind::Promote && this->mutation.promoteOldest)
                    action.member = this->oldestFenced(action.term);
                this->enterStep(action.kind == FailoverAction::Kind::Fence ? Step::FenceSent
                        : action.kind == FailoverAction::Kind::Promote     ? Step::PromoteSent
                                                                           : Step::FollowSent);
                TimePoint requestedAt = this->time();
                this->sendRequest(index, action.member, [=, this] {
                    bool accepted = this->executeAction(action);
                    MemberStatus status = this->members[action.member].status(this->now);
                    return [=, this] { this->handleActionResponse(index, action, accepted, status, requestedAt); };
                });
            }
        }

        std::size_t oldestFenced(std::uint64_t term) const
        {
            std::size_t oldest = 0;
            std::size_t length = SIZE_MAX;
            for (std::size_t i = 0; i < memberCount; ++i) {
                if (this->members[i].promisedTerm == term && this->members[i].log.size() < length) {
                    oldest = i;
                    length = this->members[i].log.size();
                }
            }
            return oldest;
        }

        bool executeAction(const FailoverAction& action)
        {
            FakeMember& member = this->members[action.member];
            if (action.kind == FailoverAction::Kind::Fence) {
                bool accepted = member.fence(action.term);
                if (accepted)
                    this->enterStep(Step::Fenced);
                return accepted;
            }
            if (action.kind == FailoverAction::Kind::Follow)
                return member.follow(action.term, action.primary);
            bool accepted = member.promote(action.term);
            if (accepted) {
                auto [entry, isNew] = this->primaryByTerm.emplace(action.term, action.member);
                if (!isNew && entry->second != action.member)
                    this->recordViolation("two primaries in one term");
                this->enterStep(Step::Promoted);
            }
            return accepted;
        }

        void handleActionResponse(std::size_t index, const FailoverAction& action, bool accepted,
            const MemberStatus& status, TimePoint requestedAt)
        {
            FakeGateway& gateway = this->gateways[index];
            gateway.state.observe(action.member, status, requestedAt, this->time());
            if (action.kind == FailoverAction::Kind::Fence)
                this->sendActions(index,
                    gateway.failover->handleFenceResponse(action.member, action.term, accepted, status, this->time()));
            if (action.kind == FailoverAction::Kind::Promote)
                gateway.failover->handlePromoteResponse(action.member, action.term, accepted);
        }

        void advanceWrites(std::size_t index)
        {
            FakeGateway& gateway = this->gateways[index];
            for (Write& write : gateway.writes) {
                if (write.position)
                    this->tryAcknowledge(gateway, write);
                else if (!write.inFlight || this->now >= write.attemptDeadline)
                    this->sendCommit(index, write);
                // After this time the caller gives up on the response and settles its request instead.
                if (!write.settling && !write.position && this->now - write.startedAt > callerTimeoutMs) {
                    write.settling = true;
                    ++this->result.unknown;
                }
            }
            std::erase_if(gateway.writes, [this](const Write& write) { return this->finishedWrites.count(write.id); });
        }

        void tryAcknowledge(FakeGateway& gateway, Write& write)
        {
            bool confirmed = gateway.state.confirmed(*write.position);
            if (this->mutation.acknowledgeWithoutMajority)
                confirmed = true;
            if (this->mutation.acknowledgeAcrossTerms) {
                std::size_t holders = 0;
                for (std::size_t i = 0; i < memberCount; ++i) {
                    const auto& status = gateway.state.observation(i).status;
                    holders += status && status->position.lsn >= write.position->lsn;
                }
                confirmed = holders >= gateway.state.majority();
            }
            if (!confirmed) {
                // A newer term has been promised, so the position may never be confirmed. The commit is sent again; the
                // record of the write prevents a second run and gives its outcome.
                if (gateway.state.newestPromisedTerm() > write.position->term) {
                    write.position.reset();
                    write.inFlight = false;
                }
                return;
            }
            this->finishedWrites.insert(write.id);
            if (write.responseIsNotRun) {
                this->reportedNotRun.insert(write.id);
                ++this->result.settledNotRun;
                return;
            }
            this->reportedDone[write.id] = { this->now, *write.position };
            ++this->result.acknowledged;
            this->lastAcknowledgedAt = this->now;
            this->enterStep(Step::Acknowledged);
        }

        void sendCommit(std::size_t index, Write& write)
        {
            auto primary = this->gateways[index].state.primary();
            if (!primary || this->gateways[index].state.observation(*primary).consecutiveFailures)
                return;
            write.inFlight = true;
            write.attemptDeadline = this->now + responseTimeoutMs;
            this->enterStep(Step::CommitSent);
            std::size_t member = *primary;
            std::uint64_t id = write.id;
            bool settling = write.settling;
            this->sendRequest(index, member, [=, this] { return this->executeCommit(index, member, id, settling); });
        }

        std::function<void()> executeCommit(std::size_t index, std::size_t member, std::uint64_t id, bool settling)
        {
            FakeMember& target = this->members[member];
            if (!target.isPrimary || target.promisedTerm != target.term)
                return [] {};
            const Entry* record = target.find(id);
            if (settling && !record && this->mutation.settleWithoutRecord) {
                Position position { target.term, target.log.size() };
                return [=, this] { this->handleCommitResponse(index, id, position, true); };
            }
            if (!record) {
                target.log.push_back({ target.term, id, settling });
                target.applied = target.log.size();
                record = &target.log.back();
            }
            bool notRun = record->tombstone;
            this->enterStep(Step::CommitExecuted);
            // The response contains the end of the log, which includes the record.
            Position position { target.term, target.log.size() };
            return [=, this] { this->handleCommitResponse(index, id, position, notRun); };
        }

        void handleCommitResponse(std::size_t index, std::uint64_t id, Position position, bool notRun)
        {
            this->enterStep(Step::CommitResponded);
            for (Write& write : this->gateways[index].writes) {
                if (write.id != id || write.position)
                    continue;
                write.position = position;
                write.responseIsNotRun = notRun;
            }
        }

        void read(std::size_t index)
        {
            if (this->reportedDone.empty())
                return;
            const GroupState& state = this->gateways[index].state;
            bool byAge = this->chance(0.5);
            auto last = std::prev(this->reportedDone.end());
            Position floor = last->second.position;
            std::uint64_t expectedId = last->first;
            int requiredSince = this->now - maxReadAgeMs;
            if (byAge) {
                auto proven = state.freshnessFloor(milliseconds(maxReadAgeMs), this->time());
                if (!proven && !this->mutation.trustUnprovenSamples)
                    return;
                floor = proven.value_or(Position {});
            }
            for (std::size_t member = 0; member < memberCount; ++member) {
                if (!this->mutation.readAnyMember && !state.readable(member, floor))
                    continue;
                this->enterStep(Step::ReadSent);
                this->sendRequest(index, member, [=, this]() -> std::function<void()> {
                    const FakeMember& target = this->members[member];
                    MemberStatus status = target.status(this->now);
                    Position seen { status.position.term, status.appliedLsn };
                    if (!this->mutation.readAnyMember && !seen.includes(floor))
                        return [] {};
                    ++this->result.reads;
                    if (byAge)
                        this->checkAge(target, requiredSince);
                    else if (!this->isVisible(target, expectedId))
                        this->recordViolation("a read did not see the session's own write");
                    return [] {};
                });
            }
        }

        bool isVisible(const FakeMember& member, std::uint64_t id) const
        {
            for (std::size_t i = 0; i < member.applied; ++i) {
                if (member.log[i].id == id && !member.log[i].tombstone)
                    return true;
            }
            return false;
        }

        void checkAge(const FakeMember& member, int requiredSince)
        {
            std::vector<bool> shown(this->lastWriteId + 1);
            for (std::size_t i = 0; i < member.applied; ++i)
                shown[member.log[i].id] = !member.log[i].tombstone;
            for (const auto& [id, reported] : this->reportedDone) {
                if (reported.at <= requiredSince && !shown[id])
                    this->recordViolation("a read by age saw older data than it accepts");
            }
        }

        void enterStep(Step step)
        {
            unsigned count = ++this->stepCounts[static_cast<std::size_t>(step)];
            for (const FaultPlan& plan : this->plans) {
                if (plan.step == step && plan.occurrence == count && this->now < faultPhaseMs)
                    this->injectFault(plan.fault);
            }
        }

        FakeMember& currentPrimary()
        {
            FakeMember* best = &this->members[0];
            for (FakeMember& member : this->members) {
                if (member.isPrimary && member.term >= best->term)
                    best = &member;
            }
            return *best;
        }

        void injectFault(Fault fault)
        {
            this->result.faultInjected = true;
            FakeMember& primary = this->currentPrimary();
            switch (fault) {
            case Fault::None:
                break;
            case Fault::PrimaryCutFromReplicas:
                primary.cutFromMembers = true;
                break;
            case Fault::PrimaryCutFromGateways:
                primary.cutFromGateways = true;
                break;
            case Fault::PrimaryCutFromAll:
                primary.cutFromMembers = true;
                primary.cutFromGateways = true;
                break;
            case Fault::PrimaryFrozenShortly:
                primary.frozenUntil = this->now + 400;
                break;
            case Fault::PrimaryFrozenLong:
                primary.frozenUntil = this->now + 2500;
                break;
            case Fault::PrimaryCrashed:
                primary.crashed = true;
                break;
            case Fault::ReplicaFarBehind:
                for (FakeMember& member : this->members) {
                    if (!member.isPrimary) {
                        member.lagMs = 3000;
                        break;
                    }
                }
                break;
            case Fault::GatewayFrozen:
                this->gateways[static_cast<std::size_t>(this->randomInt(0, gatewayCount - 1))].frozenUntil
                    = this->now + this->randomInt(300, 3000);
                break;
            case Fault::ResponsesLost:
                this->responsesLost = true;
                break;
            case Fault::MessagesDelayed:
                this->messagesDelayed = true;
                break;
            case Fault::MessagesDuplicated:
                this->messagesDuplicated = true;
                break;
            }
        }

        void clearFaults()
        {
            for (FakeMember& member : this->members) {
                member.cutFromMembers = false;
                member.cutFromGateways = false;
                member.crashed = false;
                member.lagMs = 20;
                member.frozenUntil = std::min(member.frozenUntil, this->now);
            }
            this->responsesLost = false;
            this->messagesDelayed = false;
            this->messagesDuplicated = false;
        }

        // Checks the outcomes reported to callers against the contents of the group after all faults have been cleared.
        void checkHistory()
        {
            const FakeMember& primary = this->currentPrimary();
            std::map<std::uint64_t, int> runs;
            for (const Entry& entry : primary.log) {
                if (entry.id && !entry.tombstone)
                    ++runs[entry.id];
            }
            for (const auto& [id, reported] : this->reportedDone) {
                if (!runs[id])
                    this->recordViolation("an acknowledged write is lost");
            }
            for (const auto& [id, count] : runs) {
                if (count > 1)
                    this->recordViolation("a write ran twice");
                if (this->reportedNotRun.count(id))
                    this->recordViolation("a write that was reported as not run has run");
            }
            if (this->lastAcknowledgedAt < faultPhaseMs + recoveryPhaseMs - 2000)
                this->recordViolation("no write was acknowledged in the last 2 s, after all faults were cleared");
            this->result.terms = static_cast<unsigned>(this->primaryByTerm.size());
        }

        std::mt19937_64 random;
        std::vector<FaultPlan> plans;
        Mutation mutation;
        // Occurrences of each step so far.
        std::vector<unsigned> stepCounts;
        int now = 0;
        std::uint64_t nextSequence = 0;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
        std::array<FakeMember, memberCount> members;
        std::array<FakeGateway, gatewayCount> gateways;
        std::map<std::uint64_t, std::size_t> primaryByTerm;
        std::uint64_t lastWriteId = 0;
        std::set<std::uint64_t> finishedWrites;
        std::map<std::uint64_t, ReportedWrite> reportedDone;
        std::set<std::uint64_t> reportedNotRun;
        int lastAcknowledgedAt = 0;
        bool responsesLost = false;
        bool messagesDelayed = false;
        bool messagesDuplicated = false;
        ScenarioResult result;
    };

} // namespace

const char* stepName(Step step)
{
    static constexpr std::array<const char*, stepCount> names { "idle", "commit sent", "commit executed",
        "commit responded", "acknowledged", "read sent", "fence sent", "fenced", "promote sent", "promoted",
        "follow sent" };
    return names[static_cast<std::size_t>(step)];
}

const char* faultName(Fault fault)
{
    static constexpr std::array<const char*, faultCount> names { "none", "primary cut from replicas",
        "primary cut from gateways", "primary cut from all", "primary frozen 0.4 s", "primary frozen 2.5 s",
        "primary crashed", "replica far behind", "gateway frozen", "responses lost", "messages delayed",
        "messages duplicated" };
    return names[static_cast<std::size_t>(fault)];
}

ScenarioResult runGroupScenario(std::uint64_t seed, const std::vector<FaultPlan>& plans, const Mutation& mutation)
{
    return Scenario(seed, plans, mutation).run();
}

} // namespace catkinlock::scenarios
