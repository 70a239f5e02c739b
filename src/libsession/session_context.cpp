#include "libsession/session_context.h"

#include "libsession/view_freshness.h"

namespace catkinlock {

bool confirmsKey(const SessionContext& context, const std::string& keyDigest)
{
    if (!context.freshness->isFresh(Clock::now()))
        return false;
    return keyDigest.empty() || context.view->read()->tables->keys.count(keyDigest);
}

} // namespace catkinlock
