#pragma once

#include "catkinlock/metadata_store.h"
#include <deque>
#include <optional>
#include <vector>

namespace catkinlock {

/// The last changes of the metadata store that an instance has seen, for instances that follow it.
class ChangeLog {
public:
    /// Forgets everything: what is known begins at `revision`.
    void restart(std::int64_t revision);
    /// Changes in order that lead up to `revision`.
    void append(const std::vector<KeyValue>&, std::int64_t revision);
    /// The last change of each key that changed after `after`, in order; nothing if the log does not reach back as far.
    /// Empty for a revision that is not reached yet.
    std::optional<std::vector<KeyValue>> since(std::int64_t after) const;
    /// Every change up to here is known.
    std::int64_t revision() const { return this->last; }

private:
    std::deque<KeyValue> changes;
    // Changes after this one are all in the log.
    std::int64_t first = 0;
    std::int64_t last = 0;
};

} // namespace catkinlock
