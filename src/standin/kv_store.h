#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// The state of a stand-in for the platform's key-value service: etcd's keys, revisions, transactions and leases, with
/// requests and responses in etcd's JSON form. A request that names an unknown lease is answered with an object with
/// the fields `error` and `code`, except by `keepLeaseAlive`, which then leaves out `TTL`. Does no I/O and reads no
/// clock: `nowSeconds` is the time of a monotonic clock, given by the caller.
class KvStore {
public:
    struct Change {
        std::int64_t revision;
        bool deleted;
        std::string key;
        std::string value;
    };

    boost::json::object range(const boost::json::object& request) const;
    boost::json::object put(const boost::json::object& request);
    boost::json::object deleteRange(const boost::json::object& request);
    boost::json::object transact(const boost::json::object& request);
    boost::json::object grantLease(const boost::json::object& request, double nowSeconds);
    boost::json::object keepLeaseAlive(const boost::json::object& request, double nowSeconds);
    boost::json::object revokeLease(const boost::json::object& request);
    /// Removes the leases that have expired, with their keys.
    void expireLeases(double nowSeconds);

    /// Revision of the last change.
    std::int64_t revision() const { return this->lastRevision; }
    /// The changes since `fromRevision`, inclusive, to the keys in [begin, end), as etcd's watch response. With an
    /// empty `end`, those of the key `begin` only.
    boost::json::object watchResponse(
        const std::string& begin, const std::string& end, std::int64_t fromRevision) const;

private:
    struct Value {
        std::string text;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t version = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        double ttlSeconds = 0;
        /// Time of expiry, on the clock of `nowSeconds`.
        double expirySeconds = 0;
    };

    boost::json::object header() const;
    bool comparisonHolds(const boost::json::object& comparison) const;
    boost::json::object runOperation(const boost::json::object& operation);
    /// Removes a lease and deletes its keys.
    void endLease(std::int64_t id);
    boost::json::object keyValue(const std::string& key, const Value&) const;

    std::map<std::string, Value> values;
    std::map<std::int64_t, Lease> leases;
    std::vector<Change> history;
    std::int64_t lastRevision = 1;
    std::int64_t lastLease = 1000;
    /// Set from the first write of a transaction to its end: all writes of a transaction share one revision.
    bool inTransaction = false;
};

} // namespace catkinlock::standin
