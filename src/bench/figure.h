#pragma once

#include <string>
#include <vector>

namespace catkinlock::bench {

/// Prints one result as a line of JSON on standard output. `baseline` is the number that the result is compared with,
/// as text; an empty text is printed as null.
void printFigure(const std::string& name, double value, const std::string& unit, const std::string& baseline = {});

/// Returns the value below which `fraction` (0 to 1) of the values lie; 0 if there are no values.
double quantile(std::vector<double> values, double fraction);

/// Returns the time of the monotonic clock in seconds.
double now();

/// Blocks the calling thread.
void sleepFor(double seconds);

/// Returns the resident memory of a process in bytes; 0 if it can't be read.
double residentBytes(int pid);
/// Returns the processor time that a process has used since its start, in user and kernel mode, in seconds.
double cpuSeconds(int pid);

} // namespace catkinlock::bench
