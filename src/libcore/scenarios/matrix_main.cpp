// Runs the fault matrix from fixed seeds: every fault at every step of a write, a read and a failover, alone and
// followed by a second one. Prints cases and breaks for each cell; exits 1 if any promise broke.

#include "libcore/scenarios/group_scenario.h"
#include <cstdlib>
#include <fmt/format.h>

using namespace catkinlock::scenarios;

namespace {

constexpr std::uint64_t firstSeed = 20261204;

struct Cell {
    unsigned cases = 0;
    unsigned struck = 0;
    unsigned broken = 0;
};

// The second fault of a pair strikes a random later moment of another kind.
FaultPlan secondFault(std::uint64_t seed)
{
    return { static_cast<Fault>(1 + seed % (faultCount - 1)), static_cast<Step>(1 + seed / 7 % (stepCount - 1)),
        static_cast<unsigned>(2 + seed / 3 % 9) };
}

unsigned occurrenceOf(Step step, std::uint64_t seed)
{
    bool isElection = step >= Step::FenceSent;
    if (step == Step::Idle)
        return 1;
    return static_cast<unsigned>(isElection ? 1 + seed % 4 : 10 + seed % 40);
}

} // namespace

int main(int argc, char** argv)
{
    unsigned perCell = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 20;
    unsigned total = 0;
    unsigned broken = 0;
    fmt::print("{:<28}", "fault \\ step (cases/struck/broken)");
    for (int step = 0; step < stepCount; ++step)
        fmt::print("{:>17}", stepName(static_cast<Step>(step)));
    fmt::print("\n");
    for (int fault = 1; fault < faultCount; ++fault) {
        fmt::print("{:<35}", faultName(static_cast<Fault>(fault)));
        for (int step = 0; step < stepCount; ++step) {
            Cell cell;
            for (unsigned i = 0; i < perCell; ++i) {
                std::uint64_t seed
                    = firstSeed + i + 1000u * static_cast<unsigned>(step) + 100000u * static_cast<unsigned>(fault);
                auto which = static_cast<Step>(step);
                std::vector<FaultPlan> plans { { static_cast<Fault>(fault), which, occurrenceOf(which, seed) } };
                if (i % 2)
                    plans.push_back(secondFault(seed));
                auto result = runGroupScenario(seed, plans);
                ++cell.cases;
                cell.struck += result.struck;
                cell.broken += !result.broken.empty();
                for (const std::string& promise : result.broken)
                    fmt::print(stderr, "seed {} fault {} step {}: {}\n", seed, fault, step, promise);
            }
            total += cell.cases;
            broken += cell.broken;
            fmt::print("{:>17}", fmt::format("{}/{}/{}", cell.cases, cell.struck, cell.broken));
        }
        fmt::print("\n");
    }
    fmt::print("{} cases, {} broken\n", total, broken);
    return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
