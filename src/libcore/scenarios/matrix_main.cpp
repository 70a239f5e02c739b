// Runs the fault matrix with fixed seeds: every fault at every step of a write, a read and a failover, alone and
// followed by a second fault. Prints for each cell the number of cases, of cases in which a fault was injected, and of
// cases with violated guarantees. Exits with status 1 if any guarantee was violated.

#include "libcore/scenarios/group_scenario.h"
#include <cstdlib>
#include <fmt/format.h>

using namespace catkinlock::scenarios;

namespace {

constexpr std::uint64_t firstSeed = 20261204;

// Results for one fault at one step.
struct Cell {
    unsigned cases = 0;
    // Cases in which a fault was injected.
    unsigned hits = 0;
    // Cases in which a guarantee was violated.
    unsigned violations = 0;
};

// Picks the second fault of a pair and the step at which it is injected from the seed.
FaultPlan secondFault(std::uint64_t seed)
{
    return { static_cast<Fault>(1 + seed % (faultCount - 1)), static_cast<Step>(1 + seed / 7 % (stepCount - 1)),
        static_cast<unsigned>(2 + seed / 3 % 9) };
}

// Picks the occurrence of the step at which the fault is injected. Steps of an election occur only a few times in a
// run.
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
    unsigned casesPerCell = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 20;
    unsigned total = 0;
    unsigned violations = 0;
    fmt::print("{:<28}", "fault \\ step (cases/hit/violations)");
    for (int step = 0; step < stepCount; ++step)
        fmt::print("{:>17}", stepName(static_cast<Step>(step)));
    fmt::print("\n");
    for (int fault = 1; fault < faultCount; ++fault) {
        fmt::print("{:<35}", faultName(static_cast<Fault>(fault)));
        for (int step = 0; step < stepCount; ++step) {
            Cell cell;
            for (unsigned i = 0; i < casesPerCell; ++i) {
                std::uint64_t seed
                    = firstSeed + i + 1000u * static_cast<unsigned>(step) + 100000u * static_cast<unsigned>(fault);
                auto injectionStep = static_cast<Step>(step);
                std::vector<FaultPlan> plans { { static_cast<Fault>(fault), injectionStep,
                    occurrenceOf(injectionStep, seed) } };
                if (i % 2)
                    plans.push_back(secondFault(seed));
                auto result = runGroupScenario(seed, plans);
                ++cell.cases;
                cell.hits += result.faultInjected;
                cell.violations += !result.violations.empty();
                for (const std::string& violation : result.violations)
                    fmt::print(stderr, "seed {} fault {} step {}: {}\n", seed, fault, step, violation);
            }
            total += cell.cases;
            violations += cell.violations;
            fmt::print("{:>17}", fmt::format("{}/{}/{}", cell.cases, cell.hits, cell.violations));
        }
        fmt::print("\n");
    }
    fmt::print("{} cases, {} with violations\n", total, violations);
    return violations ? EXIT_FAILURE : EXIT_SUCCESS;
}
