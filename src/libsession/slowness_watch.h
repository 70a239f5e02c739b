#pragma once

#include "catkinlock/clock.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace catkinlock {

/// Notices when members turn slow and when they have recovered, for the log. Short deviations don't count. Does no I/O.
class SlownessWatch {
public:
    /// Records the slowness of a member (`MemberSpeed::slowness`). True or false if the member turned slow or has
    /// recovered just now; std::nullopt if nothing changed. To be called several times a second.
    std::optional<bool> record(const std::string& member, double slowness, TimePoint now);
    /// Forgets all members but these.
    void keepOnly(const std::set<std::string>& members);

private:
    struct Member {
        bool slow = false;
        // Since when the slowness has been on the other side; meaningful if `changing` is set.
        TimePoint since;
        bool changing = false;
    };
    std::map<std::string, Member> members;
};

} // namespace catkinlock
