#pragma once

namespace catkinlock::bench {

/// Control cost of an instance and load on the platform at several fleet sizes, without callers.
void measureControlCost();
/// The same in numbers of databases, at one fleet size.
void measureDatabaseCost();

} // namespace catkinlock::bench
