#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// A stand-in for the key-value store of the line protocol's platform, and for its call that promotes a member. Leases
/// end with their time.
class KvService : public std::enable_shared_from_this<KvService> {
public:
    /// `promote` carries out a promotion of the member with this id.
    KvService(boost::asio::io_context&, std::function<void(const std::string& id)> promote);

    /// Listens on a port that the kernel chooses and returns "ip:port".
    std::string start();
    /// Writes a key as the operator or a member does.
    void put(const std::string& key, const std::string& value);
    /// Turns every call away from now on, or no longer.
    void setRefusing(bool refuses) { this->refusing = refuses; }
    /// Answers calls that end a lease after this time.
    void setLeaseEndDelay(std::chrono::milliseconds delay) { this->leaseEndDelay = delay; }
    /// Fencing tokens of the promotions so far.
    const std::vector<std::int64_t>& fencingTokens() const { return this->tokens; }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds length;
        std::chrono::steady_clock::time_point end;
    };
    struct Change {
        std::string key;
        std::string value;
        std::int64_t revision = 0;
        bool deleted = false;
    };
    struct Answer {
        unsigned status = 200;
        boost::json::object body;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<Answer> handle(std::string target, std::string body);
    boost::asio::awaitable<Answer> watch(std::map<std::string, std::string> query);
    Answer range(const std::string& prefix) const;
    Answer transact(const boost::json::object& request);
    void expireLeases();
    void endLease(std::int64_t lease);
    void record(const std::string& key, const std::string& value, bool deleted);

    boost::asio::io_context& context;
    std::function<void(const std::string&)> promote;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<std::string, Item> items;
    std::vector<Change> changes;
    std::vector<std::int64_t> tokens;
    std::map<std::int64_t, Lease> leases;
    std::chrono::milliseconds leaseEndDelay { 0 };
    std::int64_t revision = 1;
    std::int64_t nextLease = 100;
    bool refusing = false;
};

} // namespace catkinlock::standin
