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

/// Steps of a write, a read and a failover at which a fault can be injected.
enum class Step {
    Idle,
    CommitSent,
    CommitExecuted,
    CommitResponded,
    Acknowledged,
    ReadSent,
    FenceSent,
    Fenced,
    PromoteSent,
    Promoted,
    FollowSent,
};

/// Faults that a scenario can inject.
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
    ResponsesLost,
    MessagesDelayed,
    MessagesDuplicated,
};

inline constexpr int stepCount = static_cast<int>(Step::FollowSent) + 1;
inline constexpr int faultCount = static_cast<int>(Fault::MessagesDuplicated) + 1;

const char* stepName(Step);
const char* faultName(Fault);

/// A fault and the occurrence of a step at which it is injected.
struct FaultPlan {
    Fault fault = Fault::None;
    Step step = Step::Idle;
    /// Counted from 1 over the whole run.
    unsigned occurrence = 1;
};

/// Result of one run.
struct ScenarioResult {
    /// Guarantees that were violated, each named once.
    std::vector<std::string> violations;
    /// Writes that were acknowledged to their callers.
    unsigned acknowledged = 0;
    /// Writes that timed out and were then settled.
    unsigned unknown = 0;
    /// Writes that were settled as not run.
    unsigned settledNotRun = 0;
    /// Reads that a member executed.
    unsigned reads = 0;
    /// Terms in which a primary was promoted.
    unsigned terms = 0;
    bool faultInjected = false;
};

/// Deliberate errors in the decisions, which a test enables to verify that the checker detects them.
struct Mutation {
    /// Acknowledge a write as soon as the primary has committed it.
    bool acknowledgeWithoutMajority = false;
    /// Compare log sequence numbers of a majority without regard to their terms.
    bool acknowledgeAcrossTerms = false;
    /// Promote the fenced member with the shortest log.
    bool promoteOldest = false;
    /// Read from any member, whatever its position.
    bool readAnyMember = false;
    /// Serve reads with a maximum age although no fresh position is proven.
    bool trustUnprovenSamples = false;
    /// Report a write as not run without storing the record that prevents it from running later.
    bool settleWithoutRecord = false;
};

/// Simulates one database group and its gateways under a virtual clock. Decisions are made by the real GroupState and
/// Failover; messages are delayed, lost or duplicated, and the planned faults are injected. Afterwards the outcomes
/// that were reported to callers are checked against the final contents of the group.
ScenarioResult runGroupScenario(std::uint64_t seed, const std::vector<FaultPlan>&, const Mutation& = {});

} // namespace catkinlock::scenarios
