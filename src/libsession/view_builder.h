#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/document_source.h"
#include "catkinlock/metadata_store.h"
#include "libsession/fleet_view.h"
#include <map>
#include <memory>
#include <string>

namespace catkinlock {

/// Prefix of the keys of group records in the metadata store; the rest of a key is the service.
inline constexpr const char* groupPrefix = "catkinlock/group/";
/// Prefix of the keys of registered instances in the metadata store; the rest of a key is the instance's name.
inline constexpr const char* instancePrefix = "catkinlock/instance/";

/// Builds views from copies of the metadata store. A configuration is never replaced by an older version or by an
/// invalid one. A group whose record can't be parsed counts as being replaced. A member whose entry disappears or
/// becomes invalid without having been marked as draining stays in the views for a short time, because entries also
/// expire while the store itself is unavailable.
class ViewBuilder {
public:
    explicit ViewBuilder(std::shared_ptr<const DocumentSource>);

    /// Builds the view of `values`, which include every change up to `revision`.
    FleetView build(const std::map<std::string, KeyValue>& values, std::int64_t revision, TimePoint now);
    /// True while a member without a valid entry is still kept, so that a later build from the same copy will drop it.
    bool hasPendingRemovals() const { return !this->missingSince.empty(); }
    /// Returns the errors found in documents since the last call, for the log.
    std::vector<std::string> takeFaults();

private:
    void readTables(const std::map<std::string, KeyValue>& values);
    void readTargets(const std::map<std::string, KeyValue>& values, TimePoint now, FleetView&);

    std::shared_ptr<const DocumentSource> documents;
    std::shared_ptr<const Tables> tables = std::make_shared<const Tables>();
    // Revision of the configuration's key that was parsed last, whether it was valid or not.
    std::int64_t tablesKeyRevision = 0;
    TargetDirectory lastTargets;
    // Since when members of the last view have had no valid entry, by member id.
    std::map<std::string, TimePoint> missingSince;
    std::vector<std::string> faults;
    std::uint64_t serial = 0;
};

} // namespace catkinlock
