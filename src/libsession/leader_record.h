#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace catkinlock {

/// Key of the leader lease in the metadata store.
inline constexpr const char* leaderLeaseKey = "catkinlock/duty/promotion";

/// The leader lease as its holder wrote it to the metadata store.
struct LeaderRecord {
    enum class State {
        /// The holder may order promotions at any moment.
        Acting,
        /// The holder has no replacement in progress. It writes `Acting` before it orders the next promotion, so that
        /// it orders none once another instance has replaced this record.
        Idle,
    };
    State state = State::Acting;
    /// Name of the instance that holds the lease; empty if the text was unreadable.
    std::string holder;
    /// The store's lease that the record is attached to. Tells apart the runs of one instance.
    std::int64_t leaseId = 0;

    auto operator<=>(const LeaderRecord&) const = default;
};

/// Serializes a record as JSON.
std::string writeLeaderRecord(const LeaderRecord&);
/// Parses the JSON of a record. A text that can't be parsed counts as the record of an unknown instance that may order
/// promotions.
LeaderRecord parseLeaderRecord(const std::string&);

} // namespace catkinlock
