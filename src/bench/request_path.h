#pragma once

namespace catkinlock::bench {

/// Latency that an instance adds over libpq, statements per core, memory of idle callers.
void measureRequestPath();
/// Reads served by replicas that lag by 100 ms.
void measureReplicaReads();
/// Gap of acknowledged writes when a primary freezes; elections while a primary is slow.
void measureFailover();
/// Refusals within the rate, requests over it, and the worst-served workspace while one sends five times its rate.
void measureRates();
/// Time until an edit and a withdrawal are in force everywhere.
void measureConfiguration();

} // namespace catkinlock::bench
