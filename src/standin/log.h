#pragma once

#include "catkinlock/position.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// One row inserted or replaced by a transaction.
struct Change {
    std::string table;
    /// Key of the row.
    std::string id;
    std::string body;
};

/// One committed transaction in a member's log.
struct Entry {
    Position position;
    std::vector<Change> changes;
};

/// A member's log, the rows produced by its applied entries, and the newest term that the member has promised. Sequence
/// numbers (lsn) start at 1 and have no gaps.
class Log {
public:
    /// Position of the last entry; a position of zeros if the log is empty.
    Position last() const;
    /// The newest term promised; 1 before the first promise.
    std::uint64_t promised() const { return this->promisedTerm; }
    void promise(std::uint64_t term) { this->promisedTerm = term; }

    /// Adds an entry. Its changes become visible to reads once it is applied.
    void append(Entry);
    /// Applies every entry up to `lsn`.
    void applyTo(std::uint64_t lsn);
    /// Sequence number of the last applied entry; 0 if none was applied.
    std::uint64_t applied() const { return this->appliedLsn; }
    /// Removes every entry after `lsn`, and the effects of those that were applied.
    void truncate(std::uint64_t lsn);
    const std::vector<Entry>& entries() const { return this->logEntries; }
    /// Term of the entry with this sequence number; 0 if there is none.
    std::uint64_t termAt(std::uint64_t lsn) const;

    /// Bodies of all rows with this key, oldest first. A row of the requests table replaces the older row of its key.
    std::vector<std::string> find(const std::string& table, const std::string& id) const;
    /// Bodies of all rows of a table, ordered by key.
    std::vector<std::string> findAll(const std::string& table) const;

private:
    void apply(const Entry&);

    std::uint64_t promisedTerm = 1;
    std::uint64_t appliedLsn = 0;
    std::vector<Entry> logEntries;
    /// Bodies by table and key.
    std::map<std::string, std::map<std::string, std::vector<std::string>>> rows;
};

/// Table of idempotency keys, with the digest and the reply of each request.
inline constexpr const char* requestsTable = "catkinlock.requests";

/// Encodes an entry as a line of JSON, with its newline.
std::string encodeEntry(const Entry&);
/// Decodes a line of `encodeEntry`, without its newline; nullopt if it is not a JSON array of three elements, such as
/// the empty line of a heartbeat. Throws if an element of the array has another form.
std::optional<Entry> decodeEntry(const std::string& line);

} // namespace catkinlock::standin
