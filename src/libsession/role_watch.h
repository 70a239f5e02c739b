#pragma once

#include "libsession/primary_evidence.h"
#include <optional>

namespace catkinlock {

/// Measures for how long the members have reported that a primary has lost its role. Takes events and the time as
/// values.
class RoleWatch {
public:
    /// Records whether the members report that another member has the role of `primary`. Returns for how long they have
    /// reported it of this primary in this term without a break.
    Duration observe(const PrimaryTerm& primary, bool isDeposed, TimePoint now)
    {
        bool continues = isDeposed && this->primary == primary && this->deposedSince;
        if (!continues)
            this->deposedSince = isDeposed ? std::optional(now) : std::nullopt;
        this->primary = primary;
        return now - this->deposedSince.value_or(now);
    }

private:
    PrimaryTerm primary;
    std::optional<TimePoint> deposedSince;
};

} // namespace catkinlock
