#include "libsession/member_health.h"

#include <algorithm>

namespace catkinlock {

std::optional<TimePoint> MemberHealth::earliestFailure() const
{
    if (this->failures && this->lostWrites)
        return std::min(this->failingSince, this->losingWritesSince);
    if (this->failures)
        return this->failingSince;
    return this->lostWrites ? std::optional(this->losingWritesSince) : std::nullopt;
}

} // namespace catkinlock
