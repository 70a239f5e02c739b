#pragma once

#include "catkinlock/metadata_store.h"
#include <deque>
#include <optional>
#include <vector>

namespace catkinlock {

/// A bounded log of the latest changes of the metadata store that this instance has applied. Instances that follow this
/// one are served from it.
class ChangeLog {
public:
    /// Clears the log. Later calls of `append` continue from `revision`.
    void restart(std::int64_t revision);
    /// Appends changes, which are sorted by revision. Changes up to the log's last revision are skipped. Afterwards the
    /// log has the latest change of each key up to `revision`. The oldest changes are evicted when the log exceeds its
    /// limits.
    void append(const std::vector<KeyValue>&, std::int64_t revision);
    /// Returns the latest change of each key that changed after revision `after`, sorted by revision. Returns
    /// std::nullopt if changes after `after` have been evicted or precede the start of the log, and an empty list if
    /// `after` is at or beyond the log's last revision.
    std::optional<std::vector<KeyValue>> since(std::int64_t after) const;
    /// Every change up to this revision has been appended.
    std::int64_t revision() const { return this->lastRevision; }

private:
    std::deque<KeyValue> changes;
    // The log is complete for the revisions after this one.
    std::int64_t startRevision = 0;
    std::int64_t lastRevision = 0;
};

} // namespace catkinlock
