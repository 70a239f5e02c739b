#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace catkinlock {

/// A member's own entry in the target directory of the metadata store.
struct TargetRecord {
    /// Identifies a member. A member that is started again may have the same id, without the log of its earlier run.
    std::string id;
    /// Name of the replicated group that the member belongs to.
    std::string service;
    /// "ip:port".
    std::string address;
    std::string dataCentre;
    /// Number of statements that the member runs concurrently, at least 1.
    std::uint32_t maxConcurrentStatements = 1;
    /// True if the member is being removed and gets no new work.
    bool draining = false;
    /// True if the member reports itself as primary. The report may be out of date.
    bool primary = false;
    /// Remaining warm-up time, during which the member is slower than usual, in milliseconds.
    std::uint32_t warmUpMs = 0;
    /// When the member was started, as a Unix time in milliseconds; 0 if that is not known. Together with the id it
    /// identifies one run of the member.
    std::int64_t startedAt = 0;

    auto operator<=>(const TargetRecord&) const = default;
};

/// Target records by member id and by service.
class TargetDirectory {
public:
    /// Adds a record, in place of an earlier one with the same id.
    void set(const TargetRecord&);
    /// The record with this id; null if there is none.
    const TargetRecord* find(const std::string& id) const;
    bool contains(const std::string& id) const { return this->records.count(id); }
    /// Ids of a service's members, in ascending order; empty if the service is unknown.
    const std::set<std::string>& idsOf(const std::string& service) const;

    bool empty() const { return this->records.empty(); }
    std::size_t size() const { return this->records.size(); }
    /// Records by id, in ascending order.
    const std::map<std::string, TargetRecord>& all() const { return this->records; }

    bool operator==(const TargetDirectory&) const = default;

private:
    std::map<std::string, TargetRecord> records;
    std::map<std::string, std::set<std::string>> idsByService;
};

} // namespace catkinlock
