#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace catkinlock {

/// What the fleet has agreed on about the primary of one group, kept in the metadata store. A group that never had its
/// primary replaced by this fleet has no record.
struct GroupRecord {
    enum class State {
        /// `primary` serves.
        Serving,
        /// The primary is being replaced: nobody uses one.
        Replacing,
    };
    State state = State::Serving;
    /// Id of the primary; while it is being replaced, of the one that was.
    std::string primary;
    std::uint64_t term = 0;

    auto operator<=>(const GroupRecord&) const = default;
};

/// JSON of a record, and back; nothing if the text is no record.
std::string writeGroupRecord(const GroupRecord&);
std::optional<GroupRecord> parseGroupRecord(const std::string&);

} // namespace catkinlock
