// A stand-in for the members of one service: databases with replication, which speak the line protocol.

#pragma once

#include "ports.h"
#include "record.h"
#include "store.h"
#include <algorithm>
#include <atomic>
#include <memory>
#include <sstream>

namespace review {

// An entry of a member's log.
struct Commit {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    // Id of the statement that wrote it.
    std::string id;
    std::string item;
    std::string data;

    bool operator==(const Commit&) const = default;
};

class Group {
public:
    static constexpr int heartbeatMs = 1200;
    // Between an order to promote and the member's lead.
    static constexpr int promoteMs = 600;
    // Time for which a member that starts again accepts no connections.
    static constexpr int restartMs = 300;

    struct Member {
        std::string id;
        std::string zone;
        int port = 0;
        std::int64_t born = 0;
        bool primary = false;
        bool paused = false;
        bool deaf = false;
        bool dark = false;
        bool cutFromStore = false;
        bool draining = false;
        std::uint64_t term = 1;
        std::uint64_t held = 0;
        std::vector<Commit> log;
        // Connections of earlier runs are closed.
        int run = 0;
        bool up = true;
        std::set<int> connections;
        std::string storedEntry;
        TimePoint lastBeat;
        TimePoint reachableSince;
    };
    using MemberPtr = std::shared_ptr<Member>;

    Group(Store& store, Record& record, std::string service, const std::vector<std::string>& zones)
        : store(store)
        , record(record)
        , service(std::move(service))
    {
        for (std::size_t i = 0; i < zones.size(); ++i) {
            auto member = std::make_shared<Member>();
            member->id = "i-" + this->service + std::to_string(i + 1);
            member->zone = zones[i];
            member->primary = i == 0;
            member->born = unixMs();
            member->log.push_back({ 1, 1, "base", "", "" });
            member->lastBeat = member->reachableSince = Clock::now();
            member->port = freePorts(1).front();
            int listener = listenOnLoopback(member->port);
            this->members.push_back(member);
            std::thread([this, member, listener] { this->accept(member, listener, 0); }).detach();
        }
        std::thread([this] { this->replicate(); }).detach();
        std::thread([this] { this->beat(); }).detach();
    }

    // The running member that leads the newest term; null if there is none.
    MemberPtr primary()
    {
        std::lock_guard lock(this->mutex);
        return this->leader();
    }
    std::vector<MemberPtr> replicas()
    {
        std::lock_guard lock(this->mutex);
        std::vector<MemberPtr> found;
        for (const MemberPtr& member : this->members) {
            if (!member->primary && member->up && !member->dark)
                found.push_back(member);
        }
        return found;
    }
    std::size_t logSize(const MemberPtr& member)
    {
        std::lock_guard lock(this->mutex);
        return member->log.size();
    }

    void setDraining(const MemberPtr& member)
    {
        std::lock_guard lock(this->mutex);
        member->draining = true;
        this->record.write("member " + member->id + " announces that it leaves");
    }
    // A member that has announced that it leaves ends. A new one starts at its address with its log.
    void leave(const MemberPtr& member)
    {
        std::string oldId = member->id;
        this->stop(member);
        {
            std::lock_guard lock(this->mutex);
            member->id += "n";
            member->primary = member->draining = member->paused = false;
            member->storedEntry.clear();
        }
        this->store.erase("servers/" + oldId);
        this->record.write("member " + oldId + " has left; " + member->id + " starts at its address with its log");
        this->startAgain(member);
    }
    // The process of a member ends and starts again under its id. It then holds and knows nothing of before.
    void restartEmpty(const MemberPtr& member)
    {
        this->stop(member);
        {
            std::lock_guard lock(this->mutex);
            member->log.clear();
            member->term = member->held = 0;
            member->primary = member->paused = member->deaf = false;
        }
        this->record.write("member " + member->id + " has ended");
        this->startAgain(member);
        this->record.write("member " + member->id + " has started again under its id, as a replica without a log");
    }
    void setDeaf(const MemberPtr& member, bool deaf)
    {
        std::lock_guard lock(this->mutex);
        member->deaf = deaf;
        this->record.write("member " + member->id + (deaf ? " receives nothing from now on" : " receives again"));
    }
    void setCutFromStore(const MemberPtr& member, bool cut)
    {
        std::lock_guard lock(this->mutex);
        member->cutFromStore = cut;
        this->record.write("member " + member->id + (cut ? " is cut off from the store" : " reaches the store again"));
    }
    // A machine goes silent, and later comes back with its log.
    void setDark(const MemberPtr& member, bool dark)
    {
        std::lock_guard lock(this->mutex);
        member->dark = dark;
        member->reachableSince = Clock::now();
        if (!dark) {
            ++member->run;
            for (int fd : member->connections)
                shutdown(fd, SHUT_RDWR);
            // A primary that crashed comes back as a replica if another member was promoted.
            for (const MemberPtr& other : this->members)
                member->primary = member->primary && !(other->primary && other->term > member->term);
        }
        this->record.write("member " + member->id + (dark ? " goes dark" : " is back with its log"));
    }

    // Carries out an order to promote a member. False if it is not running.
    bool promote(const std::string& id)
    {
        std::lock_guard lock(this->mutex);
        for (const MemberPtr& member : this->members) {
            if (member->id != id || !member->up || member->dark)
                continue;
            if (member->primary && this->leader() == member)
                return true;
            std::thread([this, member] { this->lead(member); }).detach();
            return true;
        }
        return false;
    }

    // Commits that a client has been told of, and that the log of a member that was promoted later lacked.
    std::size_t lostCommits()
    {
        std::lock_guard lock(this->mutex);
        return this->lost;
    }
    std::size_t staleReads()
    {
        std::lock_guard lock(this->mutex);
        return this->stale;
    }
    // The last time at which a stale read ran.
    TimePoint lastStaleRead()
    {
        std::lock_guard lock(this->mutex);
        return this->lastStaleAt;
    }

    // A client sends the first byte of a read, or of its transaction. It needs all that was acknowledged so far, or
    // `maxAgeMs` before, and the last commit of the same session.
    void recordRead(const std::string& id, int maxAgeMs, const std::string& ownCommit)
    {
        std::lock_guard lock(this->mutex);
        this->reads[id] = { Clock::now() - std::chrono::milliseconds(maxAgeMs), ownCommit };
    }
    // A client has been told that its write was committed.
    void recordAcknowledged(const std::string& id)
    {
        std::lock_guard lock(this->mutex);
        this->acknowledged.push_back({ id, Clock::now(), false });
    }

private:
    struct Read {
        TimePoint needsUntil;
        std::string ownCommit;
    };
    struct Acknowledged {
        std::string id;
        TimePoint at;
        bool rolledBack = false;
    };

    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    static bool holds(const Member& member, const std::string& id)
    {
        return std::any_of(
            member.log.rbegin(), member.log.rend(), [&id](const Commit& commit) { return commit.id == id; });
    }
    static std::string position(const Member& member)
    {
        if (member.log.empty())
            return "-";
        return std::to_string(member.log.back().term) + "." + std::to_string(member.log.back().number);
    }

    MemberPtr leader()
    {
        MemberPtr found;
        for (const MemberPtr& member : this->members) {
            if (member->primary && member->up && !member->dark && (!found || member->term > found->term))
                found = member;
        }
        return found;
    }

    void stop(const MemberPtr& member)
    {
        std::lock_guard lock(this->mutex);
        ++member->run;
        member->up = false;
        for (int fd : member->connections)
            shutdown(fd, SHUT_RDWR);
    }
    void startAgain(const MemberPtr& member)
    {
        sleepMs(restartMs);
        int listener = listenOnLoopback(member->port);
        std::lock_guard lock(this->mutex);
        member->up = true;
        member->born = unixMs();
        member->reachableSince = Clock::now();
        std::thread([this, member, listener, run = member->run] { this->accept(member, listener, run); }).detach();
    }

    void lead(const MemberPtr& member)
    {
        sleepMs(promoteMs);
        std::lock_guard lock(this->mutex);
        if (!member->up || member->dark)
            return;
        std::uint64_t highest = 0;
        for (const MemberPtr& other : this->members) {
            highest = std::max(highest, other->term);
            other->paused = false;
        }
        member->term = highest + 1;
        member->primary = true;
        this->record.write("member " + member->id + " leads term " + std::to_string(member->term) + " from position "
            + position(*member));
        for (Acknowledged& commit : this->acknowledged) {
            if (commit.rolledBack || holds(*member, commit.id))
                continue;
            commit.rolledBack = true;
            ++this->lost;
            this->record.write("LOST: write " + commit.id + " was acknowledged, and the log of " + member->id
                + ", which is promoted, lacks it");
        }
    }

    // Sends the log of the primary to the replicas that receive.
    void replicate()
    {
        for (;;) {
            sleepMs(3);
            std::lock_guard lock(this->mutex);
            MemberPtr primary = this->leader();
            if (!primary)
                continue;
            for (const MemberPtr& member : this->members) {
                if (member == primary || !member->up || member->dark)
                    continue;
                bool deposed = member->primary && Clock::now() - member->reachableSince > std::chrono::seconds(1);
                member->primary = member->primary && !deposed;
                if (member->primary || member->paused || member->deaf)
                    continue;
                if (member->log != primary->log)
                    member->log = primary->log;
                member->term = primary->term;
            }
        }
    }

    std::string entry(const Member& member) const
    {
        return json::serialize(
            json::object { { "service", this->service }, { "address", "127.0.0.1:" + std::to_string(member.port) },
                { "zone", member.zone }, { "configVersion", "v1" }, { "slots", 3 },
                { "state", member.draining ? "draining" : "ready" }, { "coldLeftMs", 0 },
                { "dbRole", member.primary ? "primary" : "replica" }, { "seqNo", 1 }, { "born", member.born } });
    }

    void beat()
    {
        for (;;) {
            sleepMs(20);
            std::lock_guard lock(this->mutex);
            for (const MemberPtr& member : this->members) {
                bool beats = member->up && !member->dark && !member->cutFromStore;
                std::string key = "servers/" + member->id;
                if (beats) {
                    member->lastBeat = Clock::now();
                    std::string next = this->entry(*member);
                    if (next != member->storedEntry)
                        this->store.put(key, next);
                    member->storedEntry = next;
                } else if (Clock::now() - member->lastBeat > std::chrono::milliseconds(3 * heartbeatMs)) {
                    this->store.erase(key);
                    member->storedEntry.clear();
                }
            }
        }
    }

    void accept(const MemberPtr& member, int listener, int run)
    {
        for (;;) {
            pollfd wait { listener, POLLIN, 0 };
            int ready = poll(&wait, 1, 20);
            {
                std::lock_guard lock(this->mutex);
                if (!member->up)
                    break;
                run = member->run;
            }
            if (ready <= 0)
                continue;
            int fd = ::accept(listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            setNoDelay(fd);
            std::lock_guard lock(this->mutex);
            member->connections.insert(fd);
            std::thread([this, member, fd, run] { this->serve(member, fd, run); }).detach();
        }
        ::close(listener);
    }

    struct Session {
        std::string who;
        char state = 'I';
        bool readOnly = false;
        // Writes of the open transaction.
        std::vector<Commit> writes;
        std::map<std::string, std::string> prepared;
        // Id of the first statement of the open transaction.
        std::string firstStatement;
    };

    // Waits while the member is dark. False if its run has ended.
    bool awaitRunning(const MemberPtr& member, int run)
    {
        for (;;) {
            {
                std::lock_guard lock(this->mutex);
                if (member->run != run)
                    return false;
                if (!member->dark)
                    return true;
            }
            sleepMs(5);
        }
    }

    void serve(const MemberPtr& member, int fd, int run)
    {
        LineReader reader(fd);
        Session session;
        bool opened = false;
        for (;;) {
            auto line = reader.line();
            if (!line || !this->awaitRunning(member, run))
                break;
            std::istringstream words(*line);
            std::string word;
            words >> word;
            std::string out;
            bool ends = word == "BYE";
            if (word == "CONNECT") {
                std::string name, id;
                words >> name >> session.who >> id;
                std::lock_guard lock(this->mutex);
                opened = name == this->service && (id.empty() || id == member->id);
                out = opened ? "" : "ERR MISROUTED " + member->id + "\r\n";
                ends = !opened;
            } else if (word == "QUERY" && opened) {
                std::string id;
                words >> id;
                std::string text = line->substr(std::min(line->size(), word.size() + id.size() + 2));
                out = this->run(member, run, session, id, text);
            }
            if (ends && out.empty())
                break;
            if (!this->awaitRunning(member, run))
                break;
            if (!ends) {
                std::lock_guard lock(this->mutex);
                out += std::string("READY ") + session.state + " " + position(*member) + "\r\n";
            }
            if (!sendAll(fd, out) || ends)
                break;
        }
        std::lock_guard lock(this->mutex);
        member->connections.erase(fd);
        ::close(fd);
    }

    std::string sign(const Member& member)
    {
        return "DONE " + member.id + "." + std::to_string(++this->signatures) + "\r\n";
    }

    // Runs a statement and returns the lines before READY.
    std::string run(const MemberPtr& member, int run, Session& session, const std::string& id, std::string text)
    {
        auto takeWord = [&text] {
            std::string word = text.substr(0, text.find(' '));
            text.erase(0, std::min(text.size(), word.size() + 1));
            return word;
        };
        std::string word = takeWord();
        std::unique_lock lock(this->mutex);
        if (word == "AFTER") {
            std::string after = takeWord();
            word = takeWord();
            std::uint64_t term = std::stoull(after);
            std::uint64_t number = std::stoull(after.substr(after.find('.') + 1));
            bool has = !member->log.empty()
                && std::pair(member->log.back().term, member->log.back().number) >= std::pair(term, number);
            if (!has)
                return "ERR LAGGING " + member->id + "\r\n";
        }
        if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN")
            return this->command(*member, word, text.empty() ? 0 : std::stoull(text));
        if (word == "SET" || word == "RESET" || word == "DEALLOC")
            return "DONE -\r\n";
        if (word == "PREPARE") {
            std::string name = takeWord();
            session.prepared[name] = text;
            return "DONE -\r\n";
        }
        if (word == "EXECUTE") {
            std::string name = takeWord();
            if (!session.prepared.count(name))
                return "ERR NOSTMT " + name + "\r\n";
            word = session.prepared[name].substr(0, session.prepared[name].find(' '));
        }
        bool inTransaction = session.state == 'T';
        if (word == "ROLLBACK") {
            session.state = 'I';
            session.writes.clear();
            return "DONE -\r\n";
        }
        bool plain = inTransaction && !session.readOnly;
        bool begins = word == "BEGIN" && text.empty();
        bool needsLead = word == "WRITE" || begins || (plain && (word != "COMMIT" || !session.writes.empty()));
        if (needsLead && !member->primary) {
            session.state = inTransaction ? 'E' : 'I';
            session.writes.clear();
            return "ERR READONLY " + member->id + "\r\n";
        }
        if (word == "BEGIN") {
            session.state = 'T';
            session.readOnly = !text.empty();
            return "DONE -\r\n";
        }
        if (word == "READ")
            return this->read(*member, id, takeWord());
        if (word == "WRITE") {
            std::string item = takeWord();
            session.writes.push_back({ 0, 0, id, item, text });
            if (inTransaction)
                return this->sign(*member);
        }
        if (word == "WRITE" || word == "COMMIT") {
            std::vector<Commit> writes = std::exchange(session.writes, {});
            session.state = 'I';
            if (writes.empty())
                return this->sign(*member);
            return this->commit(member, run, std::move(writes), lock);
        }
        return "ERR MALFORMED " + word + "\r\n";
    }

    std::string command(Member& member, const std::string& word, std::uint64_t term)
    {
        std::uint64_t newest = member.term;
        if (word == "PAUSE" && !member.primary && term > newest) {
            member.paused = true;
            member.held = std::max(member.held, term);
        }
        if (word == "RESUME")
            member.paused = false;
        if (word == "STEPDOWN" && member.primary && term > newest)
            member.primary = false;
        if (word != "STATUS")
            this->record.write("member " + member.id + " gets " + word + " " + std::to_string(term));
        return "ROW " + std::string(member.primary ? "primary" : "replica") + " " + std::to_string(member.term) + " "
            + position(member) + " " + std::to_string(member.held) + " 0 0 " + std::to_string(member.connections.size())
            + "\r\nDONE -\r\n";
    }

    std::string read(const Member& member, const std::string& id, const std::string& item)
    {
        std::string data = "none";
        for (const Commit& commit : member.log) {
            if (commit.item == item)
                data = commit.data;
        }
        std::size_t missing = 0;
        auto known = this->reads.find(id);
        if (known != this->reads.end()) {
            for (const Acknowledged& commit : this->acknowledged) {
                bool needed = commit.at <= known->second.needsUntil || commit.id == known->second.ownCommit;
                missing += needed && !commit.rolledBack && !holds(member, commit.id);
            }
        }
        this->record.write("read " + id + " runs at " + member.id + " on a log to " + position(member)
            + (missing ? " STALE: it lacks " + std::to_string(missing) + " acknowledged commits" : ""));
        if (missing) {
            ++this->stale;
            this->lastStaleAt = Clock::now();
        }
        return "ROW " + data + "\r\n" + this->sign(member);
    }

    // Appends a commit and waits until a replica has received it.
    std::string commit(const MemberPtr& member, int run, std::vector<Commit> writes, std::unique_lock<std::mutex>& lock)
    {
        std::uint64_t term = member->term;
        std::uint64_t number = (member->log.empty() ? 0 : member->log.back().number) + 1;
        for (Commit& commit : writes) {
            commit.term = term;
            commit.number = number;
            member->log.push_back(commit);
        }
        std::string id = writes.back().id;
        auto until = Clock::now() + std::chrono::seconds(4);
        while (Clock::now() < until) {
            lock.unlock();
            sleepMs(2);
            lock.lock();
            if (member->run != run || !member->primary || member->term != term)
                break;
            for (const MemberPtr& other : this->members) {
                if (other == member || !other->up || other->dark || !holds(*other, id))
                    continue;
                this->record.write("write " + id + " commits at " + member->id + " as " + std::to_string(term) + "."
                    + std::to_string(number) + ", received by " + other->id);
                return this->sign(*member);
            }
        }
        return "ERR TIMEOUT no replica has received the commit\r\n";
    }

    Store& store;
    Record& record;
    std::string service;
    std::mutex mutex;
    std::vector<MemberPtr> members;
    std::map<std::string, Read> reads;
    std::vector<Acknowledged> acknowledged;
    std::uint64_t signatures = 0;
    std::size_t lost = 0;
    std::size_t stale = 0;
    TimePoint lastStaleAt;
};

} // namespace review
