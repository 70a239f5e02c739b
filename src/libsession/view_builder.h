#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/document_source.h"
#include "catkinlock/metadata_store.h"
#include "libsession/evacuation.h"
#include "libsession/fleet_view.h"
#include "libsession/member_drain.h"
#include <map>
#include <memory>
#include <string>

namespace catkinlock {

/// Prefix of the keys of group records in the metadata store; the rest of a key is the service.
inline constexpr const char* groupPrefix = "catkinlock/group/";
/// Prefix of the keys of registered instances in the metadata store; the rest of a key is the instance's name.
inline constexpr const char* instancePrefix = "catkinlock/instance/";

/// Builds views from copies of the metadata store. A configuration is never replaced by an older version or by an
/// invalid one. When the store is restored from an older copy, the newest known configuration and the newest known
/// record of each group stay in the views until the store has them, or newer ones, again, and a member that was
/// draining stays so until it has written its entry again. So do the runs of a membership. A group whose record can't
/// be parsed counts as being replaced. A member whose entry disappears or becomes invalid without having been marked as
/// draining stays in the views for a short time, because entries also expire while the store itself is unavailable. An
/// instance whose entry can't be read is in the views only if it was in the last one: it may still run.
class ViewBuilder {
public:
    explicit ViewBuilder(std::shared_ptr<const DocumentSource>);

    /// Sets the limits of sending to members that leave, for the views that are built from now on.
    void setDrainLimits(const DrainLimits& limits) { this->drain.setLimits(limits); }
    /// Builds the view of `values`, which include every change up to `revision`. `confirmedAt`: time as of which the
    /// view in use was last confirmed; the clock's epoch if none was.
    FleetView build(const std::map<std::string, KeyValue>& values, std::int64_t revision, TimePoint now,
        TimePoint confirmedAt = TimePoint());
    /// Takes a configuration that a peer knows if it is valid and newer than the one in the views. Returns true if so.
    bool learn(const KeyValue&);
    /// The configuration in the views if the store of the last build has none as new, for peers that don't know it.
    std::optional<KeyValue> lostConfiguration() const;
    /// Group records and memberships in the views that are newer than those in the store of the last build. The
    /// revisions are those of the older records in the store; 0 for a record that the store does not have.
    const std::vector<KeyValue>& lostRecords() const { return this->recordsToWrite; }
    /// True while a member without a valid entry is still kept, so that a later build from the same copy will drop it.
    bool hasPendingRemovals() const { return !this->missingSince.empty(); }
    /// Returns the errors found in documents since the last call, for the log: one for each revision of a document.
    std::vector<std::string> takeFaults();
    /// Returns the changes of evacuations since the last call, for the log.
    std::vector<EvacuationEvent> takeEvacuationEvents() { return this->evacuations.takeEvents(); }

private:
    struct InstanceEntry {
        // The last value that could be read.
        std::string text;
        RegisteredInstance instance;
    };

    // Adds an error for `takeFaults`, unless one was added for this revision of the entry.
    void addFault(const KeyValue& entry, std::string text);
    void readTables(const std::map<std::string, KeyValue>& values);
    void readGroups(const std::map<std::string, KeyValue>& values, std::int64_t revision, FleetView&);
    void readMemberships(const std::map<std::string, KeyValue>& values, FleetView&);
    void readInstances(const std::map<std::string, KeyValue>& values, FleetView&);
    void readEvacuations(const std::map<std::string, KeyValue>& values, std::int64_t revision, FleetView&);
    void readTargets(const std::map<std::string, KeyValue>& values, std::int64_t revision, TimePoint now,
        TimePoint confirmedAt, FleetView&);

    std::shared_ptr<const DocumentSource> documents;
    std::shared_ptr<const Tables> tables = std::make_shared<const Tables>();
    EvacuationTracker evacuations;
    // The text of `tables`.
    std::string tablesText;
    // Version of the valid configuration that the store had last; 0 if there was none.
    std::int64_t storedTablesVersion = 0;
    // Revision of the configuration's key that was parsed last, whether it was valid or not.
    std::int64_t tablesKeyRevision = 0;
    // A group's record, and a revision of the store's era in which it was read.
    struct KnownRecord {
        GroupRecord record;
        std::int64_t revision = 0;
    };
    // By service.
    std::map<std::string, KnownRecord> knownRecords;
    std::vector<KeyValue> recordsToWrite;
    // The memberships of the last view, by service.
    std::map<std::string, GroupMembership> lastMemberships;
    TargetDirectory lastTargets;
    // The instances of the last view.
    std::map<std::string, InstanceEntry> lastInstances;
    // Members that are leaving.
    MemberDrain drain;
    // Revision of the last build.
    std::int64_t lastRevision = 0;
    // Revision at which the store was first read in its present era; 0 if no earlier era is known. An entry up to this
    // revision may be from the older copy.
    std::int64_t restoredRevision = 0;
    // Since when members of the last view have had no valid entry, by member id.
    std::map<std::string, TimePoint> missingSince;
    std::vector<std::string> faults;
    // Revisions of the entries for which an error was added last, by key.
    std::map<std::string, std::int64_t> reportedRevisions;
    std::uint64_t serial = 0;
};

} // namespace catkinlock
