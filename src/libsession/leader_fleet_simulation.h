#pragma once

#include "catkinlock/clock.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock::simulation {

/// A time at which a group's primary has to be replaced. Times count from the start of the run.
struct Need {
    enum class Kind {
        /// The primary answers nothing.
        Dark,
        /// The primary answers reads; its writes get no reply.
        LosesWrites,
        /// The primary is draining. It answers all the while.
        Draining,
    };
    int group = 0;
    Milliseconds from { 0 };
    /// How long the need lasts if no replacement ends it.
    Milliseconds lasts { 0 };
    Kind kind = Kind::Dark;
    /// False if the promoted member is no better, so that the need lasts after a replacement.
    bool curable = true;
};

/// A disruption of one instance, of its links or of the store.
struct Disruption {
    enum class Kind {
        /// Killed; the instance starts again under the same name when the disruption ends.
        Kill,
        /// Told to leave (SIGTERM); exits when its work has ended, and starts again when the disruption ends, or later.
        Leave,
        Suspend,
        /// All links of the instance lose everything.
        Cut,
        /// The instance's links to other instances lose half of the messages.
        Lossy,
        /// The store refuses all calls of the instance.
        TurnedAway,
        /// The store is unreachable for all instances.
        Outage,
        /// Half of the answers of the store and of the platform are lost. A write whose answer is lost takes effect at
        /// once or up to 6 s later, if its condition still holds.
        LostAnswers,
    };
    Kind kind = Kind::Kill;
    /// Number of the instance; the holder of the stored leader lease if negative.
    int instance = -1;
    Milliseconds from { 0 };
    Milliseconds lasts { 0 };
};

/// The steps of a replacement and of the holder's tenure. A plan may disrupt an instance at the first one of a kind.
enum class Step {
    Grant,
    WriteLease,
    ReadGroup,
    WriteReplacing,
    Fence,
    Order,
    AwaitLeadership,
    AwaitViews,
    WriteServing,
    /// The holder has no replacement in progress any more.
    Idle,
    WriteIdle,
    Resume,
    Renew,
    Release,
};

/// A disruption of the instance that is first to start `step`, or the loss of the answer in that step.
struct StepFault {
    enum class Kind {
        Kill,
        KillForGood,
        Leave,
        Suspend,
        LoseAnswer,
        LoseAnswerAndDelayEffect,
        /// Killed while its order is held up on the way, for up to the timeout of the call.
        KillWithOrderOnItsWay,
    };
    Step step = Step::Grant;
    Kind kind = Kind::Kill;
    /// Time from the start of the step to the fault. With 0 the step's request is not sent.
    Milliseconds after { 0 };
};

struct FleetPlan {
    int instances = 2;
    int groups = 1;
    /// Seed of all delays.
    unsigned seed = 0;
    /// Greatest share of its range that a delay takes, in percent.
    int slowness = 100;
    /// Greatest delay of an instance's copy of the store.
    Milliseconds maxCopyDelay { 300 };
    Milliseconds length { 25'000 };
    std::vector<Need> needs;
    std::vector<Disruption> disruptions;
    std::optional<StepFault> stepFault;
};

/// A request to promote a member, when it reached the platform.
struct Order {
    Milliseconds at { 0 };
    int instance = 0;
    /// Number of the run of the instance that sent it.
    int run = 0;
    int group = 0;
    std::int64_t fencingToken = 0;
    /// True if the sender's lease existed in the store and held the leader key when the request was sent.
    bool leaseHeld = false;

    auto operator<=>(const Order&) const = default;
};

/// A span in which an instance, or the store if `instance` is negative, was disrupted.
struct DisruptedSpan {
    int instance = -1;
    Milliseconds from { 0 };
    Milliseconds to { 0 };
};

struct FleetRun {
    /// In the order in which they reached the platform.
    std::vector<Order> orders;
    std::vector<DisruptedSpan> disrupted;
    /// When each group's last record was written; std::nullopt if the group has no serving primary at the end.
    std::vector<std::optional<Milliseconds>> servingAt;
    /// When `stepFault` happened; std::nullopt if no instance started that step.
    std::optional<Milliseconds> stepFaultAt;
    /// The run's events, one a line, to read a counterexample by.
    std::string events;

    /// True if the instance was in touch at `at`: neither it nor the store was disrupted in the 4,000 ms before.
    bool inTouch(int instance, Milliseconds at) const;
};

/// Plays a plan in virtual time: each instance has a `LeaderTenure` and does what `Promoter` and `LeaderLease` do with
/// it. The same plan gives the same run.
FleetRun simulateFleet(const FleetPlan&);

} // namespace catkinlock::simulation
