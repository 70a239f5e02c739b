#include "catkinlock/view_budget.h"

#include <fmt/format.h>

namespace catkinlock {

namespace {

    // The limits, as fractions of the tightest bound on a view's age.
    constexpr double storeHoldFraction = 0.18;
    // A relay's own poll is held for `storeHoldFraction`, so its confirmation arrives within this one.
    constexpr double relayHoldFraction = 0.24;
    // Above twice `storeHoldFraction`, which is the age of a follower's view right before the next confirmation.
    constexpr double overdueFraction = 0.5;
    constexpr double spreadFraction = 0.1;
    constexpr double attemptFraction = 0.13;
    // Attempts that may fail before the one that confirms the view.
    constexpr int failedAttempts = 2;
    // Time to reply, to build the view and to hand it to the request thread, on a busy instance.
    constexpr Milliseconds minBuildTime { 250 };
    // Between the maximum age of a view and the revocation time: a statement on its way to a member.
    constexpr Milliseconds revocationMargin { 300 };

    Milliseconds part(Milliseconds bound, double fraction)
    {
        return std::chrono::duration_cast<Milliseconds>(bound * fraction);
    }

} // namespace

Milliseconds ViewBudget::oldestView() const
{
    return this->overdueAfter + this->overdueSpread + this->attemptTimeout * failedAttempts;
}

tl::expected<ViewBudget, Error> deriveViewBudget(Milliseconds applyWithin, Milliseconds revocation)
{
    ViewBudget budget;
    budget.applyWithin = applyWithin;
    budget.maxAge = revocation - revocationMargin;
    Milliseconds bound = std::min(applyWithin, budget.maxAge);
    budget.storeHold = part(bound, storeHoldFraction);
    budget.relayHold = part(bound, relayHoldFraction);
    budget.overdueAfter = part(bound, overdueFraction);
    budget.overdueSpread = part(bound, spreadFraction);
    budget.attemptTimeout = part(bound, attemptFraction);
    if (budget.oldestView() + minBuildTime > bound)
        return tl::unexpected(Error { fmt::format("a configuration can't be in force within {} ms: {} ms to confirm a "
                                                  "view and {} ms to build it are too long",
            bound.count(), budget.oldestView().count(), minBuildTime.count()) });
    return budget;
}

} // namespace catkinlock
