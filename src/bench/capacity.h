#pragma once

namespace catkinlock::bench {

/// Measures fleets of 8, 16, 32 and 64 instances with one database and no callers. Prints for each size the CPU use,
/// resident memory and peer traffic, as means over the instances, and the platform calls of the whole fleet.
void measureControlCost();
/// Measures the same quantities for 1, 4, 8 and 16 databases, in fleets of 4 instances.
void measureDatabaseCost();

} // namespace catkinlock::bench
