#include "libsession/health_recorder.h"
#include "libsession/primary_evidence.h"
#include "libsession/role_watch.h"
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };
const char* const memberId = "m";

MemberObservation observationOf(const HealthRecorder& recorder) { return { memberId, "orders", recorder.health() }; }

// The verdict of an instance that uses the member as primary of `term`.
PrimaryVerdict verdictOn(std::uint64_t term, const MemberObservation& observation,
    const std::map<std::string, PeerReport>& reports, TimePoint now)
{
    PrimaryEvidence evidence = collectEvidence({ memberId, term }, &observation, reports, now);
    return evaluatePrimary(evidence, {}, {}, now);
}

// Records writes without a reply, sent 100 ms apart from `since` on and given up after 500 ms, until `until`.
void loseWrites(HealthRecorder& recorder, TimePoint since, TimePoint until)
{
    for (TimePoint sentAt = since; sentAt + Milliseconds(500) <= until; sentAt += Milliseconds(100))
        recorder.recordFailure(sentAt, true, sentAt + Milliseconds(500));
}

// A recorder to which all writes were lost in term 1, in the two seconds before `start`, when term 2 began.
HealthRecorder badInTermOne()
{
    HealthRecorder recorder;
    recorder.beginTerm(1, start - Milliseconds(5000));
    loseWrites(recorder, start - Milliseconds(2000), start);
    return recorder;
}

Milliseconds anyDelay(int leastMs, int mostMs) { return Milliseconds(*rc::gen::inRange(leastMs, mostMs + 1)); }

// Several instances that observe one member over its terms: statements and connections in flight across the changes,
// views and copied observations that arrive late, and reports to each other that are delayed on the way.
class Schedule {
public:
    explicit Schedule(std::size_t instances)
        : instances(instances)
    {
    }

    using Action = std::function<void()>;
    void at(TimePoint when, Action action) { this->events.emplace(when, std::move(action)); }

    // Every instance learns of `term` at its own time, its request thread after its control thread. Later views show
    // the same term again.
    void beginTerm(std::uint64_t term, TimePoint when)
    {
        for (Instance& instance : this->instances) {
            TimePoint learnedAt = when + anyDelay(0, 600);
            TimePoint appliedAt = learnedAt + anyDelay(0, 100);
            this->at(learnedAt, [&instance, term] { instance.term = term; });
            this->at(appliedAt, [&instance, term, appliedAt] { instance.recorder.beginTerm(term, appliedAt); });
            for (TimePoint now = appliedAt; now < appliedAt + Milliseconds(5000); now += anyDelay(100, 1000))
                this->at(now, [&instance, term, now] {
                    if (instance.recorder.health().term == term)
                        instance.recorder.beginTerm(term, now);
                });
        }
    }

    // Between the times, every instance sends statements for as long as its view shows `term`. `outcome` records the
    // result of each.
    using Outcome = std::function<void(HealthRecorder&, TimePoint sentAt)>;
    void sendStatements(
        std::uint64_t term, TimePoint from, TimePoint until, Milliseconds maxInterval, const Outcome& outcome)
    {
        for (Instance& instance : this->instances) {
            for (TimePoint sentAt = from; sentAt < until; sentAt += anyDelay(50, static_cast<int>(maxInterval.count())))
                this->at(sentAt, [&instance, term, sentAt, outcome] {
                    if (instance.recorder.health().term == term)
                        outcome(instance.recorder, sentAt);
                });
        }
    }
    void reply(HealthRecorder& recorder, TimePoint sentAt, bool wrote, Duration took)
    {
        this->at(
            sentAt + took, [&recorder, sentAt, wrote, took] { recorder.recordReply(sentAt, wrote, sentAt + took); });
    }
    void fail(HealthRecorder& recorder, TimePoint sentAt, bool wrote, Duration took)
    {
        this->at(
            sentAt + took, [&recorder, sentAt, wrote, took] { recorder.recordFailure(sentAt, wrote, sentAt + took); });
    }

    // Between the times, observations are copied to the control threads, instances report to each other, and each
    // instance's verdict is passed to `check`.
    using Check = std::function<void(std::size_t instance, std::uint64_t term, PrimaryVerdict, TimePoint now)>;
    void observe(TimePoint from, TimePoint until, Milliseconds maxReportDelay, const Check& check)
    {
        for (TimePoint now = from; now < until; now += Milliseconds(50)) {
            for (std::size_t i = 0; i < this->instances.size(); ++i) {
                Instance& instance = this->instances[i];
                Duration copyDelay = anyDelay(0, 100);
                Duration reportDelay = anyDelay(0, static_cast<int>(maxReportDelay.count()));
                Instance& peer = this->instances[*rc::gen::inRange<std::size_t>(0, this->instances.size())];
                this->at(now, [=, this, &instance, &peer] {
                    MemberObservation copy = observationOf(instance.recorder);
                    this->at(now + copyDelay, [&instance, copy] { instance.copied = copy; });
                    PeerReport report = reportOn(memberId, &instance.copied, now);
                    report.receivedAt = now + reportDelay;
                    if (&peer != &instance)
                        this->at(report.receivedAt, [&peer, i, report] { peer.reports[std::to_string(i)] = report; });
                    check(i, instance.term, verdictOn(instance.term, instance.copied, instance.reports, now), now);
                });
            }
        }
    }

    void run()
    {
        while (!this->events.empty()) {
            auto event = this->events.extract(this->events.begin());
            event.mapped()();
        }
    }

private:
    struct Instance {
        HealthRecorder recorder;
        // The control thread's copy of the recorder's health, and the term in its view.
        MemberObservation copied;
        std::uint64_t term = 0;
        std::map<std::string, PeerReport> reports;
    };
    std::vector<Instance> instances;
    std::multimap<TimePoint, Action> events;
};

} // namespace

// The log says how old the evidence is and which term it belongs to.
TEST(MemberHealth, KnowsItsEarliestFailureAndTheTermOfIt)
{
    HealthRecorder recorder;
    recorder.beginTerm(3, start - Milliseconds(1000));
    EXPECT_EQ(recorder.health().earliestFailure(), std::nullopt);
    recorder.recordFailure(start, true, start);
    recorder.recordFailure(start, false, start + Milliseconds(100));
    recorder.recordReply(start, false, start + Milliseconds(200));
    recorder.recordFailure(start, false, start + Milliseconds(300));
    EXPECT_EQ(recorder.health().earliestFailure(), start);
    EXPECT_EQ(recorder.health().term, 3u);
}

TEST(PrimaryEvidence, DoesNotReplaceAPrimaryForWritesThatItLostInAnEarlierTerm)
{
    HealthRecorder recorder = badInTermOne();
    ASSERT_EQ(verdictOn(1, observationOf(recorder), {}, start), PrimaryVerdict::Replace);
    recorder.beginTerm(2, start);
    EXPECT_EQ(verdictOn(2, observationOf(recorder), {}, start + Milliseconds(100)), PrimaryVerdict::NoAction);
    EXPECT_EQ(recorder.health().lostWrites, 0u);
}

TEST(PrimaryEvidence, DoesNotReplaceAPrimaryForAnObservationCopiedBeforeItsTermBegan)
{
    MemberObservation copied = observationOf(badInTermOne());
    EXPECT_EQ(verdictOn(2, copied, {}, start + Milliseconds(100)), PrimaryVerdict::NoAction);
}

TEST(PrimaryEvidence, DoesNotReplaceAPrimaryForFailuresFromItsTimeAsAReplica)
{
    HealthRecorder recorder;
    for (int i = 0; i < 20; ++i)
        recorder.recordFailure(start - Milliseconds(2000 - 100 * i), false, start - Milliseconds(1900 - 100 * i));
    recorder.beginTerm(2, start);
    EXPECT_EQ(verdictOn(2, observationOf(recorder), {}, start + Milliseconds(100)), PrimaryVerdict::NoAction);
}

TEST(PrimaryEvidence, DoesNotCountWritesThatWereSentBeforeTheTermBegan)
{
    HealthRecorder recorder = badInTermOne();
    recorder.beginTerm(2, start);
    for (int i = 1; i < 20; ++i)
        recorder.recordFailure(start - Milliseconds(i), true, start + Milliseconds(100 * i));
    EXPECT_EQ(verdictOn(2, observationOf(recorder), {}, start + Milliseconds(1900)), PrimaryVerdict::NoAction);
    // Nor does a late reply excuse a primary that fails in the new term.
    loseWrites(recorder, start, start + Milliseconds(2000));
    recorder.recordReply(start - Milliseconds(1), true, start + Milliseconds(2000));
    EXPECT_EQ(verdictOn(2, observationOf(recorder), {}, start + Milliseconds(2000)), PrimaryVerdict::Replace);
}

TEST(PrimaryEvidence, IgnoresReportsOfPeersAboutAnotherTerm)
{
    HealthRecorder recorder;
    recorder.beginTerm(2, start);
    std::map<std::string, PeerReport> reports;
    reports["earlier"] = { { memberId, 1 }, true, true, start };
    reports["previous release"] = { { memberId, 0 }, true, true, start };
    reports["other member"] = { { "n", 2 }, true, true, start };
    reports["suspects"] = { { memberId, 2 }, true, false, start };
    reports["reaches"] = { { memberId, 2 }, false, true, start };
    MemberObservation observation = observationOf(recorder);
    PrimaryEvidence evidence = collectEvidence({ memberId, 2 }, &observation, reports, start + Milliseconds(100));
    EXPECT_EQ(evidence.othersSuspecting, 1u);
    EXPECT_EQ(evidence.othersReaching, 1u);
}

TEST(PrimaryEvidence, ReportsToPeersTheTermThatItsObservationBelongsTo)
{
    HealthRecorder recorder = badInTermOne();
    MemberObservation bad = observationOf(recorder);
    EXPECT_EQ(reportOn(memberId, &bad, start).primary, (PrimaryTerm { memberId, 1 }));
    EXPECT_TRUE(reportOn(memberId, &bad, start).suspects);
    recorder.beginTerm(2, start);
    MemberObservation fresh = observationOf(recorder);
    EXPECT_EQ(reportOn(memberId, &fresh, start).primary, (PrimaryTerm { memberId, 2 }));
    EXPECT_FALSE(reportOn(memberId, &fresh, start).suspects);
}

TEST(PrimaryEvidence, KeepsAvoidingAFailingMemberForReadsWhenATermBegins)
{
    HealthRecorder recorder = badInTermOne();
    recorder.beginTerm(2, start);
    EXPECT_TRUE(recorder.isSuspect(start + Milliseconds(100)));
    recorder.recordFailure(start - Milliseconds(100), false, start + Milliseconds(1000));
    EXPECT_TRUE(recorder.isSuspect(start + Milliseconds(2000)));
    recorder.recordReply(start + Milliseconds(900), false, start + Milliseconds(1100));
    EXPECT_FALSE(recorder.isSuspect(start + Milliseconds(1200)));
}

TEST(PrimaryEvidence, KeepsTheFailuresOfATermWhenTheViewChanges)
{
    HealthRecorder recorder = badInTermOne();
    MemberObservation before = observationOf(recorder);
    recorder.beginTerm(1, start);
    EXPECT_EQ(recorder.health(), before.health);
    EXPECT_EQ(verdictOn(1, observationOf(recorder), {}, start), PrimaryVerdict::Replace);
}

TEST(PrimaryEvidence, ReplacesAPrimaryThatLosesItsWritesInItsNewTermToo)
{
    DetectionTimes times;
    HealthRecorder recorder = badInTermOne();
    recorder.beginTerm(2, start);
    TimePoint firstLost = start + Milliseconds(500);
    TimePoint replaced;
    for (TimePoint now = firstLost; replaced == TimePoint(); now += Milliseconds(10)) {
        ASSERT_LT(now, start + Milliseconds(5000));
        if ((now - start) % Milliseconds(100) == Duration(0))
            recorder.recordFailure(now - Milliseconds(500), true, now);
        if (verdictOn(2, observationOf(recorder), {}, now) == PrimaryVerdict::Replace)
            replaced = now;
    }
    EXPECT_EQ(replaced - firstLost, times.lostAfter);
}

// A request to the leader to replace a primary is compared with the primary in use; it may have been sent before the
// member was promoted in place.
TEST(PrimaryEvidence, TellsThePrimaryInUseFromTheSameMemberInAnEarlierTerm)
{
    FleetView view;
    TargetRecord member;
    member.id = memberId;
    view.targets.set(member);
    view.groups["orders"] = { GroupRecord::State::Serving, memberId, 1 };
    PrimaryTerm requested = primaryInUse(view, "orders");
    EXPECT_EQ(requested, (PrimaryTerm { memberId, 1 }));
    view.groups["orders"].state = GroupRecord::State::Replacing;
    EXPECT_EQ(primaryInUse(view, "orders"), (PrimaryTerm { "", 1 }));
    view.groups["orders"] = { GroupRecord::State::Serving, memberId, 2 };
    EXPECT_NE(primaryInUse(view, "orders"), requested);
    view.groups.clear();
    EXPECT_EQ(primaryInUse(view, "orders"), (PrimaryTerm { "", 0 }));
}

TEST(RoleWatch, CountsFromTheStartOfTheTermInWhichThePrimaryLostItsRole)
{
    RoleWatch watch;
    EXPECT_EQ(watch.observe({ memberId, 1 }, true, start), Duration(0));
    EXPECT_EQ(watch.observe({ memberId, 1 }, true, start + Milliseconds(300)), Milliseconds(300));
    EXPECT_EQ(watch.observe({ memberId, 2 }, true, start + Milliseconds(400)), Duration(0));
    EXPECT_EQ(watch.observe({ memberId, 2 }, true, start + Milliseconds(600)), Milliseconds(200));
    EXPECT_EQ(watch.observe({ memberId, 2 }, false, start + Milliseconds(700)), Duration(0));
    EXPECT_EQ(watch.observe({ memberId, 2 }, true, start + Milliseconds(800)), Duration(0));
}

RC_GTEST_PROP(PrimaryEvidence, NeverReplacesAPrimaryThatHasWorkedSinceItsTermBegan, ())
{
    Schedule schedule(*rc::gen::inRange<std::size_t>(1, 7));
    auto terms = *rc::gen::inRange<std::uint64_t>(2, 5);
    TimePoint began = start;
    for (std::uint64_t term = 1; term < terms; ++term) {
        schedule.beginTerm(term, began);
        TimePoint ends = began + anyDelay(1000, 3000);
        bool answersReads = *rc::gen::arbitrary<bool>();
        schedule.sendStatements(
            term, began, ends + Milliseconds(700), Milliseconds(150), [&](HealthRecorder& recorder, TimePoint sentAt) {
                if (answersReads && *rc::gen::arbitrary<bool>())
                    schedule.reply(recorder, sentAt, false, anyDelay(1, 2000));
                else
                    schedule.fail(recorder, sentAt, *rc::gen::arbitrary<bool>(), anyDelay(1, 2500));
            });
        began = ends;
    }
    schedule.beginTerm(terms, began);
    TimePoint end = began + Milliseconds(4000);
    // With few statements there are few successes among what was sent before the term began.
    Milliseconds maxInterval = *rc::gen::element(Milliseconds(150), Milliseconds(3000));
    schedule.sendStatements(terms, began, end, maxInterval, [&](HealthRecorder& recorder, TimePoint sentAt) {
        schedule.reply(recorder, sentAt, *rc::gen::arbitrary<bool>(), anyDelay(1, 300));
    });
    bool sawReplacement = false;
    auto check = [&](std::size_t, std::uint64_t term, PrimaryVerdict verdict, TimePoint) {
        if (term == terms)
            RC_ASSERT(verdict == PrimaryVerdict::NoAction);
        sawReplacement = sawReplacement || verdict == PrimaryVerdict::Replace;
    };
    schedule.observe(start, end, Milliseconds(1500), check);
    schedule.run();
    RC_CLASSIFY(sawReplacement, "an earlier term was bad enough to be replaced");
}

RC_GTEST_PROP(PrimaryEvidence, ReplacesAPrimaryThatFailsInItsNewTermWithinTheDetectionTimes, ())
{
    constexpr Milliseconds maxInterval { 150 };
    constexpr Milliseconds maxTimeout { 700 };
    constexpr Milliseconds maxReportDelay { 200 };
    // For how long a report counts that a peer made before its first loss.
    constexpr Milliseconds reportLifetime { 1000 };
    // For one copy and one check.
    constexpr Milliseconds checkDelay { 200 };
    DetectionTimes times;
    std::size_t instances = *rc::gen::inRange<std::size_t>(1, 7);
    Schedule schedule(instances);
    schedule.beginTerm(1, start);
    TimePoint secondTerm = start + Milliseconds(2500);
    schedule.sendStatements(1, start, secondTerm + Milliseconds(700), maxInterval,
        [&](HealthRecorder& recorder, TimePoint sentAt) { schedule.fail(recorder, sentAt, true, anyDelay(60, 700)); });
    schedule.beginTerm(2, secondTerm);
    TimePoint failsAt = secondTerm + anyDelay(700, 2000);
    bool answersReads = *rc::gen::arbitrary<bool>();
    Duration firstLossBy = maxInterval + maxTimeout;
    Duration lostAfter = times.lostAfter + (answersReads ? times.stalledAfter - times.suspectAfter : Milliseconds(0));
    TimePoint bound
        = failsAt + firstLossBy + std::max<Duration>(lostAfter, maxReportDelay + reportLifetime) + checkDelay;
    schedule.sendStatements(2, secondTerm, bound, maxInterval, [&](HealthRecorder& recorder, TimePoint sentAt) {
        if (sentAt < failsAt)
            return schedule.reply(recorder, sentAt, true, anyDelay(1, 50));
        schedule.fail(recorder, sentAt, true, anyDelay(60, 700));
        if (answersReads)
            schedule.reply(recorder, sentAt, false, anyDelay(1, 50));
    });
    std::vector<bool> replaced(instances);
    schedule.observe(start, bound, maxReportDelay,
        [&](std::size_t instance, std::uint64_t term, PrimaryVerdict verdict, TimePoint now) {
            if (term != 2 || verdict != PrimaryVerdict::Replace)
                return;
            RC_ASSERT(now >= failsAt + times.lostAfter);
            replaced[instance] = true;
        });
    schedule.run();
    for (bool one : replaced)
        RC_ASSERT(one);
}
