// Benchmark program. Runs the measurements that are named on the command line, or all of them without arguments, and
// prints each result as one line of JSON. "capacity" selects "databases" too.

#include "bench/capacity.h"
#include "bench/request_path.h"
#include <array>
#include <string>
#include <vector>

using namespace catkinlock::bench;

namespace {

struct Measurement {
    const char* name;
    void (*run)();
};

constexpr std::array<Measurement, 7> measurements { {
    { "path", &measureRequestPath },
    { "replicas", &measureReplicaReads },
    { "failover", &measureFailover },
    { "rates", &measureRates },
    { "configuration", &measureConfiguration },
    { "capacity", &measureControlCost },
    { "databases", &measureDatabaseCost },
} };

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> requestedNames(argv + 1, argv + argc);
    for (const Measurement& measurement : measurements) {
        bool selected = requestedNames.empty();
        for (const std::string& requested : requestedNames)
            selected = selected || requested == measurement.name
                || (requested == "capacity" && measurement.name == std::string("databases"));
        if (selected)
            measurement.run();
    }
    return 0;
}
