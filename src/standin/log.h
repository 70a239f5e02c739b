#pragma once

#include "catkinlock/position.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// One change of a committed transaction.
struct Change {
    std::string table;
    std::string id;
    std::string body;
};

/// One committed transaction of a member's log.
struct Entry {
    Position position;
    std::vector<Change> changes;
};

/// A member's log, the rows that it adds up to, and the terms that the member has promised.
class Log {
public:
    Position last() const;
    std::uint64_t promised() const { return this->promisedTerm; }
    void promise(std::uint64_t term) { this->promisedTerm = term; }

    /// Adds a received entry; its changes show only once it is applied.
    void append(Entry);
    /// Applies every entry up to `lsn`.
    void applyTo(std::uint64_t lsn);
    std::uint64_t applied() const { return this->appliedLsn; }
    /// Drops every entry after `lsn`.
    void truncate(std::uint64_t lsn);
    const std::vector<Entry>& entries() const { return this->log; }
    /// The term of the entry with this sequence number; 0 if there is none.
    std::uint64_t termAt(std::uint64_t lsn) const;

    /// All bodies under `id`, oldest first; the requests table keeps only the newest.
    std::vector<std::string> find(const std::string& table, const std::string& id) const;
    std::vector<std::string> all(const std::string& table) const;

private:
    void apply(const Entry&);

    std::uint64_t promisedTerm = 1;
    std::uint64_t appliedLsn = 0;
    std::vector<Entry> log;
    std::map<std::string, std::map<std::string, std::vector<std::string>>> rows;
};

/// Name of the table of idempotency keys.
inline constexpr const char* requestsTable = "catkinlock.requests";

std::string encodeEntry(const Entry&);
std::optional<Entry> decodeEntry(const std::string& line);

} // namespace catkinlock::standin
