#include "bench/request_path.h"

#include "bench/figure.h"
#include "catkinlock/digest.h"
#include "standin/fleet.h"
#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <csignal>
#include <fmt/format.h>
#include <libpq-fe.h>
#include <thread>

namespace catkinlock::bench {

using standin::Caller;
using standin::CallOptions;
using standin::Fleet;

namespace {

    const char* const selectBooking = "SELECT body FROM bookings WHERE id = $1";
    const char* const insertBooking = "INSERT INTO bookings (id, body) VALUES ($1, $2)";
    // Statements whose latency is measured on each path, direct and through an instance.
    constexpr int samplesPerPath = 4000;
    // About the number of connections of one instance at the size that docs/CAPACITY.md is about: 4.1 million over
    // 1,600 instances.
    constexpr std::size_t idleConnectionCount = 2600;

    // Latencies in seconds of a read over libpq, straight to the primary.
    std::vector<double> directLatencies(const Fleet& fleet)
    {
        std::string address = fleet.memberAddress(0, fleet.primary(0));
        std::size_t colon = address.rfind(':');
        std::string connectionString
            = fmt::format("hostaddr={} port={} user=b dbname=b sslmode=disable gssencmode=disable",
                address.substr(0, colon), address.substr(colon + 1));
        PGconn* connection = PQconnectdb(connectionString.c_str());
        std::vector<double> latencies;
        const char* parameters[] = { "b1" };
        for (int i = 0; i < samplesPerPath; ++i) {
            double start = now();
            PQclear(PQexecParams(connection, selectBooking, 1, nullptr, parameters, nullptr, nullptr, 0));
            latencies.push_back(now() - start);
        }
        PQfinish(connection);
        return latencies;
    }

    // Latencies in seconds of the same read over HTTP through an instance.
    std::vector<double> proxiedLatencies(const Fleet& fleet)
    {
        Caller caller = fleet.caller(0);
        std::vector<double> latencies;
        for (int i = 0; i < samplesPerPath; ++i) {
            double start = now();
            caller.run("rosters", selectBooking, { "b1" }, { fleet.key });
            latencies.push_back(now() - start);
        }
        return latencies;
    }

    // Prints the statements per second of one instance under 16 concurrent callers, divided by the cores that it used.
    void measureThroughput(Fleet& fleet)
    {
        constexpr double durationSeconds = 4;
        std::atomic<unsigned> doneStatements { 0 };
        double cpuBefore = cpuSeconds(fleet.instance(0).pid());
        double start = now();
        constexpr std::size_t callerCount = 16;
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        while (callers.size() < callerCount) {
            callers.emplace_back([&] {
                Caller caller = fleet.caller(0);
                while (now() - start < durationSeconds)
                    doneStatements += caller.run("rosters", selectBooking, { "b1" }, { fleet.key }).isDone();
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        double coresUsed = (cpuSeconds(fleet.instance(0).pid()) - cpuBefore) / (now() - start);
        printFigure("statements_per_core", doneStatements / (now() - start) / coresUsed, "1/s", "387.5");
    }

    // Prints the memory of an instance with open connections that have sent no request.
    void measureIdleMemory(Fleet& fleet)
    {
        boost::asio::io_context context;
        std::vector<boost::asio::ip::tcp::socket> sockets;
        sockets.reserve(idleConnectionCount);
        double residentBefore = residentBytes(fleet.instance(0).pid());
        std::string address = fleet.httpAddress(0);
        auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
        while (sockets.size() < idleConnectionCount) {
            boost::asio::ip::tcp::socket socket(context);
            socket.connect({ boost::asio::ip::address_v4::loopback(), port });
            sockets.push_back(std::move(socket));
        }
        sleepFor(1);
        double residentAfter = residentBytes(fleet.instance(0).pid());
        printFigure("bytes_per_idle_connection", (residentAfter - residentBefore) / idleConnectionCount, "B");
        printFigure("rss_mb_with_2600_idle_connections", residentAfter / 1e6, "MB", "128");
    }

} // namespace

void measureRequestPath()
{
    Fleet fleet({});
    if (!fleet.start())
        return;
    auto direct = directLatencies(fleet);
    auto proxied = proxiedLatencies(fleet);
    printFigure("direct_latency_us.median", quantile(direct, 0.5) * 1e6, "us");
    printFigure("proxied_latency_us.median", quantile(proxied, 0.5) * 1e6, "us");
    printFigure("proxy_overhead_ratio.median", quantile(proxied, 0.5) / quantile(direct, 0.5), "ratio", "1");
    printFigure("proxy_overhead_ratio.p99", quantile(proxied, 0.99) / quantile(direct, 0.99), "ratio", "1");
    measureThroughput(fleet);
    measureIdleMemory(fleet);
}

namespace {

    // Sets `replica_wait_ms` to `replicaWaitMs`. Eight callers read for 6 s from replicas that lag by 100 or 150 ms;
    // each writes before every tenth read. The reads of every second block of ten carry the session token of the
    // block's write and so need a member that has that write; the other reads carry no token.
    void measureReplicaReadsWith(unsigned replicaWaitMs)
    {
        Fleet::Options fleetOptions;
        fleetOptions.extraSettings = fmt::format("[limits]\nreplica_wait_ms = {}\n", replicaWaitMs);
        Fleet fleet(fleetOptions);
        if (!fleet.start())
            return;
        for (std::size_t i = 0; i < 3; ++i)
            fleet.setMemberFault(0, i, "lag_ms", i == 1 ? 150 : 100);
        std::atomic<unsigned> doneReads { 0 };
        std::atomic<unsigned> replicaReads { 0 };
        std::atomic<unsigned> readsAfterOwnWrite { 0 };
        std::vector<std::vector<double>> latenciesMs(8);
        std::vector<std::thread> callers;
        double start = now();
        for (std::size_t i = 0; i < latenciesMs.size(); ++i) {
            callers.emplace_back([&, i] {
                Caller caller = fleet.caller(i % 3);
                CallOptions options { fleet.key };
                for (unsigned n = 0; now() - start < 6; ++n) {
                    if (n % 10 == 0)
                        options.session = caller.run("orders", insertBooking, { "r", "r" }, options).session;
                    bool readsOwnWrite = n / 10 % 2 == 0;
                    CallOptions sent = options;
                    if (!readsOwnWrite)
                        sent.session.clear();
                    double sentAt = now();
                    auto read = caller.run("rosters", selectBooking, { "one" }, sent);
                    latenciesMs[i].push_back((now() - sentAt) * 1000);
                    doneReads += read.isDone();
                    replicaReads += read.fromReplica;
                    readsAfterOwnWrite += readsOwnWrite && !sent.session.empty();
                    sleepFor(0.01);
                }
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        std::vector<double> allLatenciesMs;
        for (const auto& callerLatenciesMs : latenciesMs)
            allLatenciesMs.insert(allLatenciesMs.end(), callerLatenciesMs.begin(), callerLatenciesMs.end());
        // The baseline is the share of a proxy that sends every read of a session that has written to the primary, and
        // only the other reads to replicas.
        double baseline = 1 - static_cast<double>(readsAfterOwnWrite) / doneReads;
        std::string suffix = fmt::format(".wait{}", replicaWaitMs);
        printFigure("replica_read_share" + suffix, static_cast<double>(replicaReads) / doneReads, "ratio",
            fmt::format("{:.4f}", baseline));
        printFigure("read_latency_ms.median" + suffix, quantile(allLatenciesMs, 0.5), "ms");
        printFigure("read_latency_ms.p99" + suffix, quantile(allLatenciesMs, 0.99), "ms");
    }

} // namespace

void measureReplicaReads()
{
    for (unsigned replicaWaitMs : { 10u, 60u, 150u })
        measureReplicaReadsWith(replicaWaitMs);
}

void measureFailover()
{
    Fleet fleet({});
    if (!fleet.start())
        return;
    std::atomic<bool> stopping { false };
    std::atomic<double> lastDoneAt { now() };
    std::atomic<double> worstGapSeconds { 0 };
    std::atomic<unsigned> unknownOutcomes { 0 };
    std::atomic<unsigned> sentWrites { 0 };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            Caller caller = fleet.caller(i % 3);
            CallOptions options { fleet.key };
            for (unsigned n = 0; !stopping; ++n) {
                options.idempotencyKey = fmt::format("{}-{}", i, n);
                options.timeoutMs = 8000;
                auto response = caller.run("orders", insertBooking, { "f", "f" }, options);
                ++sentWrites;
                unknownOutcomes += response.outcome == "unknown";
                if (response.isDone()) {
                    double doneAt = now();
                    double gapSeconds = doneAt - lastDoneAt.exchange(doneAt);
                    double currentWorst = worstGapSeconds.load();
                    while (gapSeconds > currentWorst
                        && !worstGapSeconds.compare_exchange_weak(currentWorst, gapSeconds)) { }
                }
                sleepFor(0.005);
            }
        });
    }
    // Each round freezes the primary for 3 s and records the longest time between two acknowledged writes.
    std::vector<double> gapsMs;
    for (int round = 0; round < 7; ++round) {
        sleepFor(1.5);
        worstGapSeconds = 0;
        std::size_t frozenMember = fleet.primary(0);
        fleet.member(0, frozenMember).sendSignal(SIGSTOP);
        sleepFor(3);
        fleet.member(0, frozenMember).sendSignal(SIGCONT);
        gapsMs.push_back(worstGapSeconds * 1000);
    }
    sleepFor(1);
    stopping = true;
    for (std::thread& caller : callers)
        caller.join();
    printFigure("failover_write_gap_ms.median", quantile(gapsMs, 0.5), "ms", "8000");
    printFigure("failover_write_gap_ms.worst", quantile(gapsMs, 1), "ms", "8000");
    printFigure("unknown_outcome_rate", static_cast<double>(unknownOutcomes) / sentWrites, "ratio");
    double settled = 0;
    for (std::size_t i = 0; i < 3; ++i)
        settled += fleet.metric(i, "settled_total");
    printFigure("settled_by_key", settled, "requests");
    // A primary that only responds late, by 250 ms, must not be replaced.
    auto readTerm = [&] { return fleet.query(0, fleet.primary(0), "SELECT * FROM catkinlock.status()")[3]; };
    std::string termBefore = readTerm();
    fleet.setMemberFault(0, fleet.primary(0), "delay_ms", 250);
    sleepFor(8);
    printFigure("false_promotions", readTerm() == termBefore ? 0 : 1, "elections", "0");
}

void measureRates()
{
    constexpr double durationSeconds = 8;
    Fleet::Options fleetOptions;
    fleetOptions.instances = 14;
    fleetOptions.databases = 3;
    fleetOptions.slots = 64;
    Fleet fleet(fleetOptions);
    if (!fleet.start())
        return;
    constexpr std::size_t workspaces = 8;
    constexpr double ratePerSecond = 60;
    for (std::size_t i = 0; i < workspaces; ++i) {
        fleet.putTable(fmt::format("workspace/w{}", i), fmt::format(R"({{"rate": {}, "burst": 60}})", ratePerSecond));
        fleet.putTable("key/" + sha256Hex(fmt::format("key-{}", i)), fmt::format(R"({{"workspace": "w{}"}})", i));
    }
    sleepFor(4);
    std::vector<std::atomic<unsigned>> admitted(workspaces);
    std::vector<std::atomic<unsigned>> refused(workspaces);
    std::vector<std::atomic<unsigned>> sent(workspaces);
    std::vector<std::thread> callers;
    double start = now();
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
        for (std::size_t callerIndex = 0; callerIndex < 4; ++callerIndex) {
            callers.emplace_back([&, workspace, callerIndex] {
                CallOptions options { fmt::format("key-{}", workspace) };
                // Workspace 0 sends at five times its rate, the others at nine tenths of theirs. Each caller
                // uses three instances in turn, 20 requests at a time.
                double intervalSeconds = 4 / (workspace ? ratePerSecond * 0.9 : ratePerSecond * 5);
                std::vector<Caller> connections;
                for (std::size_t i = 0; i < 3; ++i)
                    connections.push_back(fleet.caller((workspace * 3 + callerIndex * 2 + i * i) % 14));
                for (unsigned n = 0; now() - start < durationSeconds; ++n) {
                    double dueAt = start + n * intervalSeconds + static_cast<double>(callerIndex) * intervalSeconds / 4;
                    if (dueAt > now())
                        sleepFor(dueAt - now());
                    auto response = connections[n / 20 % 3].run("rosters", selectBooking, { "x" }, options);
                    ++sent[workspace];
                    admitted[workspace] += response.isDone();
                    refused[workspace] += response.code == "rate_exceeded";
                }
            });
        }
    }
    for (std::thread& caller : callers)
        caller.join();
    double elapsed = now() - start;
    unsigned refusedWithinRate = 0;
    unsigned sentWithinRate = 0;
    double worstAdmittedShare = 1;
    for (std::size_t i = 1; i < workspaces; ++i) {
        refusedWithinRate += refused[i];
        sentWithinRate += sent[i];
        worstAdmittedShare = std::min(worstAdmittedShare, static_cast<double>(admitted[i]) / sent[i]);
    }
    double overAdmitted = 0;
    for (std::size_t i = 0; i < workspaces; ++i)
        overAdmitted = std::max(overAdmitted, admitted[i] - (ratePerSecond * elapsed + 60));
    printFigure("wrongful_refusal_rate", static_cast<double>(refusedWithinRate) / sentWithinRate, "ratio", "0.001");
    printFigure("worst_workspace_share", worstAdmittedShare, "ratio", "0.98");
    printFigure("over_admission.whole_run", std::max(overAdmitted, 0.0), "requests", "0");
    printFigure("loud_workspace_admitted_share", admitted[0] / (ratePerSecond * elapsed + 60), "ratio", "1");
}

void measureConfiguration()
{
    Fleet::Options fleetOptions;
    fleetOptions.instances = 14;
    fleetOptions.slots = 64;
    Fleet fleet(fleetOptions);
    if (!fleet.start())
        return;
    sleepFor(3);
    auto measureUntilInForceMs = [&](const std::function<bool(Caller&)>& inForce) {
        double start = now();
        for (std::size_t i = 0; i < fleet.instanceCount(); ++i) {
            Caller caller = fleet.caller(i);
            Fleet::waitFor([&] { return inForce(caller); }, 20);
        }
        return (now() - start) * 1000;
    };
    std::vector<double> editDelaysMs;
    for (int round = 0; round < 5; ++round) {
        std::string route = fmt::format("edit-{}", round);
        fleet.putTable("route/" + route, R"({"pool": "tour-ledger", "read_only": true})");
        editDelaysMs.push_back(measureUntilInForceMs([&](Caller& caller) {
            return caller.run(route, selectBooking, { "x" }, { fleet.key }).code != "unknown_route";
        }));
    }
    printFigure("config_in_force_ms.worst", quantile(editDelaysMs, 1), "ms", "9000");
    fleet.putTable("key/" + sha256Hex(fleet.key), R"({"workspace": "tours", "withdrawn": true})");
    double withdrawalDelayMs = measureUntilInForceMs([&](Caller& caller) {
        return caller.run("rosters", selectBooking, { "x" }, { fleet.key }).code == "key_refused";
    });
    printFigure("key_withdrawal_ms", withdrawalDelayMs, "ms", "9000");
}

} // namespace catkinlock::bench
