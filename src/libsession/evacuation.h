#pragma once

#include "catkinlock/error.h"
#include "catkinlock/metadata_store.h"
#include "libsession/evacuation_event.h"
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Decides from the operators' entries in the metadata store which data centres are evacuated. An evacuation begins
/// when a member is listed in the data centre, and lasts until its entry is removed. If the store is restored from a
/// copy that lacks the entry, it lasts until the entry has been written and removed again. Does no I/O. Made for a few
/// entries and views a second.
class EvacuationTracker {
public:
    /// Parses the value of an entry; the error says why it requests no evacuation.
    using Parse = std::function<tl::expected<void, Error>(const std::string&)>;

    explicit EvacuationTracker(Parse);

    /// Takes all entries of the store as of `revision`, by the name of their data centre, and the data centres in which
    /// members are listed. Returns the evacuated data centres.
    std::set<std::string> update(const std::map<std::string, KeyValue>& entries,
        const std::set<std::string>& memberDataCentres, std::int64_t revision);
    /// Returns the events since the last call: one for each change, and one for each revision of an entry without
    /// effect.
    std::vector<EvacuationEvent> takeEvents();

private:
    struct Request {
        // Revision of the entry that was parsed last.
        std::int64_t entryRevision = 0;
        // Revision of the last copy of the store that had the entry.
        std::int64_t seenAt = 0;
        // A valid entry has been read.
        bool isValid = false;
        bool hasBegun = false;
    };

    std::string problemOf(const std::string& dataCentre, const std::string& value) const;
    void readEntry(const std::string& dataCentre, const KeyValue&, bool isListed, std::int64_t revision);
    void dropRemoved(const std::map<std::string, KeyValue>& entries, std::int64_t revision);
    void reject(const std::string& dataCentre, std::string reason);

    Parse parse;
    // By data centre.
    std::map<std::string, Request> requests;
    std::vector<EvacuationEvent> events;
};

} // namespace catkinlock
