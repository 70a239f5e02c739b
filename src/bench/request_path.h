#pragma once

namespace catkinlock::bench {

/// Measures the latency through an instance compared with libpq straight to the primary, the statements per second and
/// core of an instance, and its memory per idle connection.
void measureRequestPath();
/// Measures which share of reads is served by replicas that lag by 100 or 150 ms, and the latency of reads, for several
/// settings of `replica_wait_ms`.
void measureReplicaReads();
/// Measures the longest time without an acknowledged write when a primary freezes, and whether a slow primary is
/// replaced without need.
void measureFailover();
/// Measures, while one of eight workspaces sends at five times its rate: the refusals of workspaces that keep to their
/// rate, the smallest share of requests admitted among them, and the requests admitted above any workspace's limit.
void measureRates();
/// Measures the time until an edited route and the withdrawal of a key are in force on all of 14 instances.
void measureConfiguration();

} // namespace catkinlock::bench
