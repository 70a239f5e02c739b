#pragma once

#include <compare>
#include <cstdint>

namespace catkinlock {

/// A position in the history of a metadata store that may be restored from an older copy of itself. Its counters, of
/// revisions and of lease ids, then go back and give the same numbers out again, so a number out of the store means
/// something only within its era. Positions of a later era are greater than all those of earlier ones.
///
/// `sequence` is one number that orders positions in the same way. The port to the store (`MetadataStore`), the
/// messages to peers and fencing tokens carry revisions and lease ids in this form only, so that "newer than" holds
/// across restores wherever they are compared.
struct StoreRevision {
    /// Number of restores before this position; at least 0. A store that is never restored is in era 0, and its
    /// sequence numbers are its own revisions.
    std::int64_t era = 0;
    /// The store's own revision, or a number that stands for its lease id, from 0 to `maxNumber`. 0 stands for none.
    std::int64_t number = 0;

    static constexpr int numberBits = 40;
    static constexpr std::int64_t maxNumber = (std::int64_t { 1 } << numberBits) - 1;

    auto operator<=>(const StoreRevision&) const = default;

    /// 0 for number 0 of era 0 only.
    constexpr std::int64_t sequence() const { return this->era << numberBits | this->number; }
    static constexpr StoreRevision fromSequence(std::int64_t sequence)
    {
        return { sequence >> numberBits, sequence & maxNumber };
    }
    /// True if two sequence numbers belong to the same era.
    static constexpr bool sameEra(std::int64_t first, std::int64_t second)
    {
        return first >> numberBits == second >> numberBits;
    }
};

} // namespace catkinlock
