#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// The state of a stand-in for the platform's key-value service: etcd's keys, revisions, transactions and leases, with
/// requests and answers in etcd's JSON form. Knows no sockets; time comes in as seconds.
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
    boost::json::object grantLease(const boost::json::object& request, double now);
    boost::json::object keepLeaseAlive(const boost::json::object& request, double now);
    boost::json::object revokeLease(const boost::json::object& request);
    /// Deletes the keys of the leases that are over.
    void expireLeases(double now);

    std::int64_t revision() const { return this->lastRevision; }
    /// The changes from `fromRevision` on to keys in [begin, end), in etcd's form of a watch answer.
    boost::json::object watchAnswer(const std::string& begin, const std::string& end, std::int64_t fromRevision) const;

private:
    struct Value {
        std::string text;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t version = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        double timeToLive = 0;
        double end = 0;
    };

    boost::json::object header() const;
    bool holds(const boost::json::object& comparison) const;
    boost::json::object runOperation(const boost::json::object& operation);
    void endLease(std::int64_t id);
    boost::json::object keyValue(const std::string& key, const Value&) const;

    std::map<std::string, Value> values;
    std::map<std::int64_t, Lease> leases;
    std::vector<Change> history;
    std::int64_t lastRevision = 1;
    std::int64_t lastLease = 1000;
    bool inTransaction = false;
};

} // namespace catkinlock::standin
