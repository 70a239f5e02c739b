#include "catkinlock/failover.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace catkinlock {

namespace {

    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    struct PrimaryLost { };
    struct MajorityFenced { };
    struct Won { };
    struct StepTimedOut { };

    // Watching: the group has a primary, or none yet. Fencing: members promise the new term. Promoting: the chosen one
    // is asked to be its primary.
    struct ElectionDefinition : msm::front::state_machine_def<ElectionDefinition> {
        struct Watching : msm::front::state<> { };
        struct Fencing : msm::front::state<> { };
        struct Promoting : msm::front::state<> { };
        using initial_state = Watching;
        using transition_table = boost::mpl::vector<Row<Watching, PrimaryLost, Fencing, none, none>,
            Row<Fencing, MajorityFenced, Promoting, none, none>, Row<Fencing, StepTimedOut, Watching, none, none>,
            Row<Promoting, Won, Watching, none, none>, Row<Promoting, StepTimedOut, Watching, none, none>>;

        // An event that a state does not expect is late; it changes nothing.
        template <typename Event, typename Machine> void no_transition(const Event&, Machine&, int) { }
    };

    enum ElectionState {
        WatchingState = 0,
        FencingState = 1,
    };

} // namespace

struct Failover::Machine : msm::back::state_machine<ElectionDefinition> {
    bool is(ElectionState state) const { return this->current_state()[0] == state; }
};

Failover::Failover(std::size_t memberCount, FailoverTimes times, TimePoint now)
    : times(times)
    , machine(std::make_unique<Machine>())
    , memberCount(memberCount)
    , stepEnd(now)
    , notBefore(now)
    , followedAt(memberCount, now - times.followInterval)
{
    this->machine->start();
}

Failover::~Failover() = default;
Failover::Failover(Failover&&) noexcept = default;
Failover& Failover::operator=(Failover&&) noexcept = default;

bool Failover::electing() const { return !this->machine->is(WatchingState); }

bool Failover::primaryIsLost(const GroupState& group, TimePoint now, bool reachedByOthers)
{
    this->avoided.reset();
    auto primary = group.primary();
    if (!primary)
        return true;
    const GroupState::View& view = group.view(*primary);
    if (this->seenTerm != view.status->position.term) {
        this->seenTerm = view.status->position.term;
        this->seenSince = now;
    }
    bool answers = !view.failures;
    Duration silence = now - view.answeredAt;
    // Replicas that answered lately and don't hear the primary themselves.
    std::size_t deaf = 0;
    Milliseconds wanted = answers ? this->times.stalledAfter : this->times.suspectAfter;
    for (std::size_t i = 0; i < group.size(); ++i) {
        const GroupState::View& other = group.view(i);
        bool current = i != *primary && other.status && !other.failures && now - other.answeredAt < wanted;
        deaf += current && Milliseconds(other.status->heardMs) >= wanted;
    }
    bool hadTime = now - this->seenSince >= wanted;
    if (deaf >= group.majority() && hadTime && (answers || silence >= this->times.suspectAfter)) {
        this->avoided = primary;
        return true;
    }
    return !answers && silence >= this->times.unreachableAfter && !reachedByOthers;
}

std::vector<FailoverAction> Failover::tick(
    const GroupState& group, TimePoint now, unsigned rank, bool reachedByOthers, double jitter)
{
    if (this->electing()) {
        if (now < this->stepEnd)
            return {};
        this->machine->process_event(StepTimedOut());
        auto pause = this->times.stepTimeout * (0.5 + jitter * (1 + rank));
        this->notBefore = now + std::chrono::duration_cast<Duration>(pause);
        return {};
    }
    std::size_t answering = 0;
    for (std::size_t i = 0; i < group.size(); ++i)
        answering += group.view(i).status && !group.view(i).failures;
    if (!this->primaryIsLost(group, now, reachedByOthers) || answering < group.majority()) {
        this->lostSince.reset();
        return this->reconcile(group, now, rank);
    }
    if (!this->lostSince)
        this->lostSince = now;
    bool myTurn = now - *this->lostSince >= this->times.rankDelay * rank && now >= this->notBefore;
    return myTurn ? this->startElection(group, now) : std::vector<FailoverAction> {};
}

std::vector<FailoverAction> Failover::startElection(const GroupState& group, TimePoint now)
{
    this->term = std::max(this->term, group.newestPromise()) + 1;
    this->acceptances.clear();
    this->stepEnd = now + this->times.stepTimeout;
    this->machine->process_event(PrimaryLost());
    std::vector<FailoverAction> actions;
    for (std::size_t i = 0; i < group.size(); ++i)
        actions.push_back({ FailoverAction::Kind::Fence, i, this->term });
    return actions;
}

std::vector<FailoverAction> Failover::fenced(
    std::size_t member, std::uint64_t fencedTerm, bool accepted, const MemberStatus& status, TimePoint now)
{
    bool counts = accepted && fencedTerm == this->term && member != this->avoided;
    if (!this->machine->is(FencingState) || !counts)
        return {};
    this->acceptances.emplace_back(member, status);
    if (this->acceptances.size() < this->memberCount / 2 + 1)
        return {};
    this->machine->process_event(MajorityFenced());
    this->stepEnd = now + this->times.stepTimeout;
    auto newest
        = std::max_element(this->acceptances.begin(), this->acceptances.end(), [](const auto& left, const auto& right) {
              Position leftEnd { left.second.logTerm, left.second.position.lsn };
              Position rightEnd { right.second.logTerm, right.second.position.lsn };
              return leftEnd < rightEnd;
          });
    return { { FailoverAction::Kind::Promote, newest->first, this->term } };
}

bool Failover::promoted(std::size_t, std::uint64_t promotedTerm, bool accepted)
{
    if (promotedTerm != this->term || !this->electing())
        return false;
    if (!accepted) {
        // Somebody has started a newer term; the step's timeout leads back to watching.
        return false;
    }
    this->machine->process_event(Won());
    this->lostSince.reset();
    return true;
}

std::vector<FailoverAction> Failover::reconcile(const GroupState& group, TimePoint now, unsigned rank)
{
    auto primary = group.primary();
    if (!primary)
        return {};
    std::uint64_t primaryTerm = group.view(*primary).status->position.term;
    std::vector<FailoverAction> actions;
    for (std::size_t i = 0; i < group.size(); ++i) {
        const GroupState::View& view = group.view(i);
        bool current = view.status && !view.failures;
        if (i == *primary || !current || view.status->position.term >= primaryTerm)
            continue;
        if (now - this->followedAt[i] < this->times.followInterval * (1 + rank))
            continue;
        this->followedAt[i] = now;
        actions.push_back({ FailoverAction::Kind::Follow, i, primaryTerm, *primary });
    }
    return actions;
}

} // namespace catkinlock
