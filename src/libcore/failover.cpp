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
    struct PromotionAccepted { };
    struct StepTimedOut { };

    // Watching: no election is in progress. Fencing: the members were sent the new term and a majority has not promised
    // it yet. Promoting: the selected member was sent the command to become the primary of that term.
    struct ElectionDefinition : msm::front::state_machine_def<ElectionDefinition> {
        struct Watching : msm::front::state<> { };
        struct Fencing : msm::front::state<> { };
        struct Promoting : msm::front::state<> { };
        using initial_state = Watching;
        using transition_table = boost::mpl::vector<Row<Watching, PrimaryLost, Fencing, none, none>,
            Row<Fencing, MajorityFenced, Promoting, none, none>, Row<Fencing, StepTimedOut, Watching, none, none>,
            Row<Promoting, PromotionAccepted, Watching, none, none>,
            Row<Promoting, StepTimedOut, Watching, none, none>>;

        // An event without a transition belongs to an election that has ended, and is ignored.
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
    , stepDeadline(now)
    , earliestElection(now)
    , lastFollowAt(memberCount, now - times.followInterval)
{
    this->machine->start();
}

Failover::~Failover() = default;
Failover::Failover(Failover&&) noexcept = default;
Failover& Failover::operator=(Failover&&) noexcept = default;

bool Failover::electing() const { return !this->machine->is(WatchingState); }

bool Failover::primaryIsLost(const GroupState& group, TimePoint now, bool reachedByOthers)
{
    this->excludedPrimary.reset();
    auto primary = group.primary();
    if (!primary)
        return true;
    const GroupState::Observation& observation = group.observation(*primary);
    if (this->observedTerm != observation.status->position.term) {
        this->observedTerm = observation.status->position.term;
        this->observedTermSince = now;
    }
    bool responds = !observation.consecutiveFailures;
    Duration unresponsiveFor = now - observation.lastResponseAt;
    // Replicas that responded to this instance recently and report that they receive nothing from the primary.
    std::size_t cutOffReplicas = 0;
    Milliseconds threshold = responds ? this->times.stalledAfter : this->times.suspectAfter;
    for (std::size_t i = 0; i < group.size(); ++i) {
        const GroupState::Observation& other = group.observation(i);
        bool current
            = i != *primary && other.status && !other.consecutiveFailures && now - other.lastResponseAt < threshold;
        cutOffReplicas += current && Milliseconds(other.status->sincePrimaryMessageMs) >= threshold;
    }
    bool observedLongEnough = now - this->observedTermSince >= threshold;
    if (cutOffReplicas >= group.majority() && observedLongEnough
        && (responds || unresponsiveFor >= this->times.suspectAfter)) {
        this->excludedPrimary = primary;
        return true;
    }
    return !responds && unresponsiveFor >= this->times.unreachableAfter && !reachedByOthers;
}

std::vector<FailoverAction> Failover::tick(
    const GroupState& group, TimePoint now, unsigned rank, bool reachedByOthers, double jitter)
{
    if (this->electing()) {
        if (now < this->stepDeadline)
            return {};
        this->machine->process_event(StepTimedOut());
        auto backoff = this->times.stepTimeout * (0.5 + jitter * (1 + rank));
        this->earliestElection = now + std::chrono::duration_cast<Duration>(backoff);
        return {};
    }
    std::size_t responding = 0;
    for (std::size_t i = 0; i < group.size(); ++i)
        responding += group.observation(i).status && !group.observation(i).consecutiveFailures;
    if (!this->primaryIsLost(group, now, reachedByOthers) || responding < group.majority()) {
        this->primaryLostSince.reset();
        return this->reconcile(group, now, rank);
    }
    if (!this->primaryLostSince)
        this->primaryLostSince = now;
    bool electionDue = now - *this->primaryLostSince >= this->times.rankDelay * rank && now >= this->earliestElection;
    return electionDue ? this->startElection(group, now) : std::vector<FailoverAction> {};
}

std::vector<FailoverAction> Failover::startElection(const GroupState& group, TimePoint now)
{
    this->term = std::max(this->term, group.newestPromisedTerm()) + 1;
    this->acceptances.clear();
    this->stepDeadline = now + this->times.stepTimeout;
    this->machine->process_event(PrimaryLost());
    std::vector<FailoverAction> actions;
    for (std::size_t i = 0; i < group.size(); ++i)
        actions.push_back({ FailoverAction::Kind::Fence, i, this->term });
    return actions;
}

std::vector<FailoverAction> Failover::handleFenceResponse(
    std::size_t member, std::uint64_t fencedTerm, bool accepted, const MemberStatus& status, TimePoint now)
{
    bool counts = accepted && fencedTerm == this->term && member != this->excludedPrimary;
    if (!this->machine->is(FencingState) || !counts)
        return {};
    this->acceptances.emplace_back(member, status);
    if (this->acceptances.size() < this->memberCount / 2 + 1)
        return {};
    this->machine->process_event(MajorityFenced());
    this->stepDeadline = now + this->times.stepTimeout;
    auto newest
        = std::max_element(this->acceptances.begin(), this->acceptances.end(), [](const auto& left, const auto& right) {
              Position leftLogEnd { left.second.logTerm, left.second.position.lsn };
              Position rightLogEnd { right.second.logTerm, right.second.position.lsn };
              return leftLogEnd < rightLogEnd;
          });
    return { { FailoverAction::Kind::Promote, newest->first, this->term } };
}

bool Failover::handlePromoteResponse(std::size_t, std::uint64_t promotedTerm, bool accepted)
{
    if (promotedTerm != this->term || !this->electing())
        return false;
    if (!accepted) {
        // Another instance has started a newer term. The step timeout returns this election to Watching.
        return false;
    }
    this->machine->process_event(PromotionAccepted());
    this->primaryLostSince.reset();
    return true;
}

std::vector<FailoverAction> Failover::reconcile(const GroupState& group, TimePoint now, unsigned rank)
{
    auto primary = group.primary();
    if (!primary)
        return {};
    std::uint64_t primaryTerm = group.observation(*primary).status->position.term;
    std::vector<FailoverAction> actions;
    for (std::size_t i = 0; i < group.size(); ++i) {
        const GroupState::Observation& observation = group.observation(i);
        bool current = observation.status && !observation.consecutiveFailures;
        if (i == *primary || !current || observation.status->position.term >= primaryTerm)
            continue;
        if (now - this->lastFollowAt[i] < this->times.followInterval * (1 + rank))
            continue;
        this->lastFollowAt[i] = now;
        actions.push_back({ FailoverAction::Kind::Follow, i, primaryTerm, *primary });
    }
    return actions;
}

} // namespace catkinlock
