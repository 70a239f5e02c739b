#include "libsession/simulated_group.h"

#include <algorithm>
#include <array>

namespace catkinlock {

namespace {

    // Time that passes between two observations of the group.
    constexpr Milliseconds observationInterval { 2000 };

} // namespace

SimulatedGroup::SimulatedGroup(std::size_t memberCount, std::size_t syncReplicas, unsigned outOfSight)
    : syncReplicas(std::min(syncReplicas, memberCount - 1))
{
    for (std::size_t i = 0; i < memberCount; ++i)
        this->join();
    this->nodes.front().primary = true;
    for (std::size_t i = 0; i < memberCount; ++i)
        this->nodes[i].listed = !(outOfSight >> i & 1);
    this->addRuns();
    this->membership.isComplete
        = std::all_of(this->nodes.begin(), this->nodes.end(), [](const Node& node) { return node.listed; });
}

void SimulatedGroup::join()
{
    Node node;
    node.target.startedAt = ++this->starts;
    node.target.id = "m" + std::to_string(this->starts - 1);
    node.target.service = "s";
    node.target.address = "host:" + std::to_string(this->starts);
    this->nodes.push_back(node);
}

SimulatedGroup::Node* SimulatedGroup::findNode(const std::string& id)
{
    auto found = std::find_if(this->nodes.begin(), this->nodes.end(),
        [&id](const Node& node) { return !node.ended && node.target.id == id; });
    return found == this->nodes.end() ? nullptr : &*found;
}

std::vector<TargetRecord> SimulatedGroup::listedMembers() const
{
    std::vector<TargetRecord> members;
    for (const Node& node : this->nodes) {
        if (node.listed)
            members.push_back(node.target);
    }
    return members;
}

TargetDirectory SimulatedGroup::directory() const
{
    TargetDirectory targets;
    for (const TargetRecord& target : this->listedMembers())
        targets.set(target);
    return targets;
}

MemberReport SimulatedGroup::reportOf(const Node& node)
{
    return { node.primary, node.term, node.position(), node.fencedTerm };
}

std::map<std::string, MemberReport> SimulatedGroup::reports() const
{
    std::map<std::string, MemberReport> byId;
    for (const Node& node : this->nodes) {
        if (node.listed && node.responds())
            byId[node.target.id] = reportOf(node);
    }
    return byId;
}

// The recorded primary appends a commit, and replicas that receive from it may acknowledge it: the choice selects which
// of them have received it so far. It may do so also while it is being replaced.
void SimulatedGroup::commit(unsigned choice)
{
    Node* recorded = this->findNode(this->record.primary);
    if (!recorded || !recorded->primary || !recorded->responds())
        return;
    Node& primary = *recorded;
    Position position { primary.term, primary.position().lsn + 1 };
    primary.log.push_back(position);
    std::size_t receivers = 0;
    unsigned bit = 1;
    for (Node& node : this->nodes) {
        bool receives = node.responds() && !node.paused && !node.deaf && !node.primary && node.term <= primary.term;
        bit = bit * 2 % 61;
        if (!receives || (choice + bit) % 3 == 0)
            continue;
        node.log = primary.log;
        node.term = primary.term;
        ++receivers;
    }
    if (receivers >= this->syncReplicas)
        this->acknowledged.push_back(position);
}

// A replica catches up with the primary of the latest term that it reaches.
void SimulatedGroup::receive(unsigned choice)
{
    Node& replica = this->nodes[choice % this->nodes.size()];
    const Node* source = nullptr;
    for (const Node& node : this->nodes) {
        if (node.primary && node.responds() && (!source || node.term > source->term))
            source = &node;
    }
    bool receives = replica.responds() && !replica.paused && !replica.deaf && !replica.primary;
    if (!source || !receives || replica.term > source->term)
        return;
    replica.log = source->log;
    replica.term = source->term;
}

// The member starts again under its id and at its address, and holds and knows nothing of before.
void SimulatedGroup::restartEmpty(Node& node)
{
    // A run that ends before an instance has seen it is not known.
    if (node.ended || this->isUnknown(node))
        return;
    this->addRuns();
    TargetRecord target = node.target;
    target.startedAt = ++this->starts;
    node = Node();
    node.target = target;
}

// The member ends, and its log goes to a new member at its address.
void SimulatedGroup::leave(Node& node)
{
    if (!node.ended && !node.primary)
        this->continueAs(node);
}

// The member crashes and comes back with its log, under another id.
void SimulatedGroup::restartWithLog(Node& node)
{
    if (!node.ended)
        this->continueAs(node);
}

void SimulatedGroup::continueAs(Node& node)
{
    this->addRuns();
    Node successor = node;
    node.ended = true;
    node.listed = false;
    node.primary = false;
    successor.target.startedAt = ++this->starts;
    successor.target.id = "m" + std::to_string(this->starts - 1);
    this->nodes.push_back(successor);
    this->comeBack(this->nodes.back());
}

void SimulatedGroup::comeBack(Node& node)
{
    node.dark = false;
    node.paused = false;
    node.listed = !node.ended;
    for (const Node& other : this->nodes) {
        if (other.primary && other.responds() && other.term > node.term)
            node.primary = false;
    }
}

// True if no instance has seen the member's run yet.
bool SimulatedGroup::isUnknown(const Node& node) const
{
    return !node.listed && !this->membership.isComplete && !this->membership.runs.count(runOf(node.target));
}

// Time passes, and members that were out of sight when the observation began come back in time.
void SimulatedGroup::observe()
{
    bool mustBeBack = (this->observations + 1) * observationInterval >= absenceLimit;
    for (Node& node : this->nodes) {
        if (mustBeBack && this->isUnknown(node))
            node.listed = !node.ended;
    }
    auto listed = this->listedMembers();
    this->observations = listed.empty() ? 0 : this->observations + 1;
    this->observation.record(this->membership, listed, TimePoint(std::chrono::hours(1)) + this->passed);
    this->passed += observationInterval;
}

void SimulatedGroup::addRuns() { this->membership.runs.merge(runsToAdd(this->membership, this->listedMembers())); }

void SimulatedGroup::removeRuns()
{
    MemberReports replies { this->reports(), this->reports() };
    bool covered = this->record.state == GroupRecord::State::Serving
        && haveEveryCommit(replies, this->record.primary, this->record.term, this->syncReplicas);
    AbsentRuns absent;
    absent.observe(this->membership, this->listedMembers(), TimePoint());
    for (const auto& [run, since] : absent.since()) {
        bool ended = isSucceeded(run, this->directory())
            || std::any_of(this->nodes.begin(), this->nodes.end(),
                [&run = run](const Node& node) { return node.ended && runOf(node.target) == run; });
        if (covered && ended)
            this->membership.runs.erase(run);
    }
}

void SimulatedGroup::keepMembership()
{
    this->observe();
    this->membership = nextMembership(this->membership, this->listedMembers(), this->observation);
    this->removeRuns();
}

void SimulatedGroup::fence(Node& node, std::uint64_t fenceTerm)
{
    if (!node.listed || !node.responds())
        return;
    node.primary = false;
    node.paused = true;
    node.fencedTerm = fenceTerm;
}

bool SimulatedGroup::replacePrimary()
{
    this->record.state = GroupRecord::State::Replacing;
    std::uint64_t fenceTerm = this->record.term;
    for (const Node& node : this->nodes)
        fenceTerm = std::max({ fenceTerm, node.term, node.fencedTerm });
    ++fenceTerm;
    std::map<std::string, bool> wasPrimary;
    for (const auto& [id, report] : this->reports())
        wasPrimary[id] = report.primary;
    std::vector<PromotionCandidate> candidates;
    std::vector<TargetRecord> listed = this->listedMembers();
    candidates.reserve(listed.size());
    for (const TargetRecord& target : listed)
        candidates.push_back(
            { target.id, target.id == this->record.primary || wasPrimary[target.id], target.draining, false, {} });
    for (std::size_t i = 0; i < listed.size(); ++i) {
        Node* node = this->findNode(listed[i].id);
        if (!node || !node->responds())
            continue;
        this->fence(*node, fenceTerm);
        candidates[i].report = reportOf(*node);
        candidates[i].fenced = !node->primary && node->fencedTerm >= fenceTerm;
        this->commit(this->interleaving++);
    }
    addAbsentRuns(candidates, listed, this->membership, this->record);
    PromotionTerms terms;
    terms.syncReplicas = this->syncReplicas;
    terms.mayLackRuns = !this->membership.isComplete;
    terms.avoidsFormerPrimary = this->interleaving % 3 == 0;
    auto chosen = choosePromotion(candidates, terms);
    if (chosen)
        this->promote(*chosen);
    return chosen.has_value();
}

void SimulatedGroup::promote(const std::string& id)
{
    Node* target = this->findNode(id);
    std::uint64_t term = 0;
    for (const Node& node : this->nodes)
        term = std::max({ term, node.term, this->record.term });
    target->primary = true;
    target->paused = false;
    target->term = term + 1;
    ++this->promotionCount;
    for (const Position& position : this->acknowledged)
        this->lostCount += std::find(target->log.begin(), target->log.end(), position) == target->log.end();
    for (Node& node : this->nodes) {
        if (&node == target || !node.responds() || node.deaf)
            continue;
        node.primary = false;
        node.paused = false;
        node.log = target->log;
        node.term = target->term;
    }
    this->record = { GroupRecord::State::Serving, id, target->term };
}

void SimulatedGroup::recover()
{
    for (Node& node : this->nodes) {
        if (node.ended)
            continue;
        node.deaf = false;
        this->comeBack(node);
    }
    this->addRuns();
    while (!this->membership.isComplete)
        this->keepMembership();
}

void SimulatedGroup::run(const Step& step)
{
    Node& node = this->nodes[step.choice % this->nodes.size()];
    switch (step.action) {
    case 0:
    case 1:
    case 2:
        return this->commit(step.choice);
    case 3:
    case 4:
        return this->receive(step.choice);
    case 5:
        node.dark = true;
        return;
    case 6:
        return this->comeBack(node);
    case 7:
        this->addRuns();
        node.listed = false;
        return;
    case 8:
        node.listed = !node.ended;
        return;
    case 9:
        node.deaf = !node.deaf;
        return;
    case 10:
    case 11:
        this->replacePrimary();
        return;
    case 12:
        return this->keepMembership();
    case 13:
        return this->restartWithLog(node);
    case 14:
        return this->restartEmpty(node);
    case 15:
        return this->leave(node);
    default:
        this->join();
        return;
    }
}

} // namespace catkinlock
