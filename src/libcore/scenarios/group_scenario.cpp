#include "libcore/scenarios/group_scenario.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace catkinlock::scenarios {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t memberCount = 3;
    constexpr std::size_t gatewayCount = 3;
    constexpr int faultyMs = 6000;
    constexpr int healedMs = 8000;
    constexpr int pollMs = 100;
    constexpr int answerLimitMs = 300;
    constexpr int writeEveryMs = 40;
    constexpr int giveUpMs = 3000;
    constexpr int readAgeMs = 800;

    struct Entry {
        std::uint64_t term;
        std::uint64_t id;
        // A record that keeps the request from running, instead of the request itself.
        bool tombstone;
    };

    // A member of the group, as docs/PLATFORM.md asks of a real one.
    struct FakeMember {
        std::uint64_t promised = 1;
        std::uint64_t term = 1;
        bool isPrimary = false;
        std::optional<std::size_t> source;
        std::vector<Entry> log;
        std::size_t applied = 0;
        int heardAt = 0;
        int frozenUntil = 0;
        int lagMs = 20;
        bool crashed = false;
        bool cutFromMembers = false;
        bool cutFromGateways = false;

        MemberStatus status(int now) const
        {
            std::uint64_t logTerm = this->log.empty() ? 0 : this->log.back().term;
            auto silence = static_cast<std::uint64_t>(this->isPrimary ? 0 : now - this->heardAt);
            return { this->isPrimary, this->promised, { this->term, this->log.size() }, logTerm, this->applied,
                silence };
        }
        bool fence(std::uint64_t newTerm)
        {
            if (newTerm <= this->promised)
                return false;
            this->promised = newTerm;
            this->isPrimary = false;
            this->source.reset();
            return true;
        }
        bool promote(std::uint64_t newTerm)
        {
            if (newTerm != this->promised)
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
            if (newTerm < this->promised || (this->isPrimary && this->term == newTerm))
                return false;
            this->promised = newTerm;
            this->isPrimary = false;
            this->source = primary;
            return true;
        }
        const Entry* find(std::uint64_t id) const
        {
            // Mostly asked for recent entries.
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
        int attemptEnds = 0;
        // Set while a committed position waits for its confirmation.
        std::optional<Position> position = std::nullopt;
        bool answerIsNotRun = false;
    };

    struct FakeGateway {
        GroupState state;
        std::optional<Failover> failover;
        int frozenUntil = 0;
        std::vector<Write> writes;
        int nextWrite = 0;
    };

    struct Told {
        int at;
        Position position;
    };

    class Scenario {
    public:
        Scenario(std::uint64_t seed, std::vector<FaultPlan> plans, const Mutation& mutation)
            : random(seed)
            , plans(std::move(plans))
            , mutation(mutation)
            , seen(stepCount, 0)
        {
            for (std::size_t i = 0; i < gatewayCount; ++i) {
                FakeGateway& gateway = this->gateways[i];
                gateway.state = GroupState(memberCount, this->time());
                gateway.failover.emplace(memberCount, FailoverTimes {}, this->time());
                gateway.nextWrite = 200 + static_cast<int>(i) * 13;
            }
        }

        ScenarioResult run()
        {
            for (this->now = 1; this->now < faultyMs + healedMs; ++this->now) {
                if (this->now == faultyMs)
                    this->heal();
                if (this->now == faultyMs / 3)
                    this->reach(Step::Idle);
                this->deliver();
                for (std::size_t i = 0; i < memberCount; ++i)
                    this->replicate(this->members[i]);
                for (std::size_t i = 0; i < gatewayCount; ++i)
                    this->work(i);
            }
            this->judge();
            return std::move(this->result);
        }

    private:
        struct Event {
            int at;
            std::uint64_t order;
            std::function<void()> run;
            bool operator>(const Event& other) const
            {
                return std::pair(this->at, this->order) > std::pair(other.at, other.order);
            }
        };

        TimePoint time() const { return TimePoint(milliseconds(this->now + 1000)); }
        int pick(int least, int most) { return std::uniform_int_distribution<int>(least, most)(this->random); }
        bool chance(double probability) { return std::bernoulli_distribution(probability)(this->random); }
        void after(int delay, std::function<void()> run)
        {
            this->events.push({ this->now + delay, this->nextOrder++, std::move(run) });
        }
        void breakPromise(const std::string& what)
        {
            if (std::find(this->result.broken.begin(), this->result.broken.end(), what) == this->result.broken.end())
                this->result.broken.push_back(what);
        }

        void deliver()
        {
            while (!this->events.empty() && this->events.top().at <= this->now) {
                auto run = this->events.top().run;
                this->events.pop();
                run();
            }
        }

        // Sends a question to a member and its answer back; each way it may be late, lost or doubled, and a frozen end
        // takes it up when it wakes. `execute` runs on the member and returns what to do with the answer.
        void ask(std::size_t gateway, std::size_t member, std::function<std::function<void()>()> execute)
        {
            bool late = this->messagesLate && this->chance(0.1);
            int copies = this->messagesDoubled && this->chance(0.3) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                int delay = late ? this->pick(500, 2500) : this->pick(1, 4);
                this->after(delay, [this, gateway, member, execute] { this->arrive(gateway, member, execute); });
            }
        }

        void arrive(std::size_t gateway, std::size_t member, std::function<std::function<void()>()> execute)
        {
            FakeMember& target = this->members[member];
            if (target.crashed || target.cutFromGateways)
                return;
            if (target.frozenUntil > this->now) {
                this->after(target.frozenUntil - this->now, [=, this] { this->arrive(gateway, member, execute); });
                return;
            }
            auto answer = execute();
            if (this->answersLost && this->chance(0.4))
                return;
            this->after(this->pick(1, 4), [this, gateway, answer] { this->receive(gateway, answer); });
        }

        void receive(std::size_t gateway, std::function<void()> answer)
        {
            int wakes = this->gateways[gateway].frozenUntil;
            if (wakes > this->now)
                this->after(wakes - this->now, answer);
            else
                answer();
        }

        void replicate(FakeMember& member)
        {
            bool stands = member.crashed || member.frozenUntil > this->now || !member.source || member.cutFromMembers;
            if (stands)
                return;
            FakeMember& primary = this->members[*member.source];
            bool serves = !primary.crashed && primary.frozenUntil <= this->now && !primary.cutFromMembers
                && primary.isPrimary && primary.term == member.promised;
            if (!serves)
                return;
            member.heardAt = this->now;
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

        void work(std::size_t index)
        {
            FakeGateway& gateway = this->gateways[index];
            if (gateway.frozenUntil > this->now)
                return;
            if (this->now % pollMs == static_cast<int>(index) * 7) {
                for (std::size_t member = 0; member < memberCount; ++member)
                    this->poll(index, member);
            }
            if (this->now % 25 == 0)
                this->perform(index,
                    gateway.failover->tick(gateway.state, this->time(), static_cast<unsigned>(index), false,
                        this->pick(0, 1000) / 1000.0));
            if (this->now >= gateway.nextWrite) {
                gateway.nextWrite += writeEveryMs;
                gateway.writes.push_back({ ++this->lastId, this->now });
            }
            this->advanceWrites(index);
            if (this->now % 30 == static_cast<int>(index))
                this->read(index);
        }

        void poll(std::size_t index, std::size_t member)
        {
            int askedAt = this->now;
            auto answered = std::make_shared<bool>(false);
            TimePoint asked = this->time();
            this->ask(index, member, [=, this] {
                MemberStatus status = this->members[member].status(this->now);
                return [=, this] {
                    if (this->now - askedAt > answerLimitMs)
                        return;
                    *answered = true;
                    this->gateways[index].state.observe(member, status, asked, this->time());
                };
            });
            this->after(answerLimitMs, [=, this] {
                if (!*answered)
                    this->receive(index, [=, this] { this->gateways[index].state.noteFailure(member, this->time()); });
            });
        }

        void perform(std::size_t index, const std::vector<FailoverAction>& actions)
        {
            for (FailoverAction action : actions) {
                if (action.kind == FailoverAction::Kind::Promote && this->mutation.promoteOldest)
                    action.member = this->oldestFenced(action.term);
                this->reach(action.kind == FailoverAction::Kind::Fence ? Step::FenceSent
                        : action.kind == FailoverAction::Kind::Promote ? Step::PromoteSent
                                                                       : Step::FollowSent);
                TimePoint asked = this->time();
                this->ask(index, action.member, [=, this] {
                    bool accepted = this->order(action);
                    MemberStatus status = this->members[action.member].status(this->now);
                    return [=, this] { this->takeOrderAnswer(index, action, accepted, status, asked); };
                });
            }
        }

        std::size_t oldestFenced(std::uint64_t term) const
        {
            std::size_t oldest = 0;
            std::size_t length = SIZE_MAX;
            for (std::size_t i = 0; i < memberCount; ++i) {
                if (this->members[i].promised == term && this->members[i].log.size() < length) {
                    oldest = i;
                    length = this->members[i].log.size();
                }
            }
            return oldest;
        }

        bool order(const FailoverAction& action)
        {
            FakeMember& member = this->members[action.member];
            if (action.kind == FailoverAction::Kind::Fence) {
                bool accepted = member.fence(action.term);
                if (accepted)
                    this->reach(Step::Fenced);
                return accepted;
            }
            if (action.kind == FailoverAction::Kind::Follow)
                return member.follow(action.term, action.primary);
            bool accepted = member.promote(action.term);
            if (accepted) {
                auto [place, isNew] = this->primaryOfTerm.emplace(action.term, action.member);
                if (!isNew && place->second != action.member)
                    this->breakPromise("two primaries in one term");
                this->reach(Step::Promoted);
            }
            return accepted;
        }

        void takeOrderAnswer(
            std::size_t index, const FailoverAction& action, bool accepted, const MemberStatus& status, TimePoint asked)
        {
            FakeGateway& gateway = this->gateways[index];
            gateway.state.observe(action.member, status, asked, this->time());
            if (action.kind == FailoverAction::Kind::Fence)
                this->perform(
                    index, gateway.failover->fenced(action.member, action.term, accepted, status, this->time()));
            if (action.kind == FailoverAction::Kind::Promote)
                gateway.failover->promoted(action.member, action.term, accepted);
        }

        void advanceWrites(std::size_t index)
        {
            FakeGateway& gateway = this->gateways[index];
            for (Write& write : gateway.writes) {
                if (write.position)
                    this->tryAcknowledge(gateway, write);
                else if (!write.inFlight || this->now >= write.attemptEnds)
                    this->sendCommit(index, write);
                // A caller that waited too long settles its request instead.
                if (!write.settling && !write.position && this->now - write.startedAt > giveUpMs) {
                    write.settling = true;
                    ++this->result.unknown;
                }
            }
            std::erase_if(gateway.writes, [this](const Write& write) { return this->finished.count(write.id); });
        }

        void tryAcknowledge(FakeGateway& gateway, Write& write)
        {
            bool confirmed = gateway.state.confirmed(*write.position);
            if (this->mutation.acknowledgeWithoutMajority)
                confirmed = true;
            if (this->mutation.acknowledgeAcrossTerms) {
                std::size_t holders = 0;
                for (std::size_t i = 0; i < memberCount; ++i) {
                    const auto& status = gateway.state.view(i).status;
                    holders += status && status->position.lsn >= write.position->lsn;
                }
                confirmed = holders >= gateway.state.majority();
            }
            if (!confirmed) {
                // A position that a newer term has overtaken is tried anew; the record tells what became of it.
                if (gateway.state.newestPromise() > write.position->term) {
                    write.position.reset();
                    write.inFlight = false;
                }
                return;
            }
            this->finished.insert(write.id);
            if (write.answerIsNotRun) {
                this->toldNotRun.insert(write.id);
                ++this->result.settledNotRun;
                return;
            }
            this->toldDone[write.id] = { this->now, *write.position };
            ++this->result.acknowledged;
            this->lastAcknowledgedAt = this->now;
            this->reach(Step::Acknowledged);
        }

        void sendCommit(std::size_t index, Write& write)
        {
            auto primary = this->gateways[index].state.primary();
            if (!primary || this->gateways[index].state.view(*primary).failures)
                return;
            write.inFlight = true;
            write.attemptEnds = this->now + answerLimitMs;
            this->reach(Step::CommitSent);
            std::size_t member = *primary;
            std::uint64_t id = write.id;
            bool settling = write.settling;
            this->ask(index, member, [=, this] { return this->executeCommit(index, member, id, settling); });
        }

        std::function<void()> executeCommit(std::size_t index, std::size_t member, std::uint64_t id, bool settling)
        {
            FakeMember& target = this->members[member];
            if (!target.isPrimary || target.promised != target.term)
                return [] {};
            const Entry* record = target.find(id);
            if (settling && !record && this->mutation.settleWithoutRecord) {
                Position position { target.term, target.log.size() };
                return [=, this] { this->takeCommitAnswer(index, id, position, true); };
            }
            if (!record) {
                target.log.push_back({ target.term, id, settling });
                target.applied = target.log.size();
                record = &target.log.back();
            }
            bool notRun = record->tombstone;
            this->reach(Step::CommitExecuted);
            // The answer tells the end of the log, which holds the record.
            Position position { target.term, target.log.size() };
            return [=, this] { this->takeCommitAnswer(index, id, position, notRun); };
        }

        void takeCommitAnswer(std::size_t index, std::uint64_t id, Position position, bool notRun)
        {
            this->reach(Step::CommitAnswered);
            for (Write& write : this->gateways[index].writes) {
                if (write.id != id || write.position)
                    continue;
                write.position = position;
                write.answerIsNotRun = notRun;
            }
        }

        void read(std::size_t index)
        {
            if (this->toldDone.empty())
                return;
            const GroupState& state = this->gateways[index].state;
            bool byAge = this->chance(0.5);
            auto last = std::prev(this->toldDone.end());
            Position floor = last->second.position;
            std::uint64_t wanted = last->first;
            int freshAt = this->now - readAgeMs;
            if (byAge) {
                auto proved = state.freshnessFloor(milliseconds(readAgeMs), this->time());
                if (!proved && !this->mutation.trustUnprovedSamples)
                    return;
                floor = proved.value_or(Position {});
            }
            for (std::size_t member = 0; member < memberCount; ++member) {
                if (!this->mutation.readAnywhere && !state.readable(member, floor))
                    continue;
                this->reach(Step::ReadSent);
                this->ask(index, member, [=, this]() -> std::function<void()> {
                    const FakeMember& target = this->members[member];
                    MemberStatus status = target.status(this->now);
                    Position seen { status.position.term, status.appliedLsn };
                    if (!this->mutation.readAnywhere && !seen.reaches(floor))
                        return [] {};
                    ++this->result.reads;
                    if (byAge)
                        this->checkAge(target, freshAt);
                    else if (!this->shows(target, wanted))
                        this->breakPromise("a read did not see the session's own write");
                    return [] {};
                });
            }
        }

        bool shows(const FakeMember& member, std::uint64_t id) const
        {
            for (std::size_t i = 0; i < member.applied; ++i) {
                if (member.log[i].id == id && !member.log[i].tombstone)
                    return true;
            }
            return false;
        }

        void checkAge(const FakeMember& member, int freshAt)
        {
            std::vector<bool> shown(this->lastId + 1);
            for (std::size_t i = 0; i < member.applied; ++i)
                shown[member.log[i].id] = !member.log[i].tombstone;
            for (const auto& [id, told] : this->toldDone) {
                if (told.at <= freshAt && !shown[id])
                    this->breakPromise("a read by age saw older data than it accepts");
            }
        }

        void reach(Step step)
        {
            unsigned count = ++this->seen[static_cast<std::size_t>(step)];
            for (const FaultPlan& plan : this->plans) {
                if (plan.step == step && plan.occurrence == count && this->now < faultyMs)
                    this->strike(plan.fault);
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

        void strike(Fault fault)
        {
            this->result.struck = true;
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
                this->gateways[static_cast<std::size_t>(this->pick(0, gatewayCount - 1))].frozenUntil
                    = this->now + this->pick(300, 3000);
                break;
            case Fault::AnswersLost:
                this->answersLost = true;
                break;
            case Fault::MessagesLate:
                this->messagesLate = true;
                break;
            case Fault::MessagesDoubled:
                this->messagesDoubled = true;
                break;
            }
        }

        void heal()
        {
            for (FakeMember& member : this->members) {
                member.cutFromMembers = false;
                member.cutFromGateways = false;
                member.crashed = false;
                member.lagMs = 20;
                member.frozenUntil = std::min(member.frozenUntil, this->now);
            }
            this->answersLost = false;
            this->messagesLate = false;
            this->messagesDoubled = false;
        }

        // Judges what callers were told by what the group holds after everything has healed.
        void judge()
        {
            const FakeMember& primary = this->currentPrimary();
            std::map<std::uint64_t, int> runs;
            for (const Entry& entry : primary.log) {
                if (entry.id && !entry.tombstone)
                    ++runs[entry.id];
            }
            for (const auto& [id, told] : this->toldDone) {
                if (!runs[id])
                    this->breakPromise("an acknowledged write is lost");
            }
            for (const auto& [id, count] : runs) {
                if (count > 1)
                    this->breakPromise("a write ran twice");
                if (this->toldNotRun.count(id))
                    this->breakPromise("a write that was told not to have run has run");
            }
            if (this->lastAcknowledgedAt < faultyMs + healedMs - 2000)
                this->breakPromise("no write is acknowledged after everything has healed");
            this->result.terms = static_cast<unsigned>(this->primaryOfTerm.size());
        }

        std::mt19937_64 random;
        std::vector<FaultPlan> plans;
        Mutation mutation;
        std::vector<unsigned> seen;
        int now = 0;
        std::uint64_t nextOrder = 0;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
        std::array<FakeMember, memberCount> members;
        std::array<FakeGateway, gatewayCount> gateways;
        std::map<std::uint64_t, std::size_t> primaryOfTerm;
        std::uint64_t lastId = 0;
        std::set<std::uint64_t> finished;
        std::map<std::uint64_t, Told> toldDone;
        std::set<std::uint64_t> toldNotRun;
        int lastAcknowledgedAt = 0;
        bool answersLost = false;
        bool messagesLate = false;
        bool messagesDoubled = false;
        ScenarioResult result;
    };

} // namespace

const char* stepName(Step step)
{
    static constexpr std::array<const char*, stepCount> names { "idle", "commit sent", "commit executed",
        "commit answered", "acknowledged", "read sent", "fence sent", "fenced", "promote sent", "promoted",
        "follow sent" };
    return names[static_cast<std::size_t>(step)];
}

const char* faultName(Fault fault)
{
    static constexpr std::array<const char*, faultCount> names { "none", "primary cut from replicas",
        "primary cut from gateways", "primary cut from all", "primary frozen 0.4 s", "primary frozen 2.5 s",
        "primary crashed", "replica far behind", "gateway frozen", "answers lost", "messages late",
        "messages doubled" };
    return names[static_cast<std::size_t>(fault)];
}

ScenarioResult runGroupScenario(std::uint64_t seed, const std::vector<FaultPlan>& plans, const Mutation& mutation)
{
    return Scenario(seed, plans, mutation).run();
}

} // namespace catkinlock::scenarios
