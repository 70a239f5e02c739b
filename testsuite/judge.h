#pragma once

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace catkinlock::standin {

/// Checks the outcomes that callers received for their writes against the number of rows that each write has left in
/// the database, both by the write's id: at most one row, exactly one if the outcome is "done", none if it is
/// "not_run". Returns the number of writes whose outcome is "done".
inline unsigned checkOutcomes(
    std::map<std::string, unsigned>& rowCounts, const std::map<std::string, std::string>& outcomes)
{
    unsigned acknowledged = 0;
    for (const auto& [id, outcome] : outcomes) {
        EXPECT_LE(rowCounts[id], 1u) << id;
        if (outcome == "done") {
            EXPECT_EQ(rowCounts[id], 1u) << id << " was acknowledged";
        }
        if (outcome == "not_run") {
            EXPECT_EQ(rowCounts[id], 0u) << id << " was reported as not run";
        }
        acknowledged += outcome == "done";
    }
    return acknowledged;
}

} // namespace catkinlock::standin
