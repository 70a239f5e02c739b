#pragma once

#include "catkinlock/failover.h"
#include "catkinlock/group_state.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace catkinlock::scenarios {

/// Moments at which a fault strikes.
enum class Step {
    Idle,
    CommitSent,
    CommitExecuted,
    CommitAnswered,
    Acknowledged,
    ReadSent,
    FenceSent,
    Fenced,
    PromoteSent,
    Promoted,
    FollowSent,
};

/// Faults of the matrix.
enum class Fault {
    None,
    PrimaryCutFromReplicas,
    PrimaryCutFromGateways,
    PrimaryCutFromAll,
    PrimaryFrozenShortly,
    PrimaryFrozenLong,
    PrimaryCrashed,
    ReplicaFarBehind,
    GatewayFrozen,
    AnswersLost,
    MessagesLate,
    MessagesDoubled,
};

inline constexpr int stepCount = static_cast<int>(Step::FollowSent) + 1;
inline constexpr int faultCount = static_cast<int>(Fault::MessagesDoubled) + 1;

const char* stepName(Step);
const char* faultName(Fault);

/// A fault and the occurrence of a step at which it strikes.
struct FaultPlan {
    Fault fault = Fault::None;
    Step step = Step::Idle;
    unsigned occurrence = 1;
};

/// What a run came to. `broken` names each promise that was broken.
struct ScenarioResult {
    std::vector<std::string> broken;
    unsigned acknowledged = 0;
    unsigned unknown = 0;
    unsigned settledNotRun = 0;
    unsigned reads = 0;
    unsigned terms = 0;
    bool struck = false;
};

/// Changes of a decision that a test makes to see that the checker catches them.
struct Mutation {
    bool acknowledgeWithoutMajority = false;
    bool acknowledgeAcrossTerms = false;
    bool promoteOldest = false;
    bool readAnywhere = false;
    bool trustUnprovedSamples = false;
    bool settleWithoutRecord = false;
};

/// Runs small fakes of one database group and its gateways under a virtual clock: the project's GroupState and Failover
/// decide, messages between them are late, lost or doubled, and faults strike at planned steps. The history of what
/// callers were told is then judged against what the group ended up with.
ScenarioResult runGroupScenario(std::uint64_t seed, const std::vector<FaultPlan>&, const Mutation& = {});

} // namespace catkinlock::scenarios
