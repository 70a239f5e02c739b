#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/document_source.h"
#include "catkinlock/metadata_store.h"
#include "libsession/fleet_view.h"
#include <map>
#include <memory>
#include <string>

namespace catkinlock {

/// Keys of the fleet's own records in the metadata store.
inline constexpr const char* groupPrefix = "catkinlock/group/";
inline constexpr const char* instancePrefix = "catkinlock/instance/";

/// Makes views out of copies of the metadata store. A configuration never goes back to an older version, and a member
/// whose entry is gone without a word stays for a moment, since entries come and go with the store.
class ViewBuilder {
public:
    explicit ViewBuilder(std::shared_ptr<const DocumentSource>);

    FleetView build(const std::map<std::string, KeyValue>& values, std::int64_t revision, TimePoint now);
    /// True while a vanished member waits for its end, so that a later build would differ.
    bool isUnsettled() const { return !this->vanishedAt.empty(); }
    /// Faults of documents since the last call, for the log.
    std::vector<std::string> takeFaults();

private:
    void readTables(const std::map<std::string, KeyValue>& values);
    void readTargets(const std::map<std::string, KeyValue>& values, TimePoint now, FleetView&);

    std::shared_ptr<const DocumentSource> documents;
    std::shared_ptr<const Tables> tables = std::make_shared<const Tables>();
    std::int64_t tablesRead = 0;
    TargetDirectory lastTargets;
    std::map<std::string, TimePoint> vanishedAt;
    std::vector<std::string> faults;
    std::uint64_t serial = 0;
};

} // namespace catkinlock
