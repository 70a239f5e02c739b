#include "libsession/supply_instance.h"

#include "libsession/supply_fleet.h"
#include "libsession/supply_peer_link.h"
#include "libsession/supply_store_client.h"
#include "libsession/view_freshness.h"
#include "peer.pb.h"
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace catkinlock::simulation {

namespace {

    // The first version after a revision; the end if there is none.
    std::vector<Version>::const_iterator firstAfter(const std::vector<Version>& versions, std::int64_t revision)
    {
        return std::upper_bound(versions.begin(), versions.end(), revision,
            [](std::int64_t left, const Version& right) { return left < right.revision; });
    }

} // namespace

SupplyInstance::SupplyInstance(SupplyFleet& fleet, int number, std::shared_ptr<SupplyProcess> process)
    : fleet(fleet)
    , number(number)
    , ownProcess(std::move(process))
{
    this->build();
}

void SupplyInstance::build()
{
    const SupplyPlan& plan = this->fleet.plan;
    ViewBudget budget = deriveViewBudget(plan.applyWithin, plan.revocation).value();
    double offset = static_cast<double>(this->number) / plan.instances;
    this->freshness = std::make_shared<ViewFreshness>(budget.maxAge);
    this->relay = std::make_shared<ViewRelay>(this->fleet.context,
        ViewRelay::Parts { std::make_shared<SupplyPeerLink>(this->fleet, this->number), this->ownProcess, budget });
    auto store = std::make_shared<SupplyStoreClient>(this->fleet, this->number, this->ownProcess);
    this->mirror = std::make_shared<StoreMirror>(this->fleet.context,
        StoreMirror::Parts { store, this->relay, this->freshness, this->ownProcess, budget, offset },
        StoreMirror::Hooks {
            [this] { this->publish(); }, [] {}, [&sources = this->fleet.planOf(this->number)] { return sources; } });
}

// Stands for building the view in use from the copy.
void SupplyInstance::publish()
{
    const auto& versions = this->fleet.store.versions();
    auto lacking = firstAfter(versions, this->publishedVersion);
    CopyState state = this->state();
    if (this->publishedVersion && lacking != versions.end() && state.confirmedAt > lacking->acknowledgedAt)
        this->publishFault = fmt::format("the view in use counts as confirmed at {} ms and lacks version {}",
            state.confirmedAt.count(), lacking->revision);
    this->publishedVersion = state.version;
}

void SupplyInstance::receive(const wire::Envelope& envelope)
{
    if (envelope.has_changes_request())
        this->relay->receiveRequest(envelope.sender(), envelope.changes_request());
    if (envelope.has_changes_reply())
        this->relay->receiveReply(envelope.changes_reply());
}

CopyState SupplyInstance::state() const
{
    CopyState state { this->fleet.time.elapsed(), 0, Milliseconds(0) };
    auto held = this->mirror->values().find(SupplyStore::key);
    if (held != this->mirror->values().end())
        state.version = held->second.revision;
    if (this->freshness->confirmed() != TimePoint())
        state.confirmedAt = std::chrono::floor<Milliseconds>(
            this->ownProcess->toVirtual(this->freshness->confirmed()) - VirtualTime::start);
    return state;
}

std::string SupplyInstance::check()
{
    std::string fault = std::exchange(this->publishFault, "");
    if (fault.empty())
        fault = this->checkOrder();
    if (fault.empty())
        fault = this->checkAgainstStore();
    this->lastRevision = this->mirror->revision();
    this->lastVersion = this->state().version;
    return fault;
}

std::string SupplyInstance::checkOrder() const
{
    std::int64_t version = this->state().version;
    if (this->mirror->revision() < this->lastRevision || version < this->lastVersion)
        return fmt::format("the copy goes back from revision {}, version {} to {}, {}", this->lastRevision,
            this->lastVersion, this->mirror->revision(), version);
    return "";
}

std::string SupplyInstance::checkAgainstStore() const
{
    const auto& versions = this->fleet.store.versions();
    CopyState state = this->state();
    auto lacking = firstAfter(versions, state.version);
    if (lacking == versions.end())
        return "";
    if (lacking->revision <= this->mirror->revision())
        return fmt::format(
            "the copy counts as of revision {} and lacks version {}", this->mirror->revision(), lacking->revision);
    if (state.version && state.confirmedAt > lacking->acknowledgedAt)
        return fmt::format("the copy counts as confirmed at {} ms and lacks version {}, acknowledged at {} ms",
            state.confirmedAt.count(), lacking->revision, lacking->acknowledgedAt.count());
    return "";
}

} // namespace catkinlock::simulation
