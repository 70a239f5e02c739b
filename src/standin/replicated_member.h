#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/position.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock::standin {

class ReplicatedGroup;

/// A stand-in group member with a log of its own, that speaks the line protocol. Its primary appends commits and waits
/// until a replica has received them; a replica that is paused or deaf receives none. Not thread-safe.
class ReplicatedMember : public std::enable_shared_from_this<ReplicatedMember> {
public:
    /// What the member can do at the same time.
    struct Capacity {
        /// Statements and commands that run at once.
        std::size_t slots = 1000;
        /// Statements that wait for one of the slots. Others are refused.
        std::size_t queue = 0;

        auto operator<=>(const Capacity&) const = default;
    };
    /// A commit and the ids of its writes.
    struct Commit {
        Position position;
        std::vector<std::string> writeIds;

        bool operator==(const Commit&) const = default;
    };

    ReplicatedMember(boost::asio::io_context&, ReplicatedGroup&, std::string id);

    /// Accepts connections on a loopback port chosen by the kernel, and writes the member's entry to the store.
    void start();
    const std::string& id() const { return this->memberId; }
    bool isPrimary() const { return this->primary; }
    /// Sets whether the member receives nothing from a primary.
    void setDeaf(bool deaf) { this->deaf = deaf; }
    /// Cuts the connection from another member, so that this one receives nothing from it as the primary.
    void cutFrom(std::string member) { this->cutMember = std::move(member); }
    /// Stops the member for some time, as a machine that does not get the processor: what arrives meanwhile is carried
    /// out afterwards, however late.
    void freeze(std::chrono::milliseconds);
    /// Makes the member silent for some time. Afterwards it is back with its log, and what arrived meanwhile is lost.
    void goDark(std::chrono::milliseconds);
    /// Cuts the member off from the store for some time, but not from instances and members.
    void loseStore(std::chrono::milliseconds);
    /// Restarts the member at once, without its log, under its id.
    void restartEmpty();
    /// Ends the member and starts one of this id, with its log, at its address, as a replica.
    void handOver(std::string id);
    /// Sets whether the member announces that it leaves.
    void setDraining(bool draining) { this->draining = draining; }
    /// Sets the data centre in the member's entry.
    void setDataCentre(std::string name) { this->dataCentre = std::move(name); }
    /// Has the member's entry state that it warms up for this time from now on.
    void setWarmUp(std::chrono::milliseconds time) { this->warmUntil = std::chrono::steady_clock::now() + time; }
    /// When the member last received a read, a write, or the begin or commit of a transaction; the clock's epoch if it
    /// never did.
    std::chrono::steady_clock::time_point workReceivedAt() const { return this->lastWorkAt; }
    /// Number of such statements received.
    std::size_t workReceived() const { return this->workCount; }
    /// Time that each read, write and commit takes.
    void setWorkTime(std::chrono::milliseconds time) { this->workTime = time; }
    /// Time that each command of an instance takes, among them STATUS and PAUSE.
    void setCommandTime(std::chrono::milliseconds time) { this->commandTime = time; }
    void setCapacity(const Capacity& capacity) { this->capacity = capacity; }
    Position position() const { return this->log.empty() ? Position { 1, 1 } : this->log.back().position; }

private:
    friend class ReplicatedGroup;
    struct Connection;
    using TimePoint = std::chrono::steady_clock::time_point;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> sendHeartbeats();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>);
    boost::asio::awaitable<void> awaitRunning();
    boost::asio::awaitable<bool> takeSlot();
    boost::asio::awaitable<std::string> execute(std::shared_ptr<Connection>, SessionStatement);
    boost::asio::awaitable<std::string> executeInSlot(std::shared_ptr<Connection>, SessionStatement);
    boost::asio::awaitable<std::string> commit(std::vector<std::string> writeIds, unsigned ownRun);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    std::string runCommand(const std::string& word, std::uint64_t term);
    bool isSilent() const { return std::chrono::steady_clock::now() < std::max(this->frozenUntil, this->darkUntil); }
    bool receives() const { return !this->primary && !this->paused && !this->deaf && !this->isSilent(); }
    bool isCutFrom(const ReplicatedMember& member) const { return this->cutMember == member.memberId; }
    void follow(const ReplicatedMember& primary);
    std::string entry() const;
    std::int64_t remainingWarmUpMs() const;

    boost::asio::io_context& context;
    ReplicatedGroup& group;
    std::string memberId;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<Commit> log;
    std::uint64_t term = 1;
    // Term of the last PAUSE; 0 if there was none.
    std::uint64_t fencedTerm = 0;
    bool primary = false;
    bool paused = false;
    bool deaf = false;
    // Id of the member that it receives nothing from; empty if there is none.
    std::string cutMember;
    bool draining = false;
    std::string dataCentre = "a";
    TimePoint lastWorkAt;
    std::size_t workCount = 0;
    TimePoint warmUntil;
    TimePoint frozenUntil;
    TimePoint darkUntil;
    TimePoint storeLostUntil;
    // Connections of earlier runs are closed.
    unsigned run = 0;
    std::int64_t startedAt = 0;
    std::chrono::milliseconds workTime { 5 };
    std::chrono::milliseconds commandTime { 0 };
    Capacity capacity;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::vector<std::weak_ptr<Connection>> connections;
};

} // namespace catkinlock::standin
