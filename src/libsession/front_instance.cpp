#include "libsession/front_instance.h"

#include "catkinlock/caller_budget.h"
#include "catkinlock/instance_lifecycle.h"
#include "catkinlock/log.h"
#include "catkinlock/membership.h"
#include "catkinlock/peer_link.h"
#include "catkinlock/process_signals.h"
#include "catkinlock/rendezvous.h"
#include "catkinlock/store_revision.h"
#include "libserver/admission.h"
#include "libserver/caller_metrics.h"
#include "libserver/metrics_page.h"
#include "libserver/service_level.h"
#include "libserver/slot_keeper.h"
#include "libsession/awaited_revisions.h"
#include "libsession/demand_exchange.h"
#include "libsession/drain_schedule.h"
#include "libsession/gateway_clocks.h"
#include "libsession/membership_keeper.h"
#include "libsession/page_server.h"
#include "libsession/position_exchange.h"
#include "libsession/promoter.h"
#include "libsession/read_forwarder.h"
#include "libsession/read_service.h"
#include "libsession/record_keeper.h"
#include "libsession/registration.h"
#include "libsession/relay_choice.h"
#include "libsession/session_context.h"
#include "libsession/session_front.h"
#include "libsession/slot_directory.h"
#include "libsession/spawn.h"
#include "libsession/statement_forwarder.h"
#include "libsession/statement_service.h"
#include "libsession/store_mirror.h"
#include "libsession/system_time.h"
#include "libsession/target_groups.h"
#include "libsession/view_builder.h"
#include "libsession/view_relay.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <csignal>
#include <fmt/format.h>
#include <limits>
#include <random>
#include <thread>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Between two runs of the maintenance on each thread.
    constexpr Milliseconds maintenanceInterval { 200 };
    // Between two samples of the counters of all routes and workspaces, which cover windows of minutes.
    constexpr Milliseconds levelSampleInterval { 5000 };
    // The instance reports that it is not ready once less than this fraction of its view's maximum age remains, so that
    // the balancer sends new callers to other instances.
    constexpr double minRemainingAgeFraction = 0.15;
    // Between two reads of the settings file.
    constexpr Milliseconds settingsInterval { 5000 };
    // Between two "traffic" lines of the log.
    constexpr Milliseconds trafficReportInterval { 10000 };
    // Time that a replacement usually takes. A draining instance starts none later than this before it ends.
    constexpr Milliseconds replacementAllowance { 2500 };
    // Between two checks of the remaining sessions during a drain.
    constexpr Milliseconds drainCheckInterval { 50 };
    // After the start, and after a restore of the store, an instance asks peers for a newer configuration for this
    // long.
    constexpr Milliseconds peerLearningTime { 10000 };
    // Between two such requests.
    constexpr Milliseconds peerLearningInterval { 300 };
    // Only tokens depend on a slot here, and a new holder allows for the grants of the last one.
    constexpr Milliseconds slotReleaseDelay { 150 };
    constexpr double slownessPercent = 100;
    // Seed of the hash by which the instances' times are spread.
    constexpr std::uint64_t spreadSeed = 0x737072656164;

    // A number from 0 to 1 that depends on the name only.
    double shareOf(const std::string& name)
    {
        return static_cast<double>(stableHash(name, spreadSeed))
            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    }

    DrainLimits drainLimitsOf(const FrontSettings& settings)
    {
        return { Milliseconds(settings.memberDrainMs), Milliseconds(settings.applyMs) };
    }

    // Replaces the names of instances by their peer addresses.
    std::vector<std::string> peerAddresses(const FleetView& view, const std::vector<std::string>& names)
    {
        std::vector<std::string> addresses;
        for (const std::string& name : names) {
            const std::string& address = view.instances.at(name).peerAddress;
            if (!address.empty())
                addresses.push_back(address);
        }
        return addresses;
    }

} // namespace

struct FrontInstance::Parts {
    Parts(FrontSettings, SessionPlatformFactory, std::function<std::optional<FrontSettings>()>);

    bool open();
    void start();
    void applyStoreChange();
    void publishView();
    void serveOnceUsable();
    void followOwnEntry(const FleetView&);
    void requestOwnEntry();
    const RelayPlan& relayPlan();
    void queryPositions();
    void learnConfiguration(const KeyValue&);
    asio::awaitable<void> learnFromPeers();
    void handleMessage(const wire::Envelope&);
    void reportRevision();
    bool isReady() const;
    Page readyPage(const std::string& path) const;
    Page metricsPage() const;
    void sampleLevelIfDue(TimePoint now);
    void reportTraffic(TimePoint now);
    asio::awaitable<void> runMaintenance();
    asio::awaitable<void> runRequestMaintenance();
    asio::awaitable<void> reportDemand();
    void receiveDemand(const std::string& sender, const wire::MemberDemand&);
    asio::awaitable<void> handleSignals();
    asio::awaitable<void> pollSettings();
    void reload(const char* cause);
    asio::awaitable<void> drain();

    FrontSettings settings;
    std::function<std::optional<FrontSettings>()> readSettings;
    // Context of the control thread: metadata store, peers, settings, promotions.
    asio::io_context control { 1 };
    ProcessSignals signals { this->control };
    // Context of the request thread: sessions and connections to members.
    asio::io_context requests { 1 };
    std::shared_ptr<TimeSource> time = std::make_shared<SystemTime>(this->control);
    InstanceLifecycle lifecycle;
    SessionPlatform platform;
    ViewBudget budget;
    std::shared_ptr<ViewFreshness> freshness;
    std::shared_ptr<RcuSnapshot<FleetView>> view = std::make_shared<RcuSnapshot<FleetView>>();
    ViewBuilder builder;
    std::shared_ptr<ViewRelay> relay;
    std::unique_ptr<PositionExchange> positions;
    // Request thread only.
    DemandExchange demandExchange;
    std::shared_ptr<StoreMirror> mirror;
    std::shared_ptr<Membership> membership;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<Registration> registration;
    std::shared_ptr<RecordKeeper> records;
    std::shared_ptr<MembershipKeeper> groupMemberships;
    std::shared_ptr<Promoter> promoter;
    std::shared_ptr<SlotKeeper> slotKeeper;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<ServiceLevel> level = std::make_shared<ServiceLevel>();
    std::shared_ptr<SessionContext> sessions = std::make_shared<SessionContext>();
    std::shared_ptr<SessionFront> front;
    std::shared_ptr<ReadService> readService;
    std::shared_ptr<StatementService> statementService;
    std::shared_ptr<PageServer> readyServer;
    std::shared_ptr<PageServer> metricsServer;
    // The sources of store changes in the view with this serial number.
    RelayPlan plan;
    std::uint64_t planSerial = 0;
    // Revision of the configuration in force; 0 before the first one.
    std::int64_t activeTablesRevision = 0;
    AwaitedRevisions awaitedRevisions;
    // Revision of the own entry that was last requested from the store, because the view did not have it.
    std::int64_t requestedEntryRevision = 0;
    // Address at which peers send messages to this instance.
    std::string peerAddress;
    // Number of statements at the last request maintenance.
    std::uint64_t lastStatementCount = 0;
    TimePoint trafficReportedAt = Clock::now();
    TimePoint levelSampledAt;
    std::thread requestThread;
};

FrontInstance::Parts::Parts(FrontSettings given, SessionPlatformFactory makePlatform,
    std::function<std::optional<FrontSettings>()> readSettings)
    : settings(std::move(given))
    , readSettings(std::move(readSettings))
    , platform(makePlatform(this->control, this->settings))
    , budget(this->settings.viewBudget().value())
    , freshness(std::make_shared<ViewFreshness>(this->budget.maxAge, this->budget.applyWithin))
    , builder(this->platform.documentSource)
{
    this->builder.setDrainLimits(drainLimitsOf(this->settings));
    this->link = std::make_shared<PeerLink>(this->control, this->settings.fleetSecret);
    this->positions = std::make_unique<PositionExchange>(this->link,
        PositionExchange::Hooks { [this](const std::string& service, const PositionWindow::Sample& sample) {
                                     asio::post(this->requests, [groups = this->sessions->groups, service, sample] {
                                         groups->recordPrimaryPosition(service, sample.position, sample.requestedAt);
                                     });
                                 },
            [this](const std::string& member, const LagObservation& observation) {
                asio::post(this->requests,
                    [groups = this->sessions->groups, member, observation] { groups->recordLag(member, observation); });
            } });
    this->relay = std::make_shared<ViewRelay>(this->control, ViewRelay::Parts { this->link, this->time, this->budget },
        ViewRelay::Hooks { [this] { return this->builder.lostConfiguration(); },
            [this](const KeyValue& document) { this->learnConfiguration(document); } });
    this->records = std::make_shared<RecordKeeper>(
        this->control, this->platform.store, [this] { return this->builder.lostRecords(); });
    this->mirror = std::make_shared<StoreMirror>(this->control,
        StoreMirror::Parts { this->platform.store, this->relay, this->freshness, this->time, this->budget,
            shareOf(this->settings.name) },
        StoreMirror::Hooks { [this] { this->applyStoreChange(); }, [this] { this->serveOnceUsable(); },
            [this] { return this->relayPlan(); } });
    auto executor = this->requests.get_executor();
    this->sessions->executor = executor;
    this->sessions->protocol = this->platform.callerProtocol;
    this->sessions->budget = std::make_shared<CallerBudget>(
        deriveCallerLimits(this->settings.limits, this->settings.memoryMb, this->settings.maxFds));
    this->sessions->view = this->view;
    this->sessions->freshness = this->freshness;
    this->sessions->level = this->level;
    this->sessions->groups = std::make_shared<TargetGroups>(
        executor, this->platform.targetProtocol, this->freshness, this->settings.name, this->settings.dataCentre);
    this->sessions->groups->limitWarmUp(
        { this->settings.name, this->settings.warmUpExcess, this->settings.warmUpSlack, this->freshness->maxAge() });
    auto gateways = std::make_shared<GatewayChoice>();
    auto clocks = std::make_shared<GatewayClocks>();
    std::uint64_t run = static_cast<std::uint64_t>(std::random_device {}()) << 32 | std::random_device {}() | 1;
    this->sessions->reads = std::make_shared<ReadForwarder>(ReadForwarder::Parts {
        this->control.get_executor(), executor, this->link, this->view, gateways, clocks, this->settings.name });
    this->sessions->statementForwarder = std::make_shared<StatementForwarder>(StatementForwarder::Parts {
        this->control.get_executor(), executor, this->link, this->view, gateways, clocks, this->settings.name });
    this->readService = std::make_shared<ReadService>(
        ReadService::Parts { this->control.get_executor(), this->link, this->sessions, run });
    this->statementService = std::make_shared<StatementService>(
        StatementService::Parts { this->control.get_executor(), this->link, this->sessions, run });
    this->front = std::make_shared<SessionFront>(this->requests, this->sessions);
    this->readyServer = std::make_shared<PageServer>(this->control, "ready", derivePageLimits(this->settings.limits),
        [this](const std::string& path) { return this->readyPage(path); });
    this->metricsServer = std::make_shared<PageServer>(this->control, "metrics",
        derivePageLimits(this->settings.limits), [this](const std::string&) { return this->metricsPage(); });
}

bool FrontInstance::Parts::open()
{
    this->peerAddress = this->link->bind(this->settings.peerAddress);
    bool bound = !this->peerAddress.empty() && this->front->listen(this->settings.callerAddress)
        && this->readyServer->start(this->settings.readyAddress);
    if (bound && !this->settings.metricsAddress.empty())
        bound = this->metricsServer->start(this->settings.metricsAddress);
    if (!bound) {
        writeLog(LogLevel::Error, "bind_failed", { { "callers", this->settings.callerAddress } });
        return false;
    }
    InstanceRecord self { this->settings.name, this->peerAddress, this->settings.dataCentre, 1, 1, InstanceState::Live,
        {} };
    this->membership = std::make_shared<Membership>(self);
    this->admission
        = std::make_shared<Admission>(this->control, this->requests.get_executor(), this->link, this->membership);
    this->sessions->admission = this->admission;
    this->registration = std::make_shared<Registration>(this->control, this->platform.store, this->settings.name,
        RegisteredInstance { this->peerAddress, this->settings.dataCentre, this->settings.cores },
        this->settings.leaseSeconds, [this] { this->requestOwnEntry(); });
    this->freshness->setListed(false);
    this->slotKeeper = std::make_shared<SlotKeeper>(this->control, this->platform.store,
        SlotKeeper::Options { this->settings.slots, this->settings.leaseSeconds, this->settings.name, this->peerAddress,
            slotReleaseDelay },
        SlotKeeper::Hooks { [this](const auto& held, TimePoint until) {
                               this->admission->updateSlots(held, until, this->settings.slots);
                               this->membership->setSelf(InstanceState::Live, { held.begin(), held.end() });
                           },
            [this] { return slotCandidates(*this->view->read(), this->settings.name); },
            [this]() -> std::optional<bool> {
                if (!this->mirror->isLoaded())
                    return std::nullopt;
                return !slotsListedFor(this->mirror->values(), this->settings.name).empty();
            },
            [this](std::uint32_t slot) {
                const InstanceRecord* holder = this->membership->holderOf(slot);
                return holder && holder->name != this->settings.name;
            } });
    this->promoter = std::make_shared<Promoter>(this->control,
        Promoter::Parts { this->platform.store, this->platform.promotions, this->platform.targetProtocol, this->mirror,
            this->view, this->link, this->freshness->maxAge(), std::chrono::seconds(this->settings.leaseSeconds),
            this->settings.name });
    this->groupMemberships = std::make_shared<MembershipKeeper>(this->control,
        MembershipKeeper::Parts {
            this->platform.store, this->platform.targetProtocol, this->view, this->settings.name });
    this->admission->updateSlots({}, Clock::now(), this->settings.slots);
    writeLog(LogLevel::Info, "started",
        { { "callers", this->settings.callerAddress }, { "peer", this->peerAddress },
            { "data_centre", this->settings.dataCentre } });
    return true;
}

void FrontInstance::Parts::start()
{
    this->link->start([this](const wire::Envelope& envelope) { this->handleMessage(envelope); });
    this->mirror->start();
    this->registration->start();
    this->slotKeeper->start();
    this->admission->start();
    this->front->start();
    spawn(this->control, [this] { return this->runMaintenance(); });
    spawn(this->control, [this] { return this->learnFromPeers(); });
    spawn(this->requests, [this] { return this->runRequestMaintenance(); });
    spawn(this->requests, [this] { return this->reportDemand(); });
    spawn(this->control, [this] { return this->handleSignals(); });
    spawn(this->control, [this] { return this->pollSettings(); });
    this->requestThread = std::thread([this] {
        registerSnapshotReader();
        auto guard = asio::make_work_guard(this->requests);
        this->requests.run();
    });
}

void FrontInstance::Parts::applyStoreChange()
{
    this->publishView();
    std::int64_t era = StoreRevision::fromSequence(this->mirror->revision()).era;
    this->slotKeeper->recordEra(era);
    this->registration->recordEra(era);
    TimePoint now = Clock::now();
    auto fleetView = this->view->read();
    auto current = instancesInStore(this->mirror->values(), *fleetView);
    for (InstanceRecord& expired : recordsOfExpired(this->membership->peers(), current, fleetView->serial))
        this->membership->apply(expired, now);
    for (const InstanceRecord& record : current)
        this->membership->apply(record, now);
}

void FrontInstance::Parts::publishView()
{
    FleetView next = this->builder.build(
        this->mirror->values(), this->mirror->revision(), Clock::now(), this->freshness->confirmed());
    for (const std::string& fault : this->builder.takeFaults())
        writeLog(LogLevel::Warning, "document_rejected", { { "reason", fault } });
    auto tables = next.tables;
    this->followOwnEntry(next);
    this->promoter->recordView(next, this->freshness->confirmed(), Clock::now());
    this->view->replace(std::move(next));
    for (const EvacuationEvent& event : this->builder.takeEvacuationEvents())
        logEvacuation(event);
    this->reportRevision();
    if (tables->revision != this->activeTablesRevision) {
        this->activeTablesRevision = tables->revision;
        this->admission->updateTables(*tables);
        this->level->updateTables(*tables);
        writeLog(LogLevel::Info, "configuration_in_force",
            { { "configuration", fmt::format("{}", tables->revision) },
                { "revision", fmt::format("{}", this->mirror->revision()) } });
    }
}

// Ends the start of this instance once its view may be used: sessions that are opened earlier are refused.
void FrontInstance::Parts::serveOnceUsable()
{
    if (this->lifecycle.state() != InstanceLifecycle::State::Starting)
        return;
    bool hasTables = this->activeTablesRevision && !this->view->read()->targets.empty();
    if (!hasTables || !this->freshness->isFresh(Clock::now()))
        return;
    this->lifecycle.ready();
    writeLog(LogLevel::Info, "ready");
}

// A view without this instance's entry is not used: a leader that changes a primary need not wait for this instance.
void FrontInstance::Parts::followOwnEntry(const FleetView& next)
{
    bool listed = next.lists(this->settings.name, this->peerAddress);
    if (listed != this->freshness->isListed())
        writeLog(LogLevel::Info, listed ? "own_entry_in_view" : "own_entry_missing",
            { { "revision", fmt::format("{}", next.revision) } });
    this->freshness->setListed(listed);
    if (listed)
        return;
    this->registration->recordMissing(next.revision);
    this->requestOwnEntry();
}

// Requests the entry from the store once it has been written, because changes may reach this instance much later
// through a relay.
void FrontInstance::Parts::requestOwnEntry()
{
    std::int64_t revision = this->registration->entryRevision();
    bool requested = revision == this->requestedEntryRevision;
    if (this->freshness->isListed() || requested || this->mirror->revision() >= revision || !this->mirror->isLoaded())
        return;
    this->requestedEntryRevision = revision;
    this->mirror->requestChangesNow();
}

void FrontInstance::Parts::learnConfiguration(const KeyValue& document)
{
    if (this->mirror->isLoaded() && this->builder.learn(document))
        this->publishView();
}

// While the store holds an older copy, an instance that has just started, or that was behind when the store was lost,
// gets the newest configuration from its peers. It asks one at random at a time.
asio::awaitable<void> FrontInstance::Parts::learnFromPeers()
{
    asio::steady_timer timer(this->control);
    std::minstd_rand random(std::random_device {}());
    std::int64_t lastRevision = 0;
    TimePoint learnUntil;
    for (;;) {
        timer.expires_after(peerLearningInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!this->mirror->isLoaded())
            continue;
        if (!lastRevision || !StoreRevision::sameEra(lastRevision, this->mirror->revision()))
            learnUntil = Clock::now() + peerLearningTime;
        lastRevision = this->mirror->revision();
        if (Clock::now() >= learnUntil)
            continue;
        std::vector<std::string> peers;
        for (const auto& [name, instance] : this->view->read()->instances) {
            if (name != this->settings.name && !instance.peerAddress.empty())
                peers.push_back(instance.peerAddress);
        }
        if (peers.empty())
            continue;
        std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
        co_await this->relay->requestChanges(peers[any(random)], lastRevision, Milliseconds(0));
    }
}

// Returns the sources of store changes for this instance, with the relays' peer addresses in place of their names.
const RelayPlan& FrontInstance::Parts::relayPlan()
{
    auto current = this->view->read();
    if (this->planSerial == current->serial)
        return this->plan;
    this->plan = planRelays(*current, this->settings.name);
    this->plan.relays = peerAddresses(*current, this->plan.relays);
    this->plan.others = peerAddresses(*current, this->plan.others);
    this->planSerial = current->serial;
    return this->plan;
}

void FrontInstance::Parts::handleMessage(const wire::Envelope& envelope)
{
    const std::string& sender = envelope.sender();
    switch (envelope.body_case()) {
    case wire::Envelope::kTokenRequest:
        return this->admission->receiveTokenRequest(sender, envelope.token_request());
    case wire::Envelope::kTokenReply:
        return this->admission->receiveTokenReply(envelope.token_reply());
    case wire::Envelope::kPrimaryNote:
        return this->promoter->receivePrimaryNote(sender, envelope.primary_note());
    case wire::Envelope::kViewNote:
        return this->promoter->receiveViewNote(sender, envelope.view_note());
    case wire::Envelope::kChangesRequest:
        return this->relay->receiveRequest(sender, envelope.changes_request());
    case wire::Envelope::kChangesReply:
        return this->relay->receiveReply(envelope.changes_reply());
    case wire::Envelope::kPositionsQuery:
        return this->positions->receiveQuery(sender, envelope.positions_query());
    case wire::Envelope::kPositionsReply:
        return this->positions->receiveReply(envelope.positions_reply());
    case wire::Envelope::kReadRequest:
        return this->readService->receiveRequest(sender, envelope.read_request());
    case wire::Envelope::kReadReply:
        return this->sessions->reads->receiveReply(envelope.sender(), envelope.read_reply());
    case wire::Envelope::kStatementRequest:
        return this->statementService->receiveRequest(sender, envelope.statement_request());
    case wire::Envelope::kStatementReply:
        return this->sessions->statementForwarder->receiveReply(sender, envelope.statement_reply());
    case wire::Envelope::kTransactionEnd:
        return this->statementService->receiveEnd(sender, envelope.transaction_end().transaction());
    case wire::Envelope::kMemberDemand:
        return this->receiveDemand(sender, envelope.member_demand());
    case wire::Envelope::kViewQuery:
        this->awaitedRevisions.record(sender, envelope.view_query().revision());
        return this->reportRevision();
    default:
        // Ignored: messages that only instances for HTTP callers (class Instance) use, or that a later release has
        // added.
        return;
    }
}

// Tells the peers that wait for it that the view in use is recent enough for them.
void FrontInstance::Parts::reportRevision()
{
    std::int64_t revision = this->view->read()->revision;
    for (const std::string& address : this->awaitedRevisions.takeReached(revision)) {
        wire::Envelope envelope;
        envelope.mutable_view_note()->set_revision(revision);
        this->link->send(address, envelope);
    }
}

bool FrontInstance::Parts::isReady() const
{
    return this->lifecycle.state() == InstanceLifecycle::State::Serving
        && this->freshness->hasRemaining(Clock::now(), minRemainingAgeFraction);
}

Page FrontInstance::Parts::readyPage(const std::string& path) const
{
    if (path != this->settings.readyPath)
        return { 404, "no such page\n" };
    bool ready = this->isReady();
    return { ready ? 200u : 503u, ready ? "ready\n" : "not ready\n" };
}

Page FrontInstance::Parts::metricsPage() const
{
    auto count = [](auto value) { return static_cast<double>(value); };
    this->level->sample(Clock::now());
    TokenTraffic tokens = this->admission->tokenTraffic();
    const CapacityLevel& capacity = this->sessions->groups->capacity();
    std::vector<Metric> metrics {
        { "sessions", "Open sessions", count(this->sessions->sessions.load()) },
        { "statements_total", "Statements of callers", count(this->sessions->statements.load()), true },
        { "statement_failures_total", "Statements that failed", count(this->sessions->failures.load()), true },
        { "admitted_total", "Operations within their workspace's rate", count(this->admission->admitted()), true },
        { "rate_refused_total", "Operations over their workspace's rate", count(this->admission->refused()), true },
        { "token_grants_total", "Replies of holders with at least one token", count(tokens.replies.granted), true },
        { "token_replies_empty_total", "Replies of holders without a token", count(tokens.replies.empty), true },
        { "token_replies_lost_total", "Requests for tokens without a reply in time", count(tokens.replies.lost), true },
        { "tokens_expired_total", "Tokens that were received and expired unspent",
            count(tokens.expiredMilliTokens) / milliPerToken, true },
        { "slots_held", "Slots held under a lease", count(this->slotKeeper->held().size()) },
        { "configuration", "Version of the configuration in force", count(this->activeTablesRevision) },
        { "evacuated_data_centres", "Data centres that operators have evacuated",
            count(this->view->read()->evacuated.size()) },
        { "view_age_milliseconds", "Age of the last confirmed view of the store",
            count(this->freshness->age(Clock::now()).count()) },
        { "primaries_replaced_total", "Primaries that this instance replaced", count(this->promoter->promotions()),
            true },
        { "store_calls_total", "Calls to the metadata store", count(this->platform.store->calls()), true },
        { "reads_forwarded_total", "Reads that a gateway has replied to", count(this->sessions->reads->forwarded()),
            true },
        { "gateway_losses_total", "Reads that a gateway did not serve", count(this->sessions->reads->lost()), true },
        { "statements_forwarded_total", "Statements of writes and transactions that a gateway has replied to",
            count(this->sessions->statementForwarder->forwarded()), true },
        { "statement_losses_total",
            "Statements of writes and transactions that were not sent, that a gateway refused, or whose reply is "
            "missing",
            count(this->sessions->statementForwarder->lost()), true },
        { "gateway_operations", "Writes and transactions in progress here for other instances",
            count(this->statementService->open()) },
        { "member_places", "Statements that this instance may have at members as a gateway",
            count(capacity.places.load()) },
        { "member_places_in_use", "Statements that it has there", count(capacity.placesInUse.load()) },
        { "member_queue", "Statements that wait here for a place at a member", count(capacity.waiting.load()) },
        { "refused_early_total", "Statements refused at once because no place would have been free in time",
            count(capacity.refusedEarly.load()), true },
        { "member_slowness_max", "Greatest ratio of a member's response time to that of its service's fastest",
            count(capacity.maxSlownessPercent.load()) / slownessPercent },
        { "peer_bytes_sent_total", "Bytes sent to peers", count(this->link->bytesSent()), true },
    };
    appendCallerMetrics(metrics, *this->sessions->budget);
    return { 200, renderMetrics(metrics, *this->level) };
}

// Periodically logs the bytes sent to peers by kind of message, the calls to the store, and the log lines dropped.
void FrontInstance::Parts::reportTraffic(TimePoint now)
{
    if (now - this->trafficReportedAt < trafficReportInterval)
        return;
    this->trafficReportedAt = now;
    std::string kinds;
    for (std::size_t kind = 0; kind < PeerLink::kindCount; ++kind) {
        if (std::uint64_t bytes = this->link->bytesSentOfKind(kind))
            kinds += fmt::format("{}:{} ", PeerLink::kindName(kind), bytes);
    }
    writeLog(LogLevel::Info, "traffic",
        { { "peer_bytes", kinds }, { "store_calls", fmt::format("{}", this->platform.store->calls()) },
            { "log_lines_dropped", fmt::format("{}", logLinesDropped()) },
            { "done_lines_left_out", fmt::format("{}", this->sessions->successLineBudget.omitted()) },
            { "failed_lines_left_out", fmt::format("{}", this->sessions->failureLineBudget.omitted()) },
            { "sessions", fmt::format("{}", this->sessions->sessions.load()) } });
}

void FrontInstance::Parts::sampleLevelIfDue(TimePoint now)
{
    if (now - this->levelSampledAt < levelSampleInterval)
        return;
    this->levelSampledAt = now;
    this->level->sample(now);
}

asio::awaitable<void> FrontInstance::Parts::runMaintenance()
{
    asio::steady_timer timer(this->control);
    for (;;) {
        timer.expires_after(maintenanceInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (this->builder.hasPendingRemovals())
            this->publishView();
        this->records->check();
        this->sampleLevelIfDue(Clock::now());
        this->reportTraffic(Clock::now());
        if (this->lifecycle.state() == InstanceLifecycle::State::Serving || this->promoter->isLeader())
            this->promoter->checkGroups(Clock::now());
        if (this->lifecycle.state() == InstanceLifecycle::State::Serving)
            this->groupMemberships->check(Clock::now(), this->freshness->confirmed());
    }
}

asio::awaitable<void> FrontInstance::Parts::runRequestMaintenance()
{
    asio::steady_timer timer(this->requests);
    for (;;) {
        timer.expires_after(maintenanceInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        this->sessions->groups->refresh(*this->view->read(), Clock::now());
        this->sessions->groups->runMaintenance(Clock::now());
        this->statementService->endOverdue(Clock::now());
        auto observations = this->sessions->groups->observations();
        auto acknowledged = this->sessions->groups->acknowledged();
        auto positions = this->sessions->groups->latestPositions();
        auto lags = this->sessions->groups->laggingMembers(Clock::now());
        asio::post(this->control, [this, observations, acknowledged, positions, lags] {
            this->promoter->updateObservations(observations, acknowledged);
            this->positions->update(positions, lags);
            // Positions are needed for reads only, so nothing is queried while no statements arrive.
            std::uint64_t statements = this->sessions->statements.load();
            if (std::exchange(this->lastStatementCount, statements) != statements)
                this->queryPositions();
        });
    }
}

// Tells the other gateways of this instance's services how many statements it has at their members.
asio::awaitable<void> FrontInstance::Parts::reportDemand()
{
    asio::steady_timer timer(this->requests);
    for (;;) {
        timer.expires_after(DemandExchange::interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        TimePoint now = Clock::now();
        auto reports = this->demandExchange.due(this->sessions->groups->demands(now), toClockMs(now));
        if (reports.empty())
            continue;
        asio::post(this->control, [this, reports = std::move(reports)] {
            for (const auto& [address, report] : reports) {
                wire::Envelope envelope;
                writeDemand(report, *envelope.mutable_member_demand());
                this->link->send(address, envelope);
            }
        });
    }
}

void FrontInstance::Parts::receiveDemand(const std::string& sender, const wire::MemberDemand& message)
{
    asio::post(this->requests, [groups = this->sessions->groups, sender, report = readDemand(message)] {
        groups->recordDemand(sender, report, Clock::now());
    });
}

void FrontInstance::Parts::queryPositions()
{
    auto current = this->view->read();
    std::vector<std::string> services;
    for (const auto& [name, pool] : current->tables->pools)
        services.push_back(name);
    std::vector<std::string> peers;
    for (const auto& [name, instance] : current->instances) {
        bool sameDataCentre = instance.dataCentre == this->settings.dataCentre;
        if (sameDataCentre && name != this->settings.name && !instance.peerAddress.empty())
            peers.push_back(instance.peerAddress);
    }
    this->positions->queryIfStale(services, peers, Clock::now());
}

asio::awaitable<void> FrontInstance::Parts::handleSignals()
{
    bool leaving = false;
    for (;;) {
        int signal = co_await this->signals.next();
        if (signal == SIGHUP)
            this->reload("signal");
        else if (!std::exchange(leaving, true))
            spawn(this->control, [this] { return this->drain(); });
    }
}

// Reloads the settings when the file has changed, so that no signal is needed.
asio::awaitable<void> FrontInstance::Parts::pollSettings()
{
    asio::steady_timer timer(this->control);
    for (;;) {
        timer.expires_after(settingsInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto next = this->readSettings();
        if (next && *next != this->settings)
            this->reload("file");
    }
}

// Applies the settings of the file. The revocation time and the drain time take effect at once; changed addresses take
// effect at the next start.
void FrontInstance::Parts::reload(const char* cause)
{
    auto next = this->readSettings();
    writeLog(next ? LogLevel::Info : LogLevel::Error, "reload",
        { { "cause", cause },
            { "outcome", next ? "settings applied" : "settings are invalid; the previous ones stay in force" } });
    if (!next)
        return;
    this->settings = *next;
    this->budget = next->viewBudget().value();
    this->freshness->setMaxAge(this->budget.maxAge, this->budget.applyWithin);
    this->builder.setDrainLimits(drainLimitsOf(*next));
    this->relay->updateBudget(this->budget);
    this->mirror->updateBudget(this->budget);
}

// Drains the sessions in stages and stops the instance: first callers close their sessions by themselves, then idle
// sessions are ended, then transactions are rolled back, and at the end the remaining sessions are cut.
asio::awaitable<void> FrontInstance::Parts::drain()
{
    this->lifecycle.leave();
    writeLog(LogLevel::Info, "draining", { { "sessions", fmt::format("{}", this->sessions->sessions.load()) } });
    DrainSchedule schedule = makeDrainSchedule(Clock::now(), std::chrono::seconds(this->settings.drainSeconds));
    asio::post(this->requests, [this, schedule] { this->sessions->drain = schedule; });
    this->promoter->stop(schedule.processEnd - replacementAllowance);
    asio::steady_timer timer(this->control);
    bool accepting = true;
    for (;;) {
        timer.expires_after(drainCheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        TimePoint now = Clock::now();
        bool empty = !this->sessions->sessions.load() && !this->statementService->open();
        bool done = empty && !accepting && !this->promoter->isLeader();
        if (done || now > schedule.processEnd)
            break;
        // The process ends one step later at the earliest, so that a session accepted before the close is still served.
        bool stopAccepting = accepting && now > schedule.acceptingEnds;
        accepting = accepting && !stopAccepting;
        asio::post(this->requests, [this, stopAccepting, now] {
            if (stopAccepting)
                this->front->stopAccepting();
            this->front->endSessions(now);
        });
    }
    // An instance that cuts sessions or operations of other instances may still have statements under way, so that
    // others have to wait for it.
    if (!this->sessions->sessions.load() && !this->statementService->open())
        co_await this->registration->unregister();
    this->lifecycle.drained();
    writeLog(LogLevel::Info, "stopped", { { "sessions_cut", fmt::format("{}", this->sessions->sessions.load()) } });
    this->control.stop();
}

FrontInstance::FrontInstance(FrontSettings settings, SessionPlatformFactory makePlatform,
    std::function<std::optional<FrontSettings>()> readSettings)
    : parts(std::make_unique<Parts>(std::move(settings), makePlatform, std::move(readSettings)))
{
}

FrontInstance::~FrontInstance() = default;

int FrontInstance::run()
{
    Parts& all = *this->parts;
    if (!all.open())
        return EXIT_FAILURE;
    all.start();
    all.control.run();
    all.requests.stop();
    all.requestThread.join();
    return EXIT_SUCCESS;
}

} // namespace catkinlock
