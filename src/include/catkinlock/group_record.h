#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace catkinlock {

/// The primary of one group as the fleet has agreed on it, kept in the metadata store. A group whose primary this fleet
/// has never replaced has no record.
struct GroupRecord {
    enum class State {
        /// `primary` serves requests.
        Serving,
        /// The primary is being replaced; no instance sends requests to a primary.
        Replacing,
    };
    State state = State::Serving;
    /// Id of the primary; during a replacement, the id of the previous one.
    std::string primary;
    std::uint64_t term = 0;

    auto operator<=>(const GroupRecord&) const = default;
};

/// Serializes a record as JSON.
std::string writeGroupRecord(const GroupRecord&);
/// Parses the JSON of a record. Returns std::nullopt if the text is not JSON, lacks a field or has a
/// term that is no 64-bit count. A state other than
/// "serving" is read as Replacing, so that no instance sends requests to a primary while the group's state is unclear.
std::optional<GroupRecord> parseGroupRecord(const std::string&);

} // namespace catkinlock
