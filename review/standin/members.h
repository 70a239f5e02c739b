// Stand-ins for the members of one database group with a replicated log.
#pragma once

#include "platform.h"
#include <algorithm>
#include <set>

namespace review {

struct LogEntry {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    // Ids of the writes in this commit, or of the commit.
    std::vector<std::string> ids;

    bool operator==(const LogEntry&) const = default;
};

class Group;

// One member. Follows the pages: a commit is acknowledged once one replica has received it; PAUSE stops a replica from
// receiving until RESUME, a promote or its restart; STEPDOWN makes a primary of a lower term a replica.
class Member : public std::enable_shared_from_this<Member> {
public:
    Member(asio::io_context& context, Group& group, std::string id)
        : id(std::move(id))
        , context(context)
        , group(group)
        , acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }
    std::string position() const
    {
        return this->log.empty() ? std::to_string(this->term) + ".1"
                                 : std::to_string(this->log.back().term) + "." + std::to_string(this->log.back().number);
    }
    std::pair<std::uint64_t, std::uint64_t> last() const
    {
        return this->log.empty() ? std::pair<std::uint64_t, std::uint64_t>(this->term, 1)
                                 : std::pair(this->log.back().term, this->log.back().number);
    }
    void run()
    {
        auto self = this->shared_from_this();
        start(this->context, [self] { return self->accept(); });
        start(this->context, [self] { return self->beat(); });
    }
    // Goes down and silent for some time, then starts again with its log.
    void crash(Ms downFor);

    std::string id;
    bool primary = false;
    bool paused = false;
    std::uint64_t term = 3;
    std::uint64_t heldTerm = 3;
    std::vector<LogEntry> log;
    // False while the member is partitioned from the store.
    bool reachesStore = true;
    // True once the member has announced that it leaves.
    bool draining = false;
    // True while the member receives nothing from the primary.
    bool deaf = false;
    // True while the member is down and silent. It comes back with its log.
    bool dark = false;
    // Number of crashes; connections of earlier runs are closed.
    unsigned crashes = 0;
    Ms workTime { 8 };

private:
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        std::string received;
        std::map<std::string, std::string> prepared;
        std::vector<std::string> writes;
        char state = 'I';
        bool readOnly = false;
        // The member's number of crashes when the connection was accepted.
        unsigned crashes = 0;
    };

    static std::string takeWord(std::string& text)
    {
        std::size_t end = std::min(text.find(' '), text.size());
        std::string word = text.substr(0, end);
        text.erase(0, std::min(end + 1, text.size()));
        return word;
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> beat();
    asio::awaitable<void> serve(std::shared_ptr<Connection>);
    asio::awaitable<std::string> execute(std::shared_ptr<Connection>, std::string id, std::string text);
    asio::awaitable<std::string> commit(std::vector<std::string> ids, std::string statement);

    asio::io_context& context;
    Group& group;
    tcp::acceptor acceptor;
    std::int64_t sequence = 0;

    friend class Group;
};

class Group {
public:
    Group(asio::io_context& context, Record& record, std::string service)
        : service(std::move(service))
        , context(context)
        , record(record)
    {
    }

    void add(const std::string& id)
    {
        this->members.push_back(std::make_shared<Member>(this->context, *this, id));
        this->members.back()->primary = this->members.size() == 1;
    }

    void run(std::shared_ptr<Store> given)
    {
        this->store = std::move(given);
        for (const auto& member : this->members)
            member->run();
        start(this->context, [this] { return this->replicate(); });
        start(this->context, [this] { return this->expireEntries(); });
    }

    // True once a replica has the primary's whole log.
    bool sendLog(Member& primary)
    {
        bool received = false;
        if (primary.dark)
            return false;
        for (const auto& member : this->members) {
            bool receives = !member->paused && !member->deaf && !member->dark && member->term <= primary.term;
            if (member.get() == &primary || member->primary || !receives)
                continue;
            member->log = primary.log;
            member->term = primary.term;
            received = true;
        }
        return received;
    }

    unsigned promote(const std::string& id)
    {
        Member* target = this->find(id);
        if (!target || target->dark)
            return 409;
        if (!target->primary)
            start(this->context, [this, target] { return this->lead(*target); });
        return 200;
    }

    Member* find(const std::string& id)
    {
        for (const auto& member : this->members) {
            if (member->id == id)
                return member.get();
        }
        return nullptr;
    }

    // Ids of a commit that a member has acknowledged, by the acknowledged statement.
    std::map<std::string, std::vector<std::string>> acknowledged;
    // Statements acknowledged before a promote took effect, which the promoted member's log lacks.
    std::set<std::string> lost;
    // Statements that a member received, and when.
    std::map<std::string, long> ran;
    std::string service;
    Ms promoteTime { 1000 };
    Ms heartbeat { 1200 };
    std::vector<std::shared_ptr<Member>> members;
    unsigned promotions = 0;

private:
    friend class Member;

    asio::awaitable<void> replicate()
    {
        for (;;) {
            co_await pause(Ms(10));
            for (const auto& member : this->members) {
                if (member->primary)
                    this->sendLog(*member);
            }
        }
    }

    // The store removes an entry after three heartbeat intervals of silence.
    asio::awaitable<void> expireEntries()
    {
        for (;;) {
            co_await pause(Ms(50));
            for (auto it = this->beats.begin(); it != this->beats.end();) {
                if (Clock::now() - it->second < 3 * this->heartbeat) {
                    ++it;
                    continue;
                }
                this->record.write("entry of " + it->first + " expired");
                this->store->erase("servers/" + it->first);
                it = this->beats.erase(it);
            }
        }
    }

    // The promoted member leads the next term with what it had received and nothing more. The replicas that it reaches
    // follow it, and a former primary that it reaches steps down a second later.
    asio::awaitable<void> lead(Member& target)
    {
        co_await pause(this->promoteTime);
        std::uint64_t next = 0;
        for (const auto& member : this->members)
            next = std::max(next, member->term + 1);
        target.primary = true;
        target.paused = false;
        target.term = next;
        target.heldTerm = std::max(target.heldTerm, next);
        ++this->promotions;
        this->record.write(target.id + " leads term " + std::to_string(next) + " from " + target.position());
        std::set<std::string> held;
        for (const LogEntry& entry : target.log)
            held.insert(entry.ids.begin(), entry.ids.end());
        for (const auto& [statement, ids] : this->acknowledged) {
            bool complete = std::all_of(ids.begin(), ids.end(), [&held](const auto& id) { return held.count(id); });
            if (!complete && this->lost.insert(statement).second)
                this->record.write("LOST acknowledged " + statement + " is not in the log of " + target.id);
        }
        for (const auto& member : this->members) {
            if (member.get() == &target || member->primary || member->dark)
                continue;
            member->paused = false;
            member->term = next;
            member->log = target.log;
        }
        co_await pause(Ms(1000));
        for (const auto& member : this->members) {
            if (member.get() == &target || !member->primary || member->dark || member->term >= next)
                continue;
            member->primary = false;
            member->term = next;
            member->log = target.log;
            this->record.write(member->id + " steps down");
        }
    }

    asio::io_context& context;
    Record& record;
    std::shared_ptr<Store> store;
    std::map<std::string, Clock::time_point> beats;
};

inline void Member::crash(Ms downFor)
{
    this->dark = true;
    ++this->crashes;
    this->group.record.write(this->id + " goes dark with " + this->position());
    start(this->context, [self = this->shared_from_this(), downFor]() -> asio::awaitable<void> {
        co_await pause(downFor);
        ++self->crashes;
        self->dark = false;
        self->paused = false;
        self->group.record.write(self->id + " is back with " + self->position());
        for (const auto& member : self->group.members) {
            if (member.get() == self.get() || !member->primary || member->term <= self->term)
                continue;
            self->primary = false;
            self->term = member->term;
        }
    });
}

inline asio::awaitable<void> Member::beat()
{
    auto self = this->shared_from_this();
    bool reported = !this->primary;
    bool reportedDraining = false;
    auto next = Clock::now();
    for (;;) {
        bool due = Clock::now() >= next || reported != this->primary || reportedDraining != this->draining;
        if (due && this->reachesStore && !this->dark) {
            json::object entry { { "service", this->group.service }, { "address", this->address() }, { "zone", "z1" },
                { "configVersion", "v1" }, { "slots", 30 }, { "state", this->draining ? "draining" : "ready" },
                { "coldLeftMs", 0 },
                { "dbRole", this->primary ? "primary" : "replica" }, { "seqNo", ++this->sequence },
                { "born", 1764950000000 } };
            this->group.store->put("servers/" + this->id, json::serialize(entry));
            this->group.beats[this->id] = Clock::now();
            reported = this->primary;
            reportedDraining = this->draining;
        }
        if (Clock::now() >= next)
            next = Clock::now() + this->group.heartbeat;
        co_await pause(Ms(20));
    }
}

inline asio::awaitable<void> Member::accept()
{
    auto self = this->shared_from_this();
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(asTuple());
        if (error)
            co_return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->socket.set_option(tcp::no_delay(true));
        connection->crashes = this->crashes;
        start(this->context, [self, connection] { return self->serve(connection); });
    }
}

inline asio::awaitable<void> Member::serve(std::shared_ptr<Connection> connection)
{
    auto self = this->shared_from_this();
    std::string chunk(8192, '\0');
    for (;;) {
        // Silent while down; afterwards the connections of the run before are closed.
        while (this->dark)
            co_await pause(Ms(20));
        if (connection->crashes != this->crashes)
            co_return;
        std::size_t end = connection->received.find("\r\n");
        if (end == std::string::npos) {
            auto [error, size] = co_await connection->socket.async_read_some(asio::buffer(chunk), asTuple());
            if (error)
                co_return;
            connection->received.append(chunk, 0, size);
            continue;
        }
        std::string line = connection->received.substr(0, end);
        connection->received.erase(0, end + 2);
        std::string word = takeWord(line);
        std::string out;
        if (word == "BYE")
            co_return;
        if (word == "CONNECT") {
            std::string service = takeWord(line);
            takeWord(line);
            if (service != this->group.service || (!line.empty() && line != this->id))
                out = "ERR MISROUTED " + this->id + "\r\n";
            else
                out = "READY I " + this->position() + "\r\n";
        } else {
            std::string statement = takeWord(line);
            out = co_await this->execute(connection, statement, line);
            out += std::string("READY ") + connection->state + " " + this->position() + "\r\n";
        }
        while (this->dark)
            co_await pause(Ms(20));
        if (connection->crashes != this->crashes)
            co_return;
        auto [error, size] = co_await asio::async_write(connection->socket, asio::buffer(out), asTuple());
        if (error)
            co_return;
    }
}

// Appends the commit to the log and waits until a replica has received it.
inline asio::awaitable<std::string> Member::commit(std::vector<std::string> ids, std::string statement)
{
    auto end = Clock::now() + Ms(5000);
    std::uint64_t ownTerm = this->term;
    std::uint64_t number = this->last().first == ownTerm ? this->last().second + 1 : 1;
    LogEntry entry { ownTerm, number, ids };
    this->log.push_back(entry);
    unsigned run = this->crashes;
    while (Clock::now() < end && this->primary && this->term == ownTerm && this->crashes == run) {
        if (this->group.sendLog(*this)) {
            this->group.acknowledged[statement] = ids;
            this->group.record.write(
                this->id + " commits " + statement + " at " + std::to_string(ownTerm) + "." + std::to_string(number));
            co_return "DONE sig." + statement + "\r\n";
        }
        co_await pause(Ms(5));
    }
    co_return "ERR TIMEOUT no replica has received the commit\r\n";
}

inline asio::awaitable<std::string> Member::execute(
    std::shared_ptr<Connection> connection, std::string statement, std::string text)
{
    std::string rest = text;
    std::string word = takeWord(rest);
    std::string after;
    if (word == "AFTER") {
        after = takeWord(rest);
        word = takeWord(rest);
    }
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        std::uint64_t given = rest.empty() ? 0 : std::stoull(rest);
        if (word == "PAUSE" && !this->primary && given > this->term)
            this->paused = true;
        if (word == "STEPDOWN" && this->primary && given > this->term)
            this->primary = false;
        if (word == "RESUME")
            this->paused = false;
        if (word == "PAUSE" || word == "STEPDOWN")
            this->heldTerm = std::max(this->heldTerm, given);
        if (word != "STATUS")
            this->group.record.write(this->id + " " + text);
        std::string row = std::string("ROW ") + (this->primary ? "primary" : "replica") + " "
            + std::to_string(this->term) + " " + this->position() + " " + std::to_string(this->heldTerm) + " 0 0 1\r\n";
        co_return row + "DONE -\r\n";
    }
    if (!after.empty()) {
        std::size_t dot = after.find('.');
        if (std::pair<std::uint64_t, std::uint64_t>(std::stoull(after.substr(0, dot)), std::stoull(after.substr(dot + 1)))
            > this->last())
            co_return "ERR LAGGING " + this->position() + "\r\n";
    }
    if (statement != "-")
        this->group.ran[statement] = this->group.record.now();
    if (connection->state == 'E' && word != "ROLLBACK" && word != "COMMIT")
        co_return "ERR MALFORMED the transaction failed\r\n";
    if (word == "EXECUTE") {
        std::string name = takeWord(rest);
        if (!connection->prepared.count(name))
            co_return "ERR NOSTMT " + name + "\r\n";
        word = connection->prepared[name];
    }
    bool needsLead = word == "WRITE" || (word == "BEGIN" && rest.empty())
        || (connection->state == 'T' && !connection->readOnly && !(word == "COMMIT" && connection->writes.empty())
            && word != "ROLLBACK");
    if (needsLead && !this->primary) {
        if (connection->state == 'T')
            connection->state = 'E';
        co_return "ERR READONLY " + this->id + "\r\n";
    }
    if (word == "READ" || word == "WRITE" || word == "COMMIT")
        co_await pause(this->workTime);
    if (word == "PREPARE") {
        std::string name = takeWord(rest);
        connection->prepared[name] = takeWord(rest);
    } else if (word == "RESET") {
        connection->prepared.clear();
    } else if (word == "BEGIN") {
        connection->state = 'T';
        connection->readOnly = !rest.empty();
    } else if (word == "ROLLBACK") {
        connection->state = 'I';
        connection->writes.clear();
    } else if (word == "READ") {
        co_return "ROW v\r\nDONE sig." + statement + "\r\n";
    } else if (word == "WRITE" && connection->state == 'T') {
        connection->writes.push_back(statement);
        co_return "DONE sig." + statement + "\r\n";
    } else if (word == "WRITE") {
        std::vector<std::string> single(1, statement);
        std::string outcome = co_await this->commit(single, statement);
        co_return outcome;
    } else if (word == "COMMIT") {
        bool failed = connection->state == 'E';
        connection->state = 'I';
        auto writes = std::exchange(connection->writes, {});
        if (failed)
            co_return "ERR ABORTED rolled back\r\n";
        if (writes.empty())
            co_return "DONE sig." + statement + "\r\n";
        std::string outcome = co_await this->commit(writes, statement);
        co_return outcome;
    }
    co_return "DONE -\r\n";
}

} // namespace review
