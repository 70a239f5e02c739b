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

/// A stand-in for the key-value store of the line protocol's platform, and for its call that promotes a member. Expired
/// leases are removed, with their keys, when the next call arrives. It can be restored from an older copy of itself;
/// each response has the header `Store-Era`, the number of restores so far. Not thread-safe.
class KvService : public std::enable_shared_from_this<KvService> {
public:
    /// `promote` makes the member with the given id the primary of its group.
    KvService(boost::asio::io_context&, std::function<void(const std::string& id)> promote);

    /// Accepts connections on a loopback port chosen by the kernel. Returns "ip:port".
    std::string start();
    /// Writes a key without a lease, as an operator or a member does.
    void put(const std::string& key, const std::string& value);
    /// Deletes a key, as an operator or a member does.
    void erase(const std::string& key);
    /// Keeps a copy of the present keys, leases, history and counters, in place of the one kept before.
    void takeCopy();
    /// Returns to the copy and starts the next era: revisions and lease ids since the copy will be given out again. A
    /// lease has as much time left as it had when the copy was taken.
    void restoreCopy();
    /// Values of all keys.
    std::map<std::string, std::string> contents() const;
    /// Ids of all leases.
    std::vector<std::int64_t> leaseIds() const;
    /// Sets whether every call is answered with status 503.
    void setUnavailable(bool unavailable) { this->unavailable = unavailable; }
    /// Delays calls that end a lease, and their effect, by this time.
    void setLeaseEndDelay(std::chrono::milliseconds delay) { this->leaseEndDelay = delay; }
    /// Delays the replies to calls that grant a lease by this time.
    void setLeaseGrantDelay(std::chrono::milliseconds delay) { this->leaseGrantDelay = delay; }
    /// Fencing tokens received with promotions so far, oldest first, including those answered with status 503.
    const std::vector<std::int64_t>& fencingTokens() const { return this->receivedTokens; }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        /// Id of the lease that the key belongs to; 0 if none.
        std::int64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds duration;
        std::chrono::steady_clock::time_point expiresAt;
    };
    struct Change {
        std::string key;
        std::string value;
        std::int64_t revision = 0;
        bool deleted = false;
    };
    /// Everything that a restore brings back.
    struct State {
        std::map<std::string, Item> items;
        /// Every change since the start, in the order of revisions.
        std::vector<Change> changes;
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 1;
        std::int64_t nextLease = std::int64_t { 1 } << 55;
    };
    struct Response {
        /// HTTP status.
        unsigned status = 200;
        boost::json::object body;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<Response> handle(std::string target, std::string body);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    boost::asio::awaitable<Response> watch(std::map<std::string, std::string> query);
    Response range(const std::string& prefix) const;
    Response transact(const boost::json::object& request);
    void expireLeases();
    /// Removes a lease and deletes its keys.
    void endLease(std::int64_t lease);
    /// Raises the revision and adds a change to the history that watches read.
    void recordChange(const std::string& key, const std::string& value, bool deleted);

    boost::asio::io_context& context;
    std::function<void(const std::string&)> promote;
    boost::asio::ip::tcp::acceptor acceptor;
    State state;
    State copy;
    std::chrono::steady_clock::time_point copiedAt;
    std::int64_t era = 0;
    std::vector<std::int64_t> receivedTokens;
    std::chrono::milliseconds leaseEndDelay { 0 };
    std::chrono::milliseconds leaseGrantDelay { 0 };
    bool unavailable = false;
};

} // namespace catkinlock::standin
