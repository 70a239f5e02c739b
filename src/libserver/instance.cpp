#include "libserver/instance.h"

#include "catkinlock/log.h"
#include "catkinlock/platform_client.h"
#include "catkinlock/process_signals.h"
#include "catkinlock/rendezvous.h"
#include "catkinlock/routing_view.h"
#include "libserver/admission.h"
#include "libserver/caller_metrics.h"
#include "libserver/config_follower.h"
#include "libserver/forwarder.h"
#include "libserver/gateway_registry.h"
#include "libserver/gossip.h"
#include "libserver/http_server.h"
#include "libserver/metrics_page.h"
#include "libserver/service_level.h"
#include "libserver/slot_keeper.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <ctime>
#include <fmt/format.h>
#include <thread>

namespace catkinlock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr const char* instanceListPrefix = "/platform/instances/";
    // Name for which the slots are ranked to choose the relays. The holders of the first `relayCount` slots watch the
    // platform for changes of the tables.
    constexpr const char* relayRankingName = "configuration";
    constexpr std::uint32_t relayCount = 3;
    // Limit of each call to the platform except a watch.
    constexpr Milliseconds platformTimeout { 2000 };
    constexpr Milliseconds maintenanceInterval { 500 };
    // Interval at which the platform's instance list is read. It doubles up to the maximum while the list adds nothing.
    constexpr Milliseconds minListInterval { 1000 };
    constexpr Milliseconds maxListInterval { 600000 };
    // Time between announcing that the instance leaves and closing its listening socket, so that the callers' load
    // balancer and the peers can stop sending requests to it.
    constexpr Milliseconds unlistDelay { 1500 };
    // Interval at which a draining instance checks whether requests are still in flight.
    constexpr Milliseconds drainPollInterval { 20 };

    // The current time in milliseconds, so that a later start of the instance has a higher incarnation.
    std::uint64_t newIncarnation()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
    }

    double processCpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

} // namespace

struct Instance::Parts {
    Parts(Settings, GatewayOptions);

    // Binds the sockets. False if an address can't be bound.
    bool open();
    // Creates the components and connects them to each other.
    void connectComponents();
    void startThreads();
    void handleMessage(const wire::Envelope&);
    void tablesChanged(const Tables&);
    void slotsChanged(const std::set<std::uint32_t>&, TimePoint validUntil);
    void membershipChanged();
    void publishRouting();
    // Asks the other gateways of a database whether they reach its primary.
    void queryOtherGateways(const std::string& database);
    // Reports to `sender` the term whose primary this instance reaches, or 0 if it reaches none.
    void replyToGateway(const std::string& sender, const std::string& database);
    bool isRelay() const;
    // Names of the live instances, this one included.
    std::vector<std::string> fleet() const;
    asio::awaitable<void> runMaintenance();
    asio::awaitable<void> readInstanceList();
    asio::awaitable<void> leave();
    asio::awaitable<void> awaitStop();
    asio::awaitable<std::pair<unsigned, std::string>> page(std::string path);
    asio::awaitable<std::pair<unsigned, std::string>> renderPage(std::string path);
    std::string statusPage() const;
    std::string burnPage() const;
    std::string metricsPage() const;

    Settings settings;
    // Runs on the control thread, which is the one that calls `Instance::run`.
    asio::io_context control { 1 };
    ProcessSignals signals { this->control };
    // Runs on the request threads.
    asio::io_context requests;
    InstanceLifecycle lifecycle;
    std::shared_ptr<RcuSnapshot<Tables>> tables = std::make_shared<RcuSnapshot<Tables>>();
    std::shared_ptr<RcuSnapshot<RoutingView>> routing = std::make_shared<RcuSnapshot<RoutingView>>();
    std::shared_ptr<ConfigFreshness> freshness = std::make_shared<ConfigFreshness>();
    std::shared_ptr<Membership> membership;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<PlatformClient> platform;
    std::shared_ptr<GatewayRegistry> registry;
    std::shared_ptr<ConfigFollower> config;
    std::shared_ptr<SlotKeeper> slotKeeper;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<Forwarder> forwarder;
    std::shared_ptr<Gossip> gossip;
    std::shared_ptr<HttpContext> http = std::make_shared<HttpContext>();
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<ServiceLevel> serviceLevel = std::make_shared<ServiceLevel>();
    std::string httpAddress;
    std::vector<std::thread> threads;
    // CPU time of the control thread in seconds, updated by `runMaintenance`.
    std::atomic<double> controlCpuSeconds { 0 };
};

Instance::Parts::Parts(Settings given, GatewayOptions options)
    : settings(std::move(given))
    , requests(static_cast<int>(this->settings.threads))
{
    options.maxResponseBytes = this->settings.maxResponseBytes;
    options.replicaWait = Milliseconds(this->settings.replicaWaitMs);
    this->link = std::make_shared<PeerLink>(this->control, this->settings.fleetSecret);
    this->platform = std::make_shared<PlatformClient>(this->control, this->settings.platformAddress, platformTimeout);
    this->registry = std::make_shared<GatewayRegistry>(
        this->requests.get_executor(), options, [this](const std::string& database) {
            asio::post(this->control, [this, database] { this->queryOtherGateways(database); });
        });
}

bool Instance::Parts::open()
{
    std::string peerAddress = this->link->bind(this->settings.peerAddress);
    if (peerAddress.empty()) {
        writeLog(LogLevel::Error, "bind_failed", { { "address", this->settings.peerAddress }, { "for", "peers" } });
        return false;
    }
    this->server = std::make_shared<HttpServer>(this->requests, this->http);
    this->httpAddress = this->server->listen(this->settings.httpAddress);
    if (this->httpAddress.empty()) {
        writeLog(LogLevel::Error, "bind_failed", { { "address", this->settings.httpAddress }, { "for", "callers" } });
        return false;
    }
    InstanceRecord self { this->settings.name, peerAddress, this->settings.dataCentre, newIncarnation(), 1,
        InstanceState::Live, {} };
    this->membership = std::make_shared<Membership>(self);
    writeLog(LogLevel::Info, "listening", { { "http", this->httpAddress }, { "peer", peerAddress } });
    return true;
}

void Instance::Parts::connectComponents()
{
    this->admission
        = std::make_shared<Admission>(this->control, this->requests.get_executor(), this->link, this->membership);
    this->config = std::make_shared<ConfigFollower>(this->control, this->platform, this->tables, this->freshness,
        ConfigFollower::Hooks {
            [this](const Tables& newTables) { this->tablesChanged(newTables); }, [this] { return this->isRelay(); } });
    this->slotKeeper = std::make_shared<SlotKeeper>(this->control, this->platform,
        SlotKeeper::Options { this->settings.slots, this->settings.slotLeaseSeconds, this->settings.name,
            this->membership->self().address },
        SlotKeeper::Hooks { [this](const auto& held, TimePoint until) { this->slotsChanged(held, until); },
            [this] { return this->fleet(); }, [] { return true; },
            [this](std::uint32_t slot) {
                const InstanceRecord* holder = this->membership->holderOf(slot);
                return holder && holder->name != this->settings.name;
            } });
    this->forwarder = std::make_shared<Forwarder>(
        this->control, this->requests.get_executor(), this->link, this->registry, this->routing);
    this->gossip = std::make_shared<Gossip>(this->control, this->link, this->membership, this->config, this->freshness,
        Gossip::Hooks { [this] { this->membershipChanged(); } });
    this->http->pipeline = std::make_shared<RequestPipeline>(RequestPipeline::Parts { this->tables, this->admission,
        this->freshness, this->forwarder, this->settings.fleetSecret, Milliseconds(this->settings.requestTimeoutMs) });
    this->http->limits
        = { this->settings.headerBytes, this->settings.bodyBytes, std::chrono::seconds(this->settings.idleSeconds) };
    this->http->budget = std::make_shared<CallerBudget>(deriveHttpLimits(this->settings));
    this->http->observe
        = [level = this->serviceLevel](const std::string& route, const std::string& workspace, const Refusal* refusal,
              Duration latency) { level->observe(route, workspace, refusal, latency); };
    this->http->page = [this](std::string path) { return this->page(std::move(path)); };
    this->admission->updateSlots({}, Clock::now(), this->settings.slots);
    this->publishRouting();
}

void Instance::Parts::startThreads()
{
    this->link->start([this](const wire::Envelope& envelope) { this->handleMessage(envelope); });
    this->config->start();
    this->slotKeeper->start();
    this->admission->start();
    this->gossip->start();
    this->server->start();
    asio::co_spawn(this->control, this->runMaintenance(), asio::detached);
    asio::co_spawn(this->control, this->readInstanceList(), asio::detached);
    asio::co_spawn(this->control, this->awaitStop(), asio::detached);
    for (std::uint32_t i = 0; i < this->settings.threads; ++i)
        this->threads.emplace_back([this] {
            registerSnapshotReader();
            auto guard = asio::make_work_guard(this->requests);
            this->requests.run();
        });
}

void Instance::Parts::handleMessage(const wire::Envelope& envelope)
{
    const std::string& sender = envelope.sender();
    switch (envelope.body_case()) {
    case wire::Envelope::kForwardRequest:
        return this->forwarder->receiveRequest(sender, envelope.forward_request());
    case wire::Envelope::kForwardReply:
        return this->forwarder->receiveReply(envelope.forward_reply());
    case wire::Envelope::kPing:
        return this->gossip->receivePing(sender, envelope.ping());
    case wire::Envelope::kAck:
        return this->gossip->receiveAck(sender, envelope.ack());
    case wire::Envelope::kTableUpdate:
        return this->config->receiveUpdate(envelope.table_update());
    case wire::Envelope::kMembershipRequest:
        return this->gossip->receiveMembershipRequest(sender);
    case wire::Envelope::kMembershipUpdate:
        return this->gossip->receiveMembershipUpdate(envelope.membership_update());
    case wire::Envelope::kTokenRequest:
        return this->admission->receiveTokenRequest(sender, envelope.token_request());
    case wire::Envelope::kTokenReply:
        return this->admission->receiveTokenReply(envelope.token_reply());
    case wire::Envelope::kTableRequest: {
        wire::Envelope response;
        *response.mutable_table_update() = this->config->makeUpdate(envelope.table_request());
        this->link->send(sender, response);
        return;
    }
    case wire::Envelope::kGroupQuery:
        return this->replyToGateway(sender, envelope.group_query().database());
    case wire::Envelope::kGroupNote:
        if (auto gateway = this->registry->find(envelope.group_note().database()))
            gateway->recordPrimaryReachedByOther(envelope.group_note().term());
        return;
    // The following kinds are exchanged only between instances that serve sessions.
    case wire::Envelope::kViewQuery:
    case wire::Envelope::kViewNote:
    case wire::Envelope::kPrimaryNote:
    case wire::Envelope::kChangesRequest:
    case wire::Envelope::kChangesReply:
    case wire::Envelope::kPositionsQuery:
    case wire::Envelope::kPositionsReply:
    case wire::Envelope::kReadRequest:
    case wire::Envelope::kReadReply:
    case wire::Envelope::kStatementRequest:
    case wire::Envelope::kStatementReply:
    case wire::Envelope::kTransactionEnd:
    case wire::Envelope::kMemberDemand:
    // A message of a kind that this release does not know has no body.
    case wire::Envelope::BODY_NOT_SET:
        return;
    }
}

void Instance::Parts::queryOtherGateways(const std::string& database)
{
    wire::Envelope envelope;
    envelope.mutable_group_query()->set_database(database);
    for (const GatewayChoice& choice : this->routing->read()->gatewaysFor(database)) {
        if (!choice.isSelf)
            this->link->send(choice.address, envelope);
    }
}

void Instance::Parts::replyToGateway(const std::string& sender, const std::string& database)
{
    auto gateway = this->registry->find(database);
    wire::Envelope envelope;
    envelope.mutable_group_note()->set_database(database);
    envelope.mutable_group_note()->set_term(gateway && gateway->reachesPrimary() ? gateway->term() : 0);
    this->link->send(sender, envelope);
}

bool Instance::Parts::isRelay() const
{
    for (std::uint32_t slot : rankSlots(relayRankingName, this->settings.slots, relayCount)) {
        if (this->slotKeeper->held().count(slot))
            return true;
    }
    return false;
}

std::vector<std::string> Instance::Parts::fleet() const
{
    std::vector<std::string> names { this->settings.name };
    for (const InstanceRecord& peer : this->membership->peers()) {
        if (peer.state == InstanceState::Live)
            names.push_back(peer.name);
    }
    return names;
}

void Instance::Parts::tablesChanged(const Tables& newTables)
{
    this->lifecycle.ready();
    this->admission->updateTables(newTables);
    this->serviceLevel->updateTables(newTables);
    this->registry->update(newTables, this->slotKeeper->held(), this->settings.slots);
    this->gossip->pushUpdates();
    auto entry = newTables.instances.find(this->settings.name);
    bool drainRequested = entry != newTables.instances.end() && entry->second.drain;
    if (drainRequested && this->lifecycle.state() == InstanceLifecycle::State::Serving)
        asio::co_spawn(this->control, this->leave(), asio::detached);
}

void Instance::Parts::slotsChanged(const std::set<std::uint32_t>& held, TimePoint validUntil)
{
    this->admission->updateSlots(held, validUntil, this->settings.slots);
    this->membership->setSelf(this->membership->self().state, { held.begin(), held.end() });
    this->registry->update(*this->tables->read(), held, this->settings.slots);
    this->membershipChanged();
}

void Instance::Parts::membershipChanged() { this->publishRouting(); }

void Instance::Parts::publishRouting()
{
    RoutingView view;
    view.self = this->membership->self();
    view.slotCount = this->settings.slots;
    view.holders.resize(this->settings.slots);
    for (const InstanceRecord& record : this->membership->all()) {
        if (record.state == InstanceState::Dead)
            continue;
        for (std::uint32_t slot : record.slots) {
            if (slot < view.holders.size())
                view.holders[slot] = record;
        }
    }
    if (!(view == *this->routing->read()))
        this->routing->replace(std::move(view));
}

asio::awaitable<void> Instance::Parts::runMaintenance()
{
    asio::steady_timer timer(this->control);
    for (;;) {
        timer.expires_after(maintenanceInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        this->serviceLevel->sample(Clock::now());
        timespec cpu {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu);
        this->controlCpuSeconds.store(static_cast<double>(cpu.tv_sec) + static_cast<double>(cpu.tv_nsec) * 1e-9);
    }
}

// Adds instances from the platform's list to the membership. The list may be out of date, so it is used only to find
// addresses; the state of each instance comes from gossip.
asio::awaitable<void> Instance::Parts::readInstanceList()
{
    asio::steady_timer timer(this->control);
    Milliseconds interval = minListInterval;
    for (;;) {
        auto list = co_await this->platform->readPrefix(instanceListPrefix);
        std::size_t knownPeers = this->membership->peers().size();
        bool added = false;
        if (list) {
            for (const KeyValue& entry : list->values) {
                std::string name = entry.key.substr(std::string_view(instanceListPrefix).size());
                json::error_code error;
                json::value value = json::parse(entry.value, error);
                const json::object* object = error ? nullptr : value.if_object();
                const json::value* peer = object ? object->if_contains("peer") : nullptr;
                if (!peer || !peer->is_string() || name == this->settings.name || this->membership->find(name))
                    continue;
                InstanceRecord record { name, json::value_to<std::string>(*peer), "", 0, 0, InstanceState::Live, {} };
                added = this->membership->apply(record, Clock::now()) || added;
            }
        }
        if (added)
            this->membershipChanged();
        interval = !knownPeers || added ? minListInterval : std::min(interval * 2, maxListInterval);
        timer.expires_after(interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// SIGHUP has no effect: the settings are read once.
asio::awaitable<void> Instance::Parts::awaitStop()
{
    int signal = SIGHUP;
    while (signal == SIGHUP)
        signal = co_await this->signals.next();
    co_await this->leave();
}

asio::awaitable<void> Instance::Parts::leave()
{
    if (this->lifecycle.state() == InstanceLifecycle::State::Draining)
        co_return;
    this->lifecycle.leave();
    writeLog(LogLevel::Info, "draining");
    TimePoint end = Clock::now() + std::chrono::seconds(this->settings.drainSeconds);
    asio::steady_timer timer(this->control);
    auto sleep = [&timer](Milliseconds time) {
        timer.expires_after(time);
        return timer.async_wait(asio::as_tuple(asio::use_awaitable));
    };
    auto slots = this->membership->self().slots;
    this->membership->setSelf(InstanceState::Leaving, slots);
    this->gossip->pushUpdates();
    // Until callers and peers have stopped sending requests to this instance, it still serves those that arrive.
    co_await sleep(unlistDelay);
    this->server->stopAccepting();
    this->http->closing = true;
    auto hasRequests = [this] { return this->http->inFlight.load() || this->forwarder->servingForPeers(); };
    while (hasRequests() && Clock::now() < end)
        co_await sleep(drainPollInterval);
    co_await this->slotKeeper->releaseAll(end);
    this->gossip->pushUpdates();
    while (hasRequests() && Clock::now() < end)
        co_await sleep(drainPollInterval);
    bool requestsCut = hasRequests();
    this->lifecycle.drained();
    this->registry->stopAll();
    writeLog(requestsCut ? LogLevel::Warning : LogLevel::Info, "stopped",
        { { "requests_cut", requestsCut ? "true" : "false" } });
    this->control.stop();
}

asio::awaitable<std::pair<unsigned, std::string>> Instance::Parts::page(std::string path)
{
    // The pages show state that only the control thread may access.
    auto render = [this, &path] { return this->renderPage(std::move(path)); };
    co_return co_await asio::co_spawn(this->control, render, asio::use_awaitable);
}

asio::awaitable<std::pair<unsigned, std::string>> Instance::Parts::renderPage(std::string path)
{
    std::pair<unsigned, std::string> page(200, "");
    if (path == "/healthz")
        page.second = "ok\n";
    else if (path == "/readyz") {
        bool ready = this->lifecycle.state() == InstanceLifecycle::State::Serving;
        page = { ready ? 200 : 503, ready ? "ready\n" : "not ready\n" };
    } else if (path == "/status")
        page.second = this->statusPage();
    else if (path == "/burn")
        page.second = this->burnPage();
    else if (path == "/metrics")
        page.second = this->metricsPage();
    else
        page = { 404, "no such page\n" };
    co_return page;
}

std::string Instance::Parts::statusPage() const
{
    json::array instances;
    for (const InstanceRecord& record : this->membership->all()) {
        json::array slots(record.slots.begin(), record.slots.end());
        instances.push_back(json::object { { "name", record.name }, { "peer", record.address },
            { "data_centre", record.dataCentre }, { "state", instanceStateName(record.state) }, { "slots", slots } });
    }
    json::array databases;
    auto gateways = this->registry->all();
    for (const auto& [name, gateway] : *gateways)
        databases.push_back(json::object {
            { "name", name }, { "term", gateway->term() }, { "primary_reached", gateway->reachesPrimary() } });
    static constexpr std::array<const char*, 4> states { "starting", "serving", "draining", "stopped" };
    auto age = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->freshness->confirmed()).count();
    json::object status { { "name", this->settings.name },
        { "state", states[static_cast<std::size_t>(this->lifecycle.state())] },
        { "revision", this->config->revision() }, { "tables_confirmed_ms_ago", age }, { "relay", this->isRelay() },
        { "platform_calls", this->platform->calls() }, { "instances", instances }, { "databases", databases } };
    return json::serialize(status);
}

std::string Instance::Parts::burnPage() const
{
    json::array rows;
    for (const BurnRow& row : this->serviceLevel->report(Clock::now()))
        rows.push_back(json::object { { "subject", row.subject }, { "window_minutes", row.window.count() },
            { "total", row.counts.total }, { "failed", row.counts.failed }, { "burn", row.burnRate } });
    return json::serialize(rows);
}

std::string Instance::Parts::metricsPage() const
{
    auto toDouble = [](auto value) { return static_cast<double>(value); };
    std::vector<Metric> metrics {
        { "connections", "Connections of callers", toDouble(this->http->openConnections.load()) },
        { "in_flight", "Requests being served", toDouble(this->http->inFlight.load()) },
        { "admitted_total", "Requests within their workspace's rate", toDouble(this->admission->admitted()), true },
        { "rate_refused_total", "Requests over their workspace's rate", toDouble(this->admission->refused()), true },
        { "slots_held", "Slots held under a lease", toDouble(this->slotKeeper->held().size()) },
        { "tables_revision", "Revision of the tables in force", toDouble(this->config->revision()) },
        { "platform_calls_total", "Calls to the platform's service", toDouble(this->platform->calls()), true },
        { "peer_bytes_sent_total", "Bytes sent to peers", toDouble(this->link->bytesSent()), true },
        { "peer_bytes_received_total", "Bytes received from peers", toDouble(this->link->bytesReceived()), true },
        { "peer_messages_rejected_total", "Messages that were not authentic", toDouble(this->link->messagesRejected()),
            true },
        { "control_cpu_seconds_total", "Processor time of the control thread", this->controlCpuSeconds.load(), true },
        { "process_cpu_seconds_total", "Processor time of the process", processCpuSeconds(), true },
    };
    for (std::size_t kind = 0; kind < PeerLink::kindCount; ++kind) {
        if (std::uint64_t bytes = this->link->bytesSentOfKind(kind))
            metrics.push_back({ "peer_bytes_sent_by_kind_total", "Bytes sent to peers by kind of message",
                toDouble(bytes), true, "kind", PeerLink::kindName(kind) });
    }
    auto gateways = this->registry->all();
    for (const auto& [name, gateway] : *gateways) {
        const GatewayCounters& counters = gateway->counters;
        auto add = [&, &name = name](const char* metric, const char* help, const std::atomic<std::uint64_t>& value) {
            metrics.push_back({ metric, help, toDouble(value.load()), true, "database", name });
        };
        add("replica_reads_total", "Reads that a replica served", counters.replicaReads);
        add("primary_reads_total", "Reads that the primary served", counters.primaryReads);
        add("writes_total", "Writes that a majority confirmed", counters.writes);
        add("unknown_outcomes_total", "Requests whose outcome is unknown", counters.unknownOutcomes);
        add("settled_total", "Unknown attempts that the idempotency record settled", counters.settled);
        add("elections_total", "Elections started here", counters.elections);
        add("elections_won_total", "Primaries promoted from here", counters.electionsWon);
    }
    appendCallerMetrics(metrics, *this->http->budget);
    return renderMetrics(metrics, *this->serviceLevel);
}

Instance::Instance(Settings settings, GatewayOptions options)
    : parts(std::make_unique<Parts>(std::move(settings), options))
{
}

Instance::~Instance() = default;

int Instance::run()
{
    Parts& all = *this->parts;
    if (!all.open())
        return EXIT_FAILURE;
    all.connectComponents();
    all.startThreads();
    all.control.run();
    all.requests.stop();
    for (std::thread& thread : all.threads)
        thread.join();
    return EXIT_SUCCESS;
}

} // namespace catkinlock
