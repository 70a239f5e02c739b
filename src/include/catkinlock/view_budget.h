#pragma once

#include "catkinlock/clock.h"
#include "catkinlock/error.h"
#include <tl/expected.hpp>

namespace catkinlock {

/// The time limits of the path on which a change of the metadata store reaches an instance's view: store, relay,
/// follower, view. All are derived from the time within which an accepted configuration has to be in force, so that an
/// instance with a path to the store keeps it although every other source fails.
struct ViewBudget {
    /// Time within which an instance that reaches the store has a change in its view.
    Milliseconds applyWithin { 0 };
    /// Maximum age of a view; beyond it a withdrawn key could still be accepted.
    Milliseconds maxAge { 0 };
    /// Longest time for which the store holds a poll. A response without changes confirms the view as of the time of
    /// the request.
    Milliseconds storeHold { 0 };
    /// Longest time for which a relay holds a poll. It replies earlier, as soon as its own view is confirmed.
    Milliseconds relayHold { 0 };
    /// A view older than this isn't confirmed in the ordinary way, so it is confirmed by another source.
    Milliseconds overdueAfter { 0 };
    /// The instances begin to use other sources within this time after `overdueAfter`, so that they don't all call the
    /// store at once.
    Milliseconds overdueSpread { 0 };
    /// Longest time for which one attempt at another source waits for its reply. The next attempt follows at once.
    Milliseconds attemptTimeout { 0 };

    bool operator==(const ViewBudget&) const = default;

    /// The oldest view of an instance that reaches the store, if the source that it uses, and the one that it tries
    /// next, don't reply.
    Milliseconds oldestView() const;
};

/// Derives the limits. Returns an error if `applyWithin` is too short to keep with two failed sources.
tl::expected<ViewBudget, Error> deriveViewBudget(Milliseconds applyWithin, Milliseconds revocation);

} // namespace catkinlock
