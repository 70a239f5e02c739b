#include "libsession/front_instance.h"

#include "catkinlock/instance_lifecycle.h"
#include "catkinlock/log.h"
#include "catkinlock/membership.h"
#include "catkinlock/peer_link.h"
#include "libserver/admission.h"
#include "libserver/metrics_page.h"
#include "libserver/service_level.h"
#include "libserver/slot_keeper.h"
#include "libsession/page_server.h"
#include "libsession/position_exchange.h"
#include "libsession/promoter.h"
#include "libsession/registration.h"
#include "libsession/relay_choice.h"
#include "libsession/session_context.h"
#include "libsession/session_front.h"
#include "libsession/slot_directory.h"
#include "libsession/spawn.h"
#include "libsession/store_mirror.h"
#include "libsession/target_groups.h"
#include "libsession/view_builder.h"
#include "libsession/view_relay.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds houseKeepingInterval { 200 };
    // A confirmed view is used for the revocation time less this.
    constexpr Milliseconds revocationMargin { 300 };
    // An instance asks for no new callers once less than this part of its view's time is left.
    constexpr double leastViewLeft = 0.15;
    // Of the time to leave: until idle sessions end, until open transactions end, and until the process ends.
    constexpr double idleSessionsPart = 0.25;
    constexpr double transactionsPart = 0.5;
    constexpr double lastPart = 0.85;
    constexpr Milliseconds settingsInterval { 5000 };
    constexpr Milliseconds trafficInterval { 10000 };
    constexpr Milliseconds drainStep { 50 };

} // namespace

struct FrontInstance::Parts {
    Parts(FrontSettings, MakeSessionPlatform, std::function<std::optional<FrontSettings>()>);

    bool open();
    void start();
    void storeChanged();
    void publishView();
    RelayPlan relayPlan() const;
    void lookForPositions();
    void handleMessage(const wire::Envelope&);
    bool isReady() const;
    Page readyPage(const std::string& path) const;
    Page metricsPage() const;
    void reportTraffic(TimePoint now);
    asio::awaitable<void> keepHouse();
    asio::awaitable<void> keepRequestHouse();
    asio::awaitable<void> awaitLeave();
    asio::awaitable<void> awaitReload();
    asio::awaitable<void> watchSettings();
    void reload(const char* cause);
    asio::awaitable<void> leave();

    FrontSettings settings;
    std::function<std::optional<FrontSettings>()> reread;
    asio::io_context control { 1 };
    asio::io_context requests { 1 };
    InstanceLifecycle lifecycle;
    SessionPlatform platform;
    std::shared_ptr<ViewFreshness> freshness;
    std::shared_ptr<RcuSnapshot<FleetView>> view = std::make_shared<RcuSnapshot<FleetView>>();
    ViewBuilder builder;
    std::shared_ptr<ViewRelay> relay;
    std::unique_ptr<PositionExchange> positions;
    std::shared_ptr<StoreMirror> mirror;
    std::shared_ptr<Membership> membership;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<Registration> registration;
    std::shared_ptr<Promoter> promoter;
    std::shared_ptr<SlotKeeper> slotKeeper;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<ServiceLevel> level = std::make_shared<ServiceLevel>();
    std::shared_ptr<SessionContext> sessions = std::make_shared<SessionContext>();
    std::shared_ptr<SessionFront> front;
    std::shared_ptr<PageServer> readyServer;
    std::shared_ptr<PageServer> metricsServer;
    std::int64_t tablesInForce = 0;
    // Statements when positions were looked for last.
    std::uint64_t statementsSeen = 0;
    TimePoint trafficReportedAt = Clock::now();
    std::thread requestThread;
};

FrontInstance::Parts::Parts(
    FrontSettings given, MakeSessionPlatform makePlatform, std::function<std::optional<FrontSettings>()> reread)
    : settings(std::move(given))
    , reread(std::move(reread))
    , platform(makePlatform(this->control, this->settings))
    , freshness(std::make_shared<ViewFreshness>(Milliseconds(this->settings.revocationMs) - revocationMargin))
    , builder(this->platform.documents)
{
    this->link = std::make_shared<PeerLink>(this->control, this->settings.fleetSecret);
    this->positions = std::make_unique<PositionExchange>(this->link,
        PositionExchange::Hooks { [this](const std::string& service, const PositionWindow::Sample& sample) {
                                     asio::post(this->requests, [groups = this->sessions->groups, service, sample] {
                                         groups->recordPrimaryPosition(service, sample.position, sample.requestedAt);
                                     });
                                 },
            [this](const std::string& member, const LagObservation& sight) {
                asio::post(this->requests,
                    [groups = this->sessions->groups, member, sight] { groups->recordLag(member, sight); });
            } });
    this->relay = std::make_shared<ViewRelay>(this->control, this->link, this->freshness);
    this->mirror = std::make_shared<StoreMirror>(this->control, this->platform.store, this->relay, this->freshness,
        StoreMirror::Hooks { [this] { this->storeChanged(); }, [this] { return this->relayPlan(); } });
    auto executor = this->requests.get_executor();
    this->sessions->executor = executor;
    this->sessions->protocol = this->platform.callers;
    this->sessions->view = this->view;
    this->sessions->freshness = this->freshness;
    this->sessions->level = this->level;
    this->sessions->groups
        = std::make_shared<TargetGroups>(executor, this->platform.targets, this->freshness, this->settings.dataCentre);
    this->front = std::make_shared<SessionFront>(this->requests, this->sessions);
    this->readyServer = std::make_shared<PageServer>(
        this->control, [this](const std::string& path) { return this->readyPage(path); });
    this->metricsServer
        = std::make_shared<PageServer>(this->control, [this](const std::string&) { return this->metricsPage(); });
}

bool FrontInstance::Parts::open()
{
    std::string peerAddress = this->link->bind(this->settings.peerAddress);
    bool bound = !peerAddress.empty() && this->front->listen(this->settings.callerAddress)
        && this->readyServer->start(this->settings.readyAddress);
    if (bound && !this->settings.metricsAddress.empty())
        bound = this->metricsServer->start(this->settings.metricsAddress);
    if (!bound) {
        writeLog(LogLevel::Error, "bind_failed", { { "callers", this->settings.callerAddress } });
        return false;
    }
    InstanceRecord self { this->settings.name, peerAddress, this->settings.dataCentre, 1, 1, InstanceState::Live, {} };
    this->membership = std::make_shared<Membership>(self);
    this->admission
        = std::make_shared<Admission>(this->control, this->requests.get_executor(), this->link, this->membership);
    this->sessions->admission = this->admission;
    this->registration = std::make_shared<Registration>(this->control, this->platform.store, this->settings.name,
        RegisteredInstance { peerAddress, this->settings.dataCentre }, this->settings.leaseSeconds);
    this->slotKeeper = std::make_shared<SlotKeeper>(this->control, this->platform.store,
        SlotKeeper::Options { this->settings.slots, this->settings.leaseSeconds, this->settings.name, peerAddress },
        SlotKeeper::Hooks { [this](const auto& held, TimePoint until) {
                               this->admission->updateSlots(held, until, this->settings.slots);
                               this->membership->setSelf(InstanceState::Live, { held.begin(), held.end() });
                           },
            [this] { return this->view->read()->instanceNames(); },
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
        Promoter::Parts { this->platform.store, this->platform.promotions, this->platform.targets, this->mirror,
            this->view, this->link, this->freshness->usableFor(), this->settings.name });
    this->admission->updateSlots({}, Clock::now(), this->settings.slots);
    writeLog(LogLevel::Info, "started",
        { { "callers", this->settings.callerAddress }, { "peer", peerAddress },
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
    spawn(this->control, [this] { return this->keepHouse(); });
    spawn(this->requests, [this] { return this->keepRequestHouse(); });
    spawn(this->control, [this] { return this->awaitLeave(); });
    spawn(this->control, [this] { return this->awaitReload(); });
    spawn(this->control, [this] { return this->watchSettings(); });
    this->requestThread = std::thread([this] {
        registerSnapshotReader();
        auto guard = asio::make_work_guard(this->requests);
        this->requests.run();
    });
}

void FrontInstance::Parts::storeChanged()
{
    this->publishView();
    TimePoint now = Clock::now();
    auto current = this->view->read();
    auto holders = holdersOfSlots(this->mirror->values(), *current);
    for (InstanceRecord& gone : recordsOfVanished(this->membership->peers(), holders, current->serial))
        this->membership->apply(gone, now);
    for (const InstanceRecord& record : holders)
        this->membership->apply(record, now);
}

void FrontInstance::Parts::publishView()
{
    FleetView next = this->builder.build(this->mirror->values(), this->mirror->revision(), Clock::now());
    for (const std::string& fault : this->builder.takeFaults())
        writeLog(LogLevel::Warning, "document_rejected", { { "reason", fault } });
    auto tables = next.tables;
    this->view->replace(std::move(next));
    if (tables->revision != this->tablesInForce) {
        this->tablesInForce = tables->revision;
        this->admission->updateTables(*tables);
        this->level->updateTables(*tables);
        writeLog(LogLevel::Info, "configuration_in_force",
            { { "configuration", fmt::format("{}", tables->revision) },
                { "revision", fmt::format("{}", this->mirror->revision()) } });
    }
    bool usable = this->tablesInForce && !this->view->read()->targets.empty();
    if (usable && this->lifecycle.state() == InstanceLifecycle::State::Starting) {
        this->lifecycle.ready();
        writeLog(LogLevel::Info, "ready");
    }
}

// Where this instance asks for changes of the store; addresses in place of names.
RelayPlan FrontInstance::Parts::relayPlan() const
{
    auto current = this->view->read();
    RelayPlan plan = planRelays(*current, this->settings.name);
    for (std::string& relay : plan.relays)
        relay = current->instances.at(relay).peerAddress;
    return plan;
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
    case wire::Envelope::kViewQuery: {
        wire::Envelope answer;
        answer.mutable_view_note()->set_revision(this->mirror->revision());
        this->link->send(sender, answer);
        return;
    }
    default:
        // A message of the other kind of instance, or of a later release.
        return;
    }
}

bool FrontInstance::Parts::isReady() const
{
    return this->lifecycle.state() == InstanceLifecycle::State::Serving
        && this->freshness->hasLeft(Clock::now(), leastViewLeft);
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
    std::vector<Metric> metrics {
        { "sessions", "Open sessions", count(this->sessions->sessions.load()) },
        { "statements_total", "Statements of callers", count(this->sessions->statements.load()), true },
        { "statement_failures_total", "Statements that failed", count(this->sessions->failures.load()), true },
        { "admitted_total", "Operations within their workspace's rate", count(this->admission->admitted()), true },
        { "rate_refused_total", "Operations over their workspace's rate", count(this->admission->refused()), true },
        { "slots_held", "Slots held under a lease", count(this->slotKeeper->held().size()) },
        { "configuration", "Version of the configuration in force", count(this->tablesInForce) },
        { "view_age_milliseconds", "Age of the last confirmed view of the store",
            count(this->freshness->age(Clock::now()).count()) },
        { "primaries_replaced_total", "Primaries that this instance replaced", count(this->promoter->promotions()),
            true },
        { "store_calls_total", "Calls to the metadata store", count(this->platform.store->calls()), true },
        { "peer_bytes_sent_total", "Bytes sent to peers", count(this->link->bytesSent()), true },
    };
    return { 200, renderMetrics(metrics, *this->level) };
}

// One line in a while about what the instances say to each other and to the store.
void FrontInstance::Parts::reportTraffic(TimePoint now)
{
    if (now - this->trafficReportedAt < trafficInterval)
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

asio::awaitable<void> FrontInstance::Parts::keepHouse()
{
    asio::steady_timer timer(this->control);
    for (;;) {
        timer.expires_after(houseKeepingInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (this->builder.isUnsettled())
            this->publishView();
        this->level->sample(Clock::now());
        this->reportTraffic(Clock::now());
        if (this->lifecycle.state() == InstanceLifecycle::State::Serving)
            this->promoter->look(Clock::now());
    }
}

asio::awaitable<void> FrontInstance::Parts::keepRequestHouse()
{
    asio::steady_timer timer(this->requests);
    for (;;) {
        timer.expires_after(houseKeepingInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        this->sessions->groups->refresh(*this->view->read());
        this->sessions->groups->runMaintenance(Clock::now());
        auto sights = this->sessions->groups->observations();
        auto acknowledged = this->sessions->groups->acknowledged();
        auto positions = this->sessions->groups->latestPositions();
        auto lags = this->sessions->groups->laggingMembers(Clock::now());
        asio::post(this->control, [this, sights, acknowledged, positions, lags] {
            this->promoter->updateSights(sights, acknowledged);
            this->positions->update(positions, lags);
            // Without callers nobody needs them.
            std::uint64_t statements = this->sessions->statements.load();
            if (std::exchange(this->statementsSeen, statements) != statements)
                this->lookForPositions();
        });
    }
}

void FrontInstance::Parts::lookForPositions()
{
    auto current = this->view->read();
    std::vector<std::string> services;
    for (const auto& [name, pool] : current->tables->pools)
        services.push_back(name);
    std::vector<std::string> peers;
    for (const auto& [name, instance] : current->instances) {
        bool near = instance.dataCentre == this->settings.dataCentre;
        if (near && name != this->settings.name && !instance.peerAddress.empty())
            peers.push_back(instance.peerAddress);
    }
    this->positions->queryIfStale(services, peers, Clock::now());
}

asio::awaitable<void> FrontInstance::Parts::awaitLeave()
{
    asio::signal_set signals(this->control, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await this->leave();
}

asio::awaitable<void> FrontInstance::Parts::awaitReload()
{
    asio::signal_set signals(this->control, SIGHUP);
    for (;;) {
        co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
        this->reload("signal");
    }
}

// Settings may change without a signal too.
asio::awaitable<void> FrontInstance::Parts::watchSettings()
{
    asio::steady_timer timer(this->control);
    for (;;) {
        timer.expires_after(settingsInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto next = this->reread();
        if (next && *next != this->settings)
            this->reload("file");
    }
}

// Times are taken over; addresses and names stay as they are until the next start.
void FrontInstance::Parts::reload(const char* cause)
{
    auto next = this->reread();
    writeLog(next ? LogLevel::Info : LogLevel::Error, "reload",
        { { "cause", cause }, { "outcome", next ? "taken over" : "faulty settings; the last ones stay" } });
    if (!next)
        return;
    this->settings = *next;
    this->freshness->setLimit(Milliseconds(next->revocationMs) - revocationMargin);
}

asio::awaitable<void> FrontInstance::Parts::leave()
{
    this->lifecycle.leave();
    writeLog(LogLevel::Info, "draining", { { "sessions", fmt::format("{}", this->sessions->sessions.load()) } });
    TimePoint start = Clock::now();
    Milliseconds total = std::chrono::seconds(this->settings.drainSeconds);
    asio::steady_timer timer(this->control);
    this->sessions->leaving = true;
    this->promoter->stop();
    bool accepting = true;
    for (;;) {
        timer.expires_after(drainStep);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        Duration passed = Clock::now() - start;
        bool idleEnd = passed > total * idleSessionsPart;
        bool transactionsEnd = passed > total * transactionsPart;
        bool empty = !this->sessions->sessions.load();
        if (idleEnd && ((empty && !accepting) || passed > total * lastPart))
            break;
        // A session that came before the listener is closed is served; a later one is not taken.
        bool stopAccepting = idleEnd && empty && accepting;
        accepting = accepting && !stopAccepting;
        asio::post(this->requests, [this, idleEnd, transactionsEnd, stopAccepting] {
            if (stopAccepting)
                this->front->stopAccepting();
            if (idleEnd)
                this->front->endIdleSessions();
            if (transactionsEnd)
                this->front->endTransactions();
        });
    }
    co_await this->registration->end();
    this->lifecycle.drained();
    writeLog(LogLevel::Info, "stopped", { { "sessions_cut", fmt::format("{}", this->sessions->sessions.load()) } });
    this->control.stop();
}

FrontInstance::FrontInstance(
    FrontSettings settings, MakeSessionPlatform makePlatform, std::function<std::optional<FrontSettings>()> reread)
    : parts(std::make_unique<Parts>(std::move(settings), makePlatform, std::move(reread)))
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
