#include "catkinlock/store_revision.h"
#include "libsession/relay_choice.h"
#include "libsession/slot_directory.h"
#include "libsession/view_builder.h"
#include <gtest/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };

// Documents in a format of this test: "VERSION" and "SERVICE primary|replica draining|ready".
class PlainDocuments : public DocumentSource {
public:
    std::string tablesKey() const override { return "tables"; }
    std::string targetPrefix() const override { return "members/"; }
    std::string evacuationPrefix() const override { return "evacuate/"; }
    tl::expected<void, Error> parseEvacuation(const std::string&) const override { return {}; }
    tl::expected<Tables, Error> parseTables(const std::string& text) const override
    {
        if (text.empty())
            return tl::unexpected(Error { "empty" });
        Tables tables;
        tables.revision = std::stoll(text);
        return tables;
    }
    tl::expected<TargetRecord, Error> parseTarget(const std::string& id, const std::string& text) const override
    {
        if (text.empty())
            return tl::unexpected(Error { "empty" });
        return TargetRecord { id, "s", "127.0.0.1:1", "", 1, text.ends_with("draining"), text.starts_with("primary"),
            0 };
    }
};

std::map<std::string, KeyValue> copyOf(std::vector<KeyValue> values)
{
    std::map<std::string, KeyValue> copy;
    for (KeyValue& value : values)
        copy[value.key] = value;
    return copy;
}

ViewBuilder makeBuilder() { return ViewBuilder(std::make_shared<PlainDocuments>()); }

} // namespace

TEST(ViewBuilder, NeverGoesBackToAnOlderConfiguration)
{
    ViewBuilder builder = makeBuilder();
    EXPECT_EQ(builder.build(copyOf({ { "tables", "7", 10 } }), 10, start).tables->revision, 7);
    EXPECT_EQ(builder.build(copyOf({ { "tables", "5", 11 } }), 11, start).tables->revision, 7);
    EXPECT_EQ(builder.build({}, 12, start).tables->revision, 7);
}

TEST(ViewBuilder, KeepsTheLastConfigurationWhenTheNextCannotBeRead)
{
    ViewBuilder builder = makeBuilder();
    builder.build(copyOf({ { "tables", "7", 10 } }), 10, start);
    EXPECT_EQ(builder.build(copyOf({ { "tables", "", 11 } }), 11, start).tables->revision, 7);
    EXPECT_EQ(builder.takeFaults().size(), 1u);
}

TEST(ViewBuilder, AnInstanceThatHasLeftIsNotRegistered)
{
    ViewBuilder builder = makeBuilder();
    std::string entry = R"({"peer":"10.0.0.1:7560","data_centre":"here","cores":0.5})";
    FleetView before = builder.build(copyOf({ { "catkinlock/instance/a", entry, 1 } }), 1, start);
    EXPECT_TRUE(before.lists("a", "10.0.0.1:7560"));
    EXPECT_FALSE(before.lists("a", "10.0.0.2:7560"));
    EXPECT_EQ(before.instances.at("a").cores, 0.5);
    FleetView after = builder.build(copyOf({ { "catkinlock/instance/a", R"({"left":true})", 2 } }), 2, start);
    EXPECT_TRUE(after.instances.empty());
    EXPECT_TRUE(after.leftInstances.count("a"));
}

TEST(SlotDirectory, TheInstancesWithTheMostCoresShareTheSlotsIfThereAreAFew)
{
    FleetView view;
    for (int number = 0; number < 20; ++number)
        view.instances["small-" + std::to_string(number)] = { "10.0.0.1:1", "here", 0.1 };
    view.instances["large-0"] = { "10.0.0.2:1", "here", 0.5 };
    view.instances["large-1"] = { "10.0.0.3:1", "here", 0.5 };
    EXPECT_EQ(slotCandidates(view, "large-0").size(), 22u);
    view.instances["large-2"] = { "10.0.0.4:1", "here", 0.5 };
    EXPECT_EQ(slotCandidates(view, "small-0"), (std::vector<std::string> { "large-0", "large-1", "large-2" }));
    // An instance that isn't registered yet keeps the slots of its earlier run.
    EXPECT_EQ(slotCandidates(view, "new").size(), 4u);
    // Without the settings all are equal.
    for (auto& [name, instance] : view.instances)
        instance.cores = 0;
    EXPECT_EQ(slotCandidates(view, "small-0").size(), 23u);
}

TEST(ViewBuilder, KeepsAnExpiredMemberForAShortTimeUnlessItWasDraining)
{
    ViewBuilder builder = makeBuilder();
    builder.build(copyOf({ { "members/a", "primary ready", 1 }, { "members/b", "replica draining", 2 } }), 2, start);
    FleetView soon = builder.build({}, 3, start + Milliseconds(100));
    EXPECT_EQ(soon.targets.size(), 1u);
    EXPECT_TRUE(soon.targets.contains("a"));
    EXPECT_TRUE(builder.hasPendingRemovals());
    EXPECT_TRUE(builder.build({}, 3, start + Milliseconds(3000)).targets.empty());
    EXPECT_FALSE(builder.hasPendingRemovals());
}

TEST(ViewBuilder, TakesAConfigurationOfALaterEraAtALowerRevision)
{
    ViewBuilder builder = makeBuilder();
    std::int64_t restored = StoreRevision { 1, 3 }.sequence();
    EXPECT_EQ(builder.build(copyOf({ { "tables", "7", 10 } }), 10, start).tables->revision, 7);
    EXPECT_EQ(builder.build(copyOf({ { "tables", "9", restored } }), restored, start).tables->revision, 9);
    EXPECT_EQ(builder.build(copyOf({ { "tables", "", restored + 1 } }), restored + 1, start).tables->revision, 9);
}

TEST(ViewBuilder, KeepsTheNewestConfigurationWhileARestoredStoreHasAnOlderOne)
{
    ViewBuilder builder = makeBuilder();
    std::int64_t restored = StoreRevision { 1, 3 }.sequence();
    builder.build(copyOf({ { "tables", "7", 10 } }), 10, start);
    EXPECT_FALSE(builder.lostConfiguration());
    EXPECT_EQ(builder.build(copyOf({ { "tables", "5", restored } }), restored, start).tables->revision, 7);
    ASSERT_TRUE(builder.lostConfiguration());
    EXPECT_EQ(builder.lostConfiguration()->value, "7");
    EXPECT_EQ(builder.build({}, restored + 1, start).tables->revision, 7);
    EXPECT_TRUE(builder.lostConfiguration());
    EXPECT_EQ(builder.build(copyOf({ { "tables", "7", restored + 2 } }), restored + 2, start).tables->revision, 7);
    EXPECT_FALSE(builder.lostConfiguration());
}

TEST(ViewBuilder, LearnsOnlyAValidAndNewerConfigurationFromAPeer)
{
    ViewBuilder builder = makeBuilder();
    auto values = copyOf({ { "tables", "7", 10 } });
    builder.build(values, 10, start);
    EXPECT_FALSE(builder.learn({ "tables", "", 0, false }));
    EXPECT_FALSE(builder.learn({ "tables", "6", 0, false }));
    EXPECT_FALSE(builder.learn({ "members/a", "9", 0, false }));
    EXPECT_TRUE(builder.learn({ "tables", "9", 0, false }));
    EXPECT_EQ(builder.build(values, 10, start).tables->revision, 9);
}

TEST(ViewBuilder, KeepsTheNewestGroupRecordUntilARestoredStoreHasItAgain)
{
    ViewBuilder builder = makeBuilder();
    const char* key = "catkinlock/group/s";
    std::string before = writeGroupRecord({ GroupRecord::State::Serving, "a", 1 });
    GroupRecord promoted { GroupRecord::State::Serving, "b", 2 };
    std::int64_t restored = StoreRevision { 1, 3 }.sequence();
    builder.build(copyOf({ { key, writeGroupRecord(promoted), 10 } }), 10, start);
    EXPECT_EQ(builder.build(copyOf({ { key, before, restored } }), restored, start).groups["s"], promoted);
    EXPECT_EQ(builder.lostRecords(), (std::vector<KeyValue> { { key, writeGroupRecord(promoted), restored } }));
    EXPECT_EQ(builder.build({}, restored + 1, start).groups["s"], promoted);
    EXPECT_EQ(builder.lostRecords(), (std::vector<KeyValue> { { key, writeGroupRecord(promoted), 0 } }));
    // Another instance has written it, and a later replacement follows.
    auto written = copyOf({ { key, writeGroupRecord(promoted), restored + 2 } });
    EXPECT_EQ(builder.build(written, restored + 2, start).groups["s"], promoted);
    EXPECT_TRUE(builder.lostRecords().empty());
    GroupRecord replacing { GroupRecord::State::Replacing, "b", 2 };
    auto next = copyOf({ { key, writeGroupRecord(replacing), restored + 3 } });
    EXPECT_EQ(builder.build(next, restored + 3, start).groups["s"], replacing);
    EXPECT_TRUE(builder.lostRecords().empty());
}

TEST(ViewBuilder, AReplacementThatARestoredStoreHasForgottenGoesOn)
{
    ViewBuilder builder = makeBuilder();
    const char* key = "catkinlock/group/s";
    GroupRecord replacing { GroupRecord::State::Replacing, "a", 1 };
    std::int64_t restored = StoreRevision { 1, 3 }.sequence();
    builder.build(copyOf({ { key, writeGroupRecord(replacing), 10 } }), 10, start);
    auto older = copyOf({ { key, writeGroupRecord({ GroupRecord::State::Serving, "a", 1 }), restored } });
    EXPECT_EQ(builder.build(older, restored, start).groups["s"], replacing);
    GroupRecord serving { GroupRecord::State::Serving, "b", 2 };
    auto newer = copyOf({ { key, writeGroupRecord(serving), restored + 1 } });
    EXPECT_EQ(builder.build(newer, restored + 1, start).groups["s"], serving);
}

TEST(ViewBuilder, ADrainingMemberDoesNotComeBackWithAnOlderCopyOfTheStore)
{
    ViewBuilder builder = makeBuilder();
    std::int64_t restored = StoreRevision { 1, 3 }.sequence();
    builder.build(copyOf({ { "members/a", "replica draining", 8 }, { "members/b", "replica draining", 9 } }), 9, start);
    builder.build(copyOf({ { "members/a", "replica draining", 8 } }), 10, start);
    auto older
        = copyOf({ { "members/a", "replica ready", restored - 2 }, { "members/b", "replica ready", restored - 1 } });
    FleetView view = builder.build(older, restored, start);
    EXPECT_TRUE(view.targets.find("a")->draining);
    EXPECT_TRUE(view.targets.find("b")->draining);
    // The member has written its entry in the new era, so it runs again.
    older["members/b"] = { "members/b", "replica ready", restored + 1 };
    view = builder.build(older, restored + 1, start + Milliseconds(100));
    EXPECT_TRUE(view.targets.find("a")->draining);
    EXPECT_FALSE(view.targets.find("b")->draining);
}

// Guards against DRAIN: a primary that has announced that it is leaving was sent statements for as long as the handover
// took. It remains the primary in the view, from which the leader decides on the handover.
TEST(ViewBuilder, TellsUntilWhenALeavingMemberIsSentStatements)
{
    ViewBuilder builder = makeBuilder();
    builder.setDrainLimits({ Milliseconds(8000), Milliseconds(2000) });
    builder.build(copyOf({ { "members/a", "primary ready", 1 } }), 1, start);
    auto leaving = copyOf({ { "members/a", "primary draining", 2 } });
    FleetView view = builder.build(leaving, 2, start + Milliseconds(500), start + Milliseconds(400));
    EXPECT_TRUE(view.maySendTo("a", start + Milliseconds(6499)));
    EXPECT_FALSE(view.maySendTo("a", start + Milliseconds(6500)));
    EXPECT_TRUE(view.maySendTo("b", start + Milliseconds(6500)));
    EXPECT_EQ(view.primaryOf("s")->id, "a");
    view = builder.build(leaving, 3, start + Milliseconds(3000), start + Milliseconds(2900));
    EXPECT_FALSE(view.maySendTo("a", start + Milliseconds(6500)));
    auto runsAgain = copyOf({ { "members/a", "primary ready", 4 } });
    view = builder.build(runsAgain, 4, start + Milliseconds(4000), start + Milliseconds(3900));
    EXPECT_TRUE(view.maySendTo("a", start + Milliseconds(6500)));
}

// An instance that has just started doesn't know when the drain began.
TEST(ViewBuilder, TakesHalfOfTheDrainTimeAsElapsedInTheFirstView)
{
    ViewBuilder builder = makeBuilder();
    builder.setDrainLimits({ Milliseconds(8000), Milliseconds(2000) });
    FleetView view = builder.build(copyOf({ { "members/a", "primary draining", 2 } }), 2, start);
    EXPECT_TRUE(view.maySendTo("a", start + Milliseconds(1999)));
    EXPECT_FALSE(view.maySendTo("a", start + Milliseconds(2000)));
}

TEST(FleetView, PrefersTheGroupRecordToTheMembersClaims)
{
    ViewBuilder builder = makeBuilder();
    std::vector<KeyValue> values { { "members/a", "primary ready", 1 }, { "members/b", "replica ready", 2 } };
    EXPECT_EQ(builder.build(copyOf(values), 2, start).primaryOf("s")->id, "a");
    values.push_back({ "catkinlock/group/s", writeGroupRecord({ GroupRecord::State::Serving, "b", 2 }), 3 });
    EXPECT_EQ(builder.build(copyOf(values), 3, start).primaryOf("s")->id, "b");
    values.back() = { "catkinlock/group/s", writeGroupRecord({ GroupRecord::State::Replacing, "b", 2 }), 4 };
    EXPECT_EQ(builder.build(copyOf(values), 4, start).primaryOf("s"), std::nullopt);
}

TEST(FleetView, HasNoPrimaryWhereTwoMembersClaimTheRole)
{
    ViewBuilder builder = makeBuilder();
    auto values = copyOf({ { "members/a", "primary ready", 1 }, { "members/b", "primary ready", 2 } });
    EXPECT_EQ(builder.build(values, 2, start).primaryOf("s"), std::nullopt);
}

TEST(GroupRecord, AnUnreadableOneLeavesNoPrimary)
{
    ViewBuilder builder = makeBuilder();
    auto values = copyOf({ { "members/a", "primary ready", 1 }, { "catkinlock/group/s", "?", 2 } });
    EXPECT_EQ(builder.build(values, 2, start).primaryOf("s"), std::nullopt);
}

TEST(GroupRecord, ATermThatIsNoCountLeavesNoPrimaryAndTheOtherGroups)
{
    for (const char* term : { "-1", "1.5", "18446744073709551616", "1e300", "1e999", "\"2\"", "null" }) {
        ViewBuilder builder = makeBuilder();
        std::string odd = std::string(R"({"state":"serving","primary":"a","term":)") + term + "}";
        auto values = copyOf({ { "members/a", "primary ready", 1 }, { "catkinlock/group/r", odd, 2 },
            { "catkinlock/group/s", writeGroupRecord({ GroupRecord::State::Serving, "a", 2 }), 3 } });
        FleetView view;
        ASSERT_NO_THROW(view = builder.build(values, 3, start)) << term;
        EXPECT_TRUE(view.isReplacing("r")) << term;
        EXPECT_EQ(view.primaryOf("s")->id, "a") << term;
    }
}

TEST(ViewBuilder, AnInstanceEntryThatCannotBeReadNamesNoInstance)
{
    std::string deep(100000, '[');
    for (const std::string& odd : { std::string(), std::string("?"), std::string("5"), deep, std::string("\xff\xfe"),
             std::string(R"({"data_centre":"z"})"), std::string(R"({"peer":5,"data_centre":"z"})"),
             std::string(R"({"peer":"10.0.0.2:70"})"), std::string(R"({"peer":"10.0.0.2:70","data_centre":5})"),
             std::string(R"({"peer":"","data_centre":"z"})"), std::string(R"({"peer":"10.0.0.2","data_centre":"z"})"),
             std::string(R"({"peer":"10.0.0.2:0","data_centre":"z"})"),
             std::string(R"({"peer":"10.0.0.2:65536","data_centre":"z"})"),
             std::string(R"({"peer":"10.0.0.2:70abc","data_centre":"z"})"),
             std::string(R"({"peer":"nowhere:70","data_centre":"z"})") }) {
        ViewBuilder builder = makeBuilder();
        auto values = copyOf({ { "catkinlock/instance/a", R"({"peer":"10.0.0.1:70","data_centre":"z"})", 1 },
            { "catkinlock/instance/b", odd, 2 } });
        FleetView view = builder.build(values, 2, start);
        EXPECT_EQ(view.instanceNames(), std::vector<std::string> { "a" }) << odd.substr(0, 60);
        EXPECT_TRUE(planRelays(view, "a").relays.empty()) << odd.substr(0, 60);
        EXPECT_TRUE(planRelays(view, "a").pollsStore) << odd.substr(0, 60);
        EXPECT_EQ(builder.takeFaults().size(), 1u) << odd.substr(0, 60);
    }
}

TEST(ViewBuilder, TakesInstancesAtAddressesOfBothVersions)
{
    ViewBuilder builder = makeBuilder();
    auto values = copyOf({ { "catkinlock/instance/a", R"({"peer":"10.0.0.1:70","data_centre":""})", 1 },
        { "catkinlock/instance/b", R"({"peer":"[::1]:70","data_centre":"z"})", 2 } });
    FleetView view = builder.build(values, 2, start);
    EXPECT_EQ(view.instances.at("a").peerAddress, "10.0.0.1:70");
    EXPECT_EQ(view.instances.at("b").peerAddress, "[::1]:70");
}

// The instance still runs, with a view that may be old, so a replacement has to wait for it.
TEST(ViewBuilder, KeepsAnInstanceWhoseEntryIsOverwrittenUntilTheEntryIsRemoved)
{
    ViewBuilder builder = makeBuilder();
    auto values = copyOf({ { "catkinlock/instance/a", R"({"peer":"10.0.0.1:70","data_centre":"z"})", 1 } });
    builder.build(values, 1, start);
    values["catkinlock/instance/a"] = { "catkinlock/instance/a", "?", 2 };
    for (std::int64_t revision : { 2, 3 })
        EXPECT_EQ(builder.build(values, revision, start).instances.at("a").peerAddress, "10.0.0.1:70");
    EXPECT_TRUE(builder.build({}, 4, start).instances.empty());
    EXPECT_TRUE(builder.build(values, 5, start).instances.empty());
}

TEST(ViewBuilder, ReportsAnEntryThatCannotBeReadOnceForEachOfItsRevisions)
{
    ViewBuilder builder = makeBuilder();
    auto values
        = copyOf({ { "members/a", "", 1 }, { "catkinlock/instance/b", "?", 1 }, { "catkinlock/group/s", "?", 1 } });
    builder.build(values, 1, start);
    EXPECT_EQ(builder.takeFaults().size(), 3u);
    builder.build(values, 2, start);
    EXPECT_TRUE(builder.takeFaults().empty());
    values["members/a"].revision = 3;
    builder.build(values, 3, start);
    EXPECT_EQ(builder.takeFaults().size(), 1u);
}

TEST(FleetView, ShowsThatTheRecordedPrimaryHasLostItsRole)
{
    FleetView view;
    auto setRole = [&view](const char* id, bool primary) {
        TargetRecord record;
        record.id = id;
        record.service = "orders";
        record.primary = primary;
        view.targets.set(record);
    };
    setRole("a", false);
    setRole("b", false);
    view.groups["orders"] = { GroupRecord::State::Serving, "a", 2 };
    // A primary may be reported later than its record is written.
    EXPECT_FALSE(view.isDeposed("orders"));
    setRole("b", true);
    EXPECT_TRUE(view.isDeposed("orders"));
    setRole("a", true);
    EXPECT_FALSE(view.isDeposed("orders"));
    setRole("a", false);
    view.groups["orders"].state = GroupRecord::State::Replacing;
    EXPECT_FALSE(view.isDeposed("orders"));
}

// Guards against a promoted log that lacks commits: a membership of an older copy of the store may lack a run.
TEST(ViewBuilder, ARunOfAMembershipIsKnownAfterARestore)
{
    ViewBuilder builder(std::make_shared<PlainDocuments>());
    GroupMembership before { { { "a", 1, "10.0.0.1:5" } } };
    GroupMembership after { { { "a", 1, "10.0.0.1:5" }, { "b", 1, "10.0.0.2:5" } } };
    std::string key = std::string(membershipPrefix) + "s";
    builder.build(copyOf({ { key, writeGroupMembership(after), 10 } }), 10, start);
    std::int64_t restored = StoreRevision { 1, 5 }.sequence();
    auto view = builder.build(copyOf({ { key, writeGroupMembership(before), restored } }), restored, start);
    EXPECT_EQ(view.memberships.at("s"), after);
    EXPECT_EQ(builder.lostRecords(), (std::vector<KeyValue> { { key, writeGroupMembership(after), restored } }));
    view = builder.build(copyOf({ { key, writeGroupMembership(before), restored + 1 } }), restored + 1, start);
    EXPECT_EQ(view.memberships.at("s"), before);
    EXPECT_TRUE(builder.lostRecords().empty());
}

// An older copy of the store is from a time when the group had not been observed for long enough.
TEST(ViewBuilder, AMembershipStaysCompleteAfterARestore)
{
    ViewBuilder builder(std::make_shared<PlainDocuments>());
    GroupMembership before { { { "a", 1, "10.0.0.1:5" } } };
    GroupMembership after { { { "a", 1, "10.0.0.1:5" } }, true };
    std::string key = std::string(membershipPrefix) + "s";
    builder.build(copyOf({ { key, writeGroupMembership(after), 10 } }), 10, start);
    std::int64_t restored = StoreRevision { 1, 5 }.sequence();
    auto view = builder.build(copyOf({ { key, writeGroupMembership(before), restored } }), restored, start);
    EXPECT_EQ(view.memberships.at("s"), after);
    EXPECT_EQ(builder.lostRecords(), (std::vector<KeyValue> { { key, writeGroupMembership(after), restored } }));
    ViewBuilder started(std::make_shared<PlainDocuments>());
    view = started.build(copyOf({ { key, writeGroupMembership(before), restored } }), restored, start);
    EXPECT_EQ(view.memberships.at("s"), before);
}

TEST(TargetDirectory, FindsTheMembersOfAServiceAndMovesARecordThatChangesIt)
{
    TargetDirectory targets;
    TargetRecord record;
    record.service = "orders";
    for (const char* id : { "b", "a" }) {
        record.id = id;
        targets.set(record);
    }
    EXPECT_EQ(targets.idsOf("orders"), (std::set<std::string> { "a", "b" }));
    EXPECT_TRUE(targets.idsOf("tours").empty());
    record.service = "tours";
    targets.set(record);
    EXPECT_EQ(targets.idsOf("orders"), (std::set<std::string> { "b" }));
    EXPECT_EQ(targets.idsOf("tours"), (std::set<std::string> { "a" }));
    EXPECT_EQ(targets.size(), 2u);
    EXPECT_EQ(targets.find("a")->service, "tours");
    EXPECT_EQ(targets.find("c"), nullptr);
}
