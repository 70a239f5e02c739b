#pragma once

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace catkinlock::standin {

/// Judges what callers were told of their writes by how often each is found in the end: never twice, once if
/// acknowledged, not at all if told not to have run. Returns how many were acknowledged.
inline unsigned judgeOutcomes(std::map<std::string, unsigned>& rows, const std::map<std::string, std::string>& outcomes)
{
    unsigned done = 0;
    for (const auto& [id, outcome] : outcomes) {
        EXPECT_LE(rows[id], 1u) << id;
        if (outcome == "done") {
            EXPECT_EQ(rows[id], 1u) << id << " was acknowledged";
        }
        if (outcome == "not_run") {
            EXPECT_EQ(rows[id], 0u) << id << " was told not to have run";
        }
        done += outcome == "done";
    }
    return done;
}

} // namespace catkinlock::standin
