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
    constexpr int samples = 4000;
    constexpr std::size_t idleConnections = 2600;

    std::vector<double> directLatencies(const Fleet& fleet)
    {
        std::string address = fleet.memberAddress(0, fleet.primary(0));
        std::size_t colon = address.rfind(':');
        std::string info = fmt::format("hostaddr={} port={} user=b dbname=b sslmode=disable gssencmode=disable",
            address.substr(0, colon), address.substr(colon + 1));
        PGconn* connection = PQconnectdb(info.c_str());
        std::vector<double> latencies;
        const char* values[] = { "b1" };
        for (int i = 0; i < samples; ++i) {
            double start = now();
            PQclear(PQexecParams(connection, selectBooking, 1, nullptr, values, nullptr, nullptr, 0));
            latencies.push_back(now() - start);
        }
        PQfinish(connection);
        return latencies;
    }

    std::vector<double> proxiedLatencies(const Fleet& fleet)
    {
        Caller caller = fleet.caller(0);
        std::vector<double> latencies;
        for (int i = 0; i < samples; ++i) {
            double start = now();
            caller.run("rosters", selectBooking, { "b1" }, { fleet.key });
            latencies.push_back(now() - start);
        }
        return latencies;
    }

    void measureThroughput(Fleet& fleet)
    {
        constexpr double seconds = 4;
        std::atomic<unsigned> done { 0 };
        double cpuBefore = cpuSeconds(fleet.instance(0).pid());
        double start = now();
        constexpr std::size_t callerCount = 16;
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        while (callers.size() < callerCount) {
            callers.emplace_back([&] {
                Caller caller = fleet.caller(0);
                while (now() - start < seconds)
                    done += caller.run("rosters", selectBooking, { "b1" }, { fleet.key }).isDone();
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        double cores = (cpuSeconds(fleet.instance(0).pid()) - cpuBefore) / (now() - start);
        printFigure("statements_per_core", done / (now() - start) / cores, "1/s", "387.5");
    }

    void measureIdleMemory(Fleet& fleet)
    {
        boost::asio::io_context context;
        std::vector<boost::asio::ip::tcp::socket> sockets;
        sockets.reserve(idleConnections);
        double before = residentBytes(fleet.instance(0).pid());
        std::string address = fleet.httpAddress(0);
        auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
        while (sockets.size() < idleConnections) {
            boost::asio::ip::tcp::socket socket(context);
            socket.connect({ boost::asio::ip::address_v4::loopback(), port });
            sockets.push_back(std::move(socket));
        }
        pause(1);
        double after = residentBytes(fleet.instance(0).pid());
        printFigure("bytes_per_idle_connection", (after - before) / idleConnections, "B");
        printFigure("rss_mb_with_2600_idle_connections", after / 1e6, "MB", "128");
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

    // One write in ten requests; half of the sessions that wrote read their write back at once.
    void measureReplicaReadsWith(unsigned waitMs)
    {
        Fleet::Options shape;
        shape.extraSettings = fmt::format("[limits]\nreplica_wait_ms = {}\n", waitMs);
        Fleet fleet(shape);
        if (!fleet.start())
            return;
        for (std::size_t i = 0; i < 3; ++i)
            fleet.setMemberFault(0, i, "lag_ms", i == 1 ? 150 : 100);
        std::atomic<unsigned> reads { 0 };
        std::atomic<unsigned> fromReplica { 0 };
        std::atomic<unsigned> afterWrite { 0 };
        std::vector<std::vector<double>> latencies(8);
        std::vector<std::thread> callers;
        double start = now();
        for (std::size_t i = 0; i < latencies.size(); ++i) {
            callers.emplace_back([&, i] {
                Caller caller = fleet.caller(i % 3);
                CallOptions options { fleet.key };
                for (unsigned n = 0; now() - start < 6; ++n) {
                    if (n % 10 == 0)
                        options.session = caller.run("orders", insertBooking, { "r", "r" }, options).session;
                    bool keeps = n / 10 % 2 == 0;
                    CallOptions sent = options;
                    if (!keeps)
                        sent.session.clear();
                    double sentAt = now();
                    auto read = caller.run("rosters", selectBooking, { "one" }, sent);
                    latencies[i].push_back((now() - sentAt) * 1000);
                    reads += read.isDone();
                    fromReplica += read.fromReplica;
                    afterWrite += keeps && !sent.session.empty();
                    pause(0.01);
                }
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        std::vector<double> all;
        for (const auto& some : latencies)
            all.insert(all.end(), some.begin(), some.end());
        // A proxy that sends a session to the primary after any write serves only the others from replicas.
        double baseline = 1 - static_cast<double>(afterWrite) / reads;
        std::string suffix = fmt::format(".wait{}", waitMs);
        printFigure("replica_read_share" + suffix, static_cast<double>(fromReplica) / reads, "ratio",
            fmt::format("{:.4f}", baseline));
        printFigure("read_latency_ms.median" + suffix, quantile(all, 0.5), "ms");
        printFigure("read_latency_ms.p99" + suffix, quantile(all, 0.99), "ms");
    }

} // namespace

void measureReplicaReads()
{
    for (unsigned waitMs : { 10u, 60u, 150u })
        measureReplicaReadsWith(waitMs);
}

void measureFailover()
{
    Fleet fleet({});
    if (!fleet.start())
        return;
    std::atomic<bool> stopping { false };
    std::atomic<double> lastDone { now() };
    std::atomic<double> worstGap { 0 };
    std::atomic<unsigned> unknown { 0 };
    std::atomic<unsigned> writes { 0 };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            Caller caller = fleet.caller(i % 3);
            CallOptions options { fleet.key };
            for (unsigned n = 0; !stopping; ++n) {
                options.idempotencyKey = fmt::format("{}-{}", i, n);
                options.timeoutMs = 8000;
                auto answer = caller.run("orders", insertBooking, { "f", "f" }, options);
                ++writes;
                unknown += answer.outcome == "unknown";
                if (answer.isDone()) {
                    double at = now();
                    double gap = at - lastDone.exchange(at);
                    double worst = worstGap.load();
                    while (gap > worst && !worstGap.compare_exchange_weak(worst, gap)) { }
                }
                pause(0.005);
            }
        });
    }
    std::vector<double> gaps;
    for (int round = 0; round < 7; ++round) {
        pause(1.5);
        worstGap = 0;
        std::size_t lost = fleet.primary(0);
        fleet.member(0, lost).sendSignal(SIGSTOP);
        pause(3);
        fleet.member(0, lost).sendSignal(SIGCONT);
        gaps.push_back(worstGap * 1000);
    }
    pause(1);
    stopping = true;
    for (std::thread& caller : callers)
        caller.join();
    printFigure("failover_write_gap_ms.median", quantile(gaps, 0.5), "ms", "8000");
    printFigure("failover_write_gap_ms.worst", quantile(gaps, 1), "ms", "8000");
    printFigure("unknown_outcome_rate", static_cast<double>(unknown) / writes, "ratio");
    double settled = 0;
    for (std::size_t i = 0; i < 3; ++i)
        settled += fleet.metric(i, "settled_total");
    printFigure("settled_by_key", settled, "requests");
    auto term = [&] { return fleet.query(0, fleet.primary(0), "SELECT * FROM catkinlock.status()")[3]; };
    std::string before = term();
    fleet.setMemberFault(0, fleet.primary(0), "delay_ms", 250);
    pause(8);
    printFigure("false_promotions", term() == before ? 0 : 1, "elections", "0");
}

void measureRates()
{
    constexpr double seconds = 8;
    Fleet::Options shape;
    shape.instances = 14;
    shape.databases = 3;
    shape.slots = 64;
    Fleet fleet(shape);
    if (!fleet.start())
        return;
    constexpr std::size_t workspaces = 8;
    constexpr double rate = 60;
    for (std::size_t i = 0; i < workspaces; ++i) {
        fleet.putTable(fmt::format("workspace/w{}", i), fmt::format(R"({{"rate": {}, "burst": 60}})", rate));
        fleet.putTable("key/" + sha256Hex(fmt::format("key-{}", i)), fmt::format(R"({{"workspace": "w{}"}})", i));
    }
    pause(4);
    std::vector<std::atomic<unsigned>> admitted(workspaces);
    std::vector<std::atomic<unsigned>> refused(workspaces);
    std::vector<std::atomic<unsigned>> sent(workspaces);
    std::vector<std::thread> callers;
    double start = now();
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
        for (std::size_t session = 0; session < 4; ++session) {
            callers.emplace_back([&, workspace, session] {
                CallOptions options { fmt::format("key-{}", workspace) };
                // Workspace 0 sends five times its rate, the others nine tenths. Sessions roam over few instances.
                double interval = 4 / (workspace ? rate * 0.9 : rate * 5);
                std::vector<Caller> connections;
                for (std::size_t i = 0; i < 3; ++i)
                    connections.push_back(fleet.caller((workspace * 3 + session * 2 + i * i) % 14));
                for (unsigned n = 0; now() - start < seconds; ++n) {
                    double due = start + n * interval + static_cast<double>(session) * interval / 4;
                    if (due > now())
                        pause(due - now());
                    auto answer = connections[n / 20 % 3].run("rosters", selectBooking, { "x" }, options);
                    ++sent[workspace];
                    admitted[workspace] += answer.isDone();
                    refused[workspace] += answer.code == "rate_exceeded";
                }
            });
        }
    }
    for (std::thread& caller : callers)
        caller.join();
    double elapsed = now() - start;
    unsigned wrongful = 0;
    unsigned within = 0;
    double worst = 1;
    for (std::size_t i = 1; i < workspaces; ++i) {
        wrongful += refused[i];
        within += sent[i];
        worst = std::min(worst, static_cast<double>(admitted[i]) / sent[i]);
    }
    double over = 0;
    for (std::size_t i = 0; i < workspaces; ++i)
        over = std::max(over, admitted[i] - (rate * elapsed + 60));
    printFigure("wrongful_refusal_rate", static_cast<double>(wrongful) / within, "ratio", "0.001");
    printFigure("worst_workspace_share", worst, "ratio", "0.98");
    printFigure("over_admission.whole_run", std::max(over, 0.0), "requests", "0");
    printFigure("loud_workspace_admitted_share", admitted[0] / (rate * elapsed + 60), "ratio", "1");
}

void measureConfiguration()
{
    Fleet::Options shape;
    shape.instances = 14;
    shape.slots = 64;
    Fleet fleet(shape);
    if (!fleet.start())
        return;
    pause(3);
    auto until = [&](const std::function<bool(Caller&)>& inForce) {
        double start = now();
        for (std::size_t i = 0; i < fleet.instanceCount(); ++i) {
            Caller caller = fleet.caller(i);
            Fleet::waitFor([&] { return inForce(caller); }, 20);
        }
        return (now() - start) * 1000;
    };
    std::vector<double> edits;
    for (int round = 0; round < 5; ++round) {
        std::string route = fmt::format("edit-{}", round);
        fleet.putTable("route/" + route, R"({"pool": "tour-ledger", "read_only": true})");
        edits.push_back(until([&](Caller& caller) {
            return caller.run(route, selectBooking, { "x" }, { fleet.key }).code != "unknown_route";
        }));
    }
    printFigure("config_in_force_ms.worst", quantile(edits, 1), "ms", "9000");
    fleet.putTable("key/" + sha256Hex(fleet.key), R"({"workspace": "tours", "withdrawn": true})");
    double withdrawal = until([&](Caller& caller) {
        return caller.run("rosters", selectBooking, { "x" }, { fleet.key }).code == "key_refused";
    });
    printFigure("key_withdrawal_ms", withdrawal, "ms", "9000");
}

} // namespace catkinlock::bench
