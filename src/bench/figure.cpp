#include "bench/figure.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace catkinlock::bench {

void printFigure(const std::string& name, double value, const std::string& unit, const std::string& baseline)
{
    std::string baselineText = baseline.empty() ? "null" : baseline;
    fmt::print(
        "{{\"name\":\"{}\",\"value\":{:.6g},\"unit\":\"{}\",\"baseline\":{}}}\n", name, value, unit, baselineText);
    std::fflush(stdout);
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

double now() { return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count(); }

void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

double residentBytes(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    double totalPages = 0;
    double residentPages = 0;
    file >> totalPages >> residentPages;
    return residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double cpuSeconds(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string stat((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    // Field 2, the program's name, may contain spaces. Parsing starts with field 3, after its closing parenthesis.
    std::istringstream fields(stat.substr(stat.rfind(')') + 2));
    std::string skipped;
    double userTicks = 0;
    double systemTicks = 0;
    // utime and stime are fields 14 and 15.
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    fields >> userTicks >> systemTicks;
    return (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace catkinlock::bench
