#pragma once

#include <string>
#include <vector>

namespace catkinlock::bench {

/// Prints one figure as a JSON line; an empty baseline means that there is none.
void printFigure(const std::string& name, double value, const std::string& unit, const std::string& baseline = {});

/// The value below which `share` (0 to 1) of the values lie.
double quantile(std::vector<double> values, double share);

/// Seconds on the monotonic clock.
double now();

void pause(double seconds);

/// Resident memory of a process in bytes, and its processor time in seconds.
double residentBytes(int pid);
double cpuSeconds(int pid);

} // namespace catkinlock::bench
