// Plays one case of the review: a small deployment of the program on loopback, with stand-ins for the store, the
// members and the clients. Arguments: CASE PROGRAM FOLDER RECORD. The environment variable TROUBLE, if 0, leaves the
// disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#include "fleet.h"
#include "group.h"

using namespace review;

namespace {

constexpr const char* service = "tour";
constexpr const char* key = "u6wsjnbanfqasnmgkcuy";
const std::vector<std::string> zones { "hakata", "tenjin", "nakasu" };

class Deployment {
public:
    Deployment(const std::string& program, const std::string& folder, const std::string& recordPath)
        : record(recordPath)
        , group(store, record, service, zones)
        , promotions([this](const HttpRequest& request) { return this->promote(request); })
    {
        this->store.put("op/config", this->configuration());
        for (const std::string& zone : zones)
            this->instances.push_back(std::make_unique<Instance>(Instance::Options {
                program, folder, "edge-" + zone + "-1", zone, this->store.address(), this->promotions.address() }));
    }

    // Starts the instances and waits until all are ready. Ends the process with 2 if they don't get ready.
    void start()
    {
        for (auto& instance : this->instances)
            instance->start();
        auto until = Clock::now() + std::chrono::seconds(25);
        for (auto& instance : this->instances) {
            while (!instance->isReady()) {
                // Another process may have taken one of its ports meanwhile.
                if (instance->hasEnded()) {
                    instance->writeSettings();
                    instance->start();
                }
                if (Clock::now() > until)
                    this->giveUp("the instances are not ready");
                sleepMs(100);
            }
        }
        this->record.say("all instances are ready");
    }
    [[noreturn]] void giveUp(const std::string& why)
    {
        this->record.say("the case can't run: " + why);
        this->instances.clear();
        std::_Exit(2);
    }
    // Ends the process with the result of the case.
    [[noreturn]] void end(bool broken)
    {
        this->record.say(broken ? "the rule was broken" : "the rule held");
        this->instances.clear();
        std::_Exit(broken ? 1 : 0);
    }

    // Runs a write in a session of its own. True if it was committed, as the client is told.
    bool write(std::size_t instance, const std::string& database, const std::string& id, const std::string& item)
    {
        Client client;
        if (!client.open(this->instances[instance]->port(), database, key)) {
            this->record.write("client: write " + id + " could not open a session");
            return false;
        }
        Reply reply = client.query(id, "WRITE " + item + " data-" + id);
        bool done = reply.error.empty() && !reply.signature.empty();
        if (done)
            this->group.recordAcknowledged(id);
        this->record.write(
            "client: write " + id + " at " + this->instances[instance]->name() + ": " + (done ? "DONE" : reply.error));
        return done;
    }
    // Runs a read in a session of its own. True if it was answered with a success.
    bool read(
        std::size_t instance, const std::string& database, int maxAgeMs, const std::string& id, const std::string& item)
    {
        Client client;
        if (!client.open(this->instances[instance]->port(), database, key))
            return false;
        this->group.recordRead(id, maxAgeMs, "");
        Reply reply = client.query(id, "READ " + item);
        bool done = reply.error.empty() && !reply.signature.empty();
        this->record.write("client: read " + id + " on " + database + " at " + this->instances[instance]->name() + ": "
            + (done ? "DONE " + (reply.rows.empty() ? "" : reply.rows[0]) : reply.error));
        return done;
    }

    // The members of the service change their primary as planned work: it announces that it leaves, another member is
    // promoted, and the one that left is replaced by a member with its log.
    void replacePrimary()
    {
        auto leaving = this->group.primary();
        this->group.setDraining(leaving);
        auto until = Clock::now() + std::chrono::seconds(15);
        while (this->group.primary() == leaving || !this->isServed()) {
            if (Clock::now() > until)
                this->giveUp("the planned change of the primary did not happen");
            sleepMs(50);
        }
        sleepMs(1500);
        this->group.leave(leaving);
        this->record.say("the primary was replaced as planned by " + this->group.primary()->id);
    }
    bool isServed() { return this->store.value("catkinlock/group/tour").find("erving") != std::string::npos; }

    Record record;
    Store store;
    Group group;
    HttpServer promotions;
    std::vector<std::unique_ptr<Instance>> instances;

private:
    HttpResponse promote(const HttpRequest& request)
    {
        json::value body = json::parse(request.body);
        std::string id = json::value_to<std::string>(body.at("id"));
        sleepMs(4);
        bool accepted = this->group.promote(id);
        this->record.write("promotion of " + id + " by " + request.headers.at("duty-holder") + ", token "
            + request.headers.at("fencing-token") + (accepted ? ": accepted" : ": conflict"));
        return { accepted ? 200 : 409, "{}" };
    }

    std::string configuration() const
    {
        auto route = [](const char* database, const char* kind, int staleness) {
            json::object item { { "name", std::string("r-") + database }, { "database", database }, { "prefix", "/" },
                { "routeKind", kind }, { "timeoutMs", 1000 }, { "targetLatencyMs", 400 }, { "priority", 1 },
                { "service", service }, { "maxAttempts", 2 }, { "public", false } };
            if (staleness)
                item["maxStalenessMs"] = staleness;
            return item;
        };
        json::object config { { "configVersion", 7 },
            { "routes",
                json::array { route("booking", "primary", 0), route("roster", "bounded_staleness", 1500),
                    route("concierge", "read_your_writes", 2500) } },
            { "services",
                json::array { json::object { { "name", service }, { "healthPath", "/health" }, { "maxConns", 46 },
                    { "protocol", "h1" }, { "tls", false }, { "syncReplicas", 1 } } } },
            { "limits", json::object { { "txIdleMs", 3000 } } },
            { "tenants",
                json::array { json::object { { "name", "nypu920" }, { "apiKeys", json::array { key } },
                    { "priority", 1 }, { "ratePerS", 500 }, { "burst", 500 } } } } };
        return json::serialize(config);
    }
};

// Clients that write and read all the time, each statement in a session of its own.
class Traffic {
public:
    // Writes are sent to the first `writers` instances.
    Traffic(Deployment& deployment, std::size_t writers)
        : deployment(deployment)
        , writers(writers)
    {
    }
    void start()
    {
        this->threads.emplace_back([this] { this->writeAll(); });
        for (std::size_t i = 0; i < this->deployment.instances.size(); ++i) {
            this->threads.emplace_back([this, i] { this->readAll("booking", 0, i); });
            this->threads.emplace_back([this, i] { this->readAll("roster", 1500, i); });
        }
    }
    void stop()
    {
        this->stopped = true;
        for (std::thread& thread : this->threads)
            thread.join();
    }
    std::atomic<std::size_t> writesDone { 0 };
    std::atomic<std::size_t> writesFailed { 0 };

private:
    void writeAll()
    {
        for (std::size_t i = 0; !this->stopped; ++i) {
            sleepMs(40);
            bool done = this->deployment.write(
                i % this->writers, "booking", "w" + std::to_string(i), "seat" + std::to_string(i % 20));
            ++(done ? this->writesDone : this->writesFailed);
        }
    }
    // Reads at one instance.
    void readAll(const std::string& database, int maxAgeMs, std::size_t instance)
    {
        for (std::size_t i = 0; !this->stopped; ++i) {
            sleepMs(100);
            this->deployment.read(instance, database, maxAgeMs,
                database.substr(0, 1) + std::to_string(instance) + "-" + std::to_string(i),
                "seat" + std::to_string(i % 20));
        }
    }

    Deployment& deployment;
    std::size_t writers;
    std::atomic<bool> stopped { false };
    std::vector<std::thread> threads;
};

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}

// The primary starts again under its id and knows nothing of before.
void playPrimaryRestart(Deployment& deployment, bool trouble)
{
    deployment.start();
    Traffic traffic(deployment, zones.size());
    traffic.start();
    sleepMs(3000);
    deployment.replacePrimary();
    sleepMs(6000);
    std::size_t before = traffic.writesDone;
    deployment.record.say(std::to_string(before)
        + " writes committed so far; stale reads: " + std::to_string(deployment.group.staleReads()));
    TimePoint restartedAt = Clock::now();
    if (trouble)
        deployment.group.restartEmpty(deployment.group.primary());
    sleepMs(30000);
    traffic.stop();
    deployment.record.say("writes committed after the restart: " + std::to_string(traffic.writesDone - before)
        + ", failed: " + std::to_string(traffic.writesFailed));
    std::size_t stale = deployment.group.staleReads();
    deployment.record.say("stale reads: " + std::to_string(stale));
    if (stale)
        deployment.record.say("the last of them ran "
            + number(std::chrono::duration<double>(deployment.group.lastStaleRead() - restartedAt).count())
            + " s after the restart");
    deployment.end(stale != 0);
}

// A primary that is cut off from the store starts again under its id. No primary of the group was replaced before.
void playUnseenRestart(Deployment& deployment, bool trouble)
{
    deployment.start();
    Traffic traffic(deployment, zones.size());
    traffic.start();
    sleepMs(14000);
    auto primary = deployment.group.primary();
    deployment.record.say(std::to_string(traffic.writesDone)
        + " writes committed so far; stale reads: " + std::to_string(deployment.group.staleReads()));
    TimePoint cutAt = Clock::now();
    if (trouble) {
        deployment.group.setCutFromStore(primary, true);
        sleepMs(500);
        deployment.group.restartEmpty(primary);
    }
    std::this_thread::sleep_until(cutAt + std::chrono::seconds(5));
    if (trouble)
        deployment.group.setCutFromStore(primary, false);
    sleepMs(10000);
    traffic.stop();
    deployment.record.say("writes committed: " + std::to_string(traffic.writesDone)
        + ", failed: " + std::to_string(traffic.writesFailed));
    std::size_t stale = deployment.group.staleReads();
    deployment.record.say("stale reads: " + std::to_string(stale));
    if (stale)
        deployment.record.say("the last of them ran "
            + number(std::chrono::duration<double>(deployment.group.lastStaleRead() - cutAt).count())
            + " s after the cut");
    deployment.end(stale != 0);
}

// A replica receives nothing for a while, and the primary crashes meanwhile, while the other replica, which is cut off
// from the store, starts again under its id.
void playReplicaRestart(Deployment& deployment, bool trouble)
{
    deployment.start();
    Traffic traffic(deployment, 1);
    traffic.start();
    sleepMs(14000);
    auto primary = deployment.group.primary();
    auto replicas = deployment.group.replicas();
    deployment.group.setDeaf(replicas[0], true);
    sleepMs(2500);
    if (trouble)
        deployment.group.setCutFromStore(replicas[1], true);
    sleepMs(500);
    deployment.group.setDark(primary, true);
    if (trouble)
        deployment.group.restartEmpty(replicas[1]);
    else
        sleepMs(Group::restartMs);
    sleepMs(3200);
    deployment.group.setDeaf(replicas[0], false);
    sleepMs(1000);
    if (trouble)
        deployment.group.setCutFromStore(replicas[1], false);
    sleepMs(2500);
    deployment.group.setDark(primary, false);
    sleepMs(8000);
    traffic.stop();
    deployment.record.say("writes committed: " + std::to_string(traffic.writesDone)
        + ", failed: " + std::to_string(traffic.writesFailed));
    std::size_t lost = deployment.group.lostCommits();
    deployment.record.say("acknowledged commits that a promoted member lacked: " + std::to_string(lost));
    deployment.end(lost != 0);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    std::string name = argv[1];
    const char* given = std::getenv("TROUBLE");
    bool trouble = !given || std::string(given) != "0";
    Deployment deployment(argv[2], argv[3], argv[4]);
    if (name == "primary-restart")
        playPrimaryRestart(deployment, trouble);
    if (name == "unseen-restart")
        playUnseenRestart(deployment, trouble);
    if (name == "replica-restart")
        playReplicaRestart(deployment, trouble);
    return 2;
}
