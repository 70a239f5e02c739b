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
/// leases are removed, with their keys, when the next call arrives. Not thread-safe.
class KvService : public std::enable_shared_from_this<KvService> {
public:
    /// `promote` makes the member with the given id the primary of its group.
    KvService(boost::asio::io_context&, std::function<void(const std::string& id)> promote);

    /// Accepts connections on a loopback port chosen by the kernel. Returns "ip:port".
    std::string start();
    /// Writes a key without a lease, as an operator or a member does.
    void put(const std::string& key, const std::string& value);
    /// Sets whether every call is answered with status 503.
    void setUnavailable(bool unavailable) { this->unavailable = unavailable; }
    /// Delays calls that end a lease, and their effect, by this time.
    void setLeaseEndDelay(std::chrono::milliseconds delay) { this->leaseEndDelay = delay; }
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
    struct Response {
        /// HTTP status.
        unsigned status = 200;
        boost::json::object body;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<Response> handle(std::string target, std::string body);
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
    std::map<std::string, Item> items;
    /// Every change since the start, in the order of revisions.
    std::vector<Change> changes;
    std::vector<std::int64_t> receivedTokens;
    std::map<std::int64_t, Lease> leases;
    std::chrono::milliseconds leaseEndDelay { 0 };
    std::int64_t revision = 1;
    std::int64_t nextLease = 100;
    bool unavailable = false;
};

} // namespace catkinlock::standin
