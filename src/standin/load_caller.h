#pragma once

#include "standin/request_record.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace catkinlock::standin {

class Balancer;

/// What the callers of one route do.
struct CallerHabit {
    std::string database;
    /// Each operation has a session of its own, which begins with a value and a prepared statement.
    bool opensEachTime = false;
    /// Shares of the operations, from 0 to 1.
    double writes = 0;
    double transactions = 0;
    /// Mean pause between two operations.
    std::chrono::milliseconds pause { 500 };
    /// Longest wait for one reply.
    std::chrono::milliseconds patience { 1000 };
};

/// What callers have seen, over all of them.
struct CallerLog {
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
    std::vector<RequestRecord> requests;
    /// Ids of the writes of which a caller was told that they are committed.
    std::set<std::string> told;
    /// Ids of the writes of transactions whose commit was refused as rolled back.
    std::set<std::string> rolledBack;
    std::size_t refusedConnections = 0;
    std::size_t operations = 0;
    std::size_t served = 0;
};

/// A caller that runs one operation after the other until `end`, each on a connection to the instance that the balancer
/// chooses. It sends each statement right after the reply to the one before, and closes a session on which it is sent
/// anything unasked, as the protocol's callers do. Not thread-safe.
class LoadCaller : public std::enable_shared_from_this<LoadCaller> {
public:
    LoadCaller(
        boost::asio::io_context&, std::shared_ptr<Balancer>, std::shared_ptr<CallerLog>, CallerHabit, unsigned seed);
    ~LoadCaller();

    void start();
    /// The caller starts no further operation.
    void end() { this->ended = true; }
    bool hasEnded() const { return this->finished; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> runOperation();
    boost::asio::awaitable<bool> prepareSession();
    boost::asio::awaitable<bool> runStatements();
    boost::asio::awaitable<bool> openSession();
    boost::asio::awaitable<bool> runTransaction(bool writes);
    boost::asio::awaitable<bool> runStatement(std::string text);
    boost::asio::awaitable<bool> exchange(RequestRecord request, std::string message);
    boost::asio::awaitable<bool> readReply(RequestRecord& request);
    boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds);
    void closeSession();
    bool draw(double share) { return static_cast<double>(this->random() % 10000) < share * 10000; }
    std::chrono::milliseconds now() const;

    boost::asio::io_context& context;
    std::shared_ptr<Balancer> balancer;
    std::shared_ptr<CallerLog> log;
    CallerHabit habit;
    std::minstd_rand random;
    boost::asio::ip::tcp::socket socket;
    std::string received;
    std::string previousText;
    std::string lastId;
    std::size_t instance = 0;
    bool ended = false;
    bool finished = false;
};

} // namespace catkinlock::standin
