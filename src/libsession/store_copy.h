#pragma once

#include "catkinlock/metadata_store.h"
#include <map>
#include <string>

namespace catkinlock {

/// A copy of all keys of the metadata store as of one revision. The copy never contains values of two eras. Does no
/// I/O.
class StoreCopy {
public:
    /// What became of a list of changes.
    enum class Merge {
        /// The changes are of an earlier era than the copy, so they say nothing about it.
        Ignored,
        /// The copy is up to date with the changes; there were none after its revision.
        Confirmed,
        /// The copy has changed.
        Changed,
        /// The changes are of a later era than the copy or don't follow it, so the whole store has to be read.
        ReadAgain,
    };

    /// Replaces the copy by the whole contents of the store. Returns false, and keeps the copy, if the contents are of
    /// an earlier era than the copy.
    bool replace(KeyRange);
    /// Applies changes that follow the copy's revision or an earlier one of its era.
    Merge apply(const KeyChanges&);

    const std::map<std::string, KeyValue>& values() const { return this->copy; }
    /// The copy contains every change up to this revision; 0 before the first contents.
    std::int64_t revision() const { return this->copyRevision; }

private:
    bool applyChange(const KeyValue&);

    std::map<std::string, KeyValue> copy;
    std::int64_t copyRevision = 0;
};

} // namespace catkinlock
