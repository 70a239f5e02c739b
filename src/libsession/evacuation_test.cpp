#include "catkinlock/store_revision.h"
#include "libsession/evacuation.h"
#include "libsession/target_groups.h"
#include "libsession/view_builder.h"
#include "platform/documents.h"
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

const TimePoint start { std::chrono::hours(1) };
using Kind = EvacuationEvent::Kind;

EvacuationTracker makeTracker()
{
    return EvacuationTracker([](const std::string& text) -> tl::expected<void, Error> {
        if (text == "{}")
            return {};
        return tl::unexpected(Error { "odd" });
    });
}

std::map<std::string, KeyValue> entry(const std::string& dataCentre, const std::string& value, std::int64_t revision)
{
    return { { dataCentre, KeyValue { "evacuate/" + dataCentre, value, revision } } };
}

std::map<std::string, KeyValue> copyOf(std::vector<KeyValue> values)
{
    std::map<std::string, KeyValue> copy;
    for (KeyValue& value : values)
        copy[value.key] = value;
    return copy;
}

std::vector<Kind> kindsOf(const std::vector<EvacuationEvent>& events)
{
    std::vector<Kind> kinds;
    kinds.reserve(events.size());
    for (const EvacuationEvent& event : events)
        kinds.push_back(event.kind);
    return kinds;
}

TargetRecord member(const std::string& id, const std::string& dataCentre, bool primary)
{
    TargetRecord target;
    target.id = id;
    target.service = "orders";
    target.address = "127.0.0.1:1";
    target.dataCentre = dataCentre;
    target.primary = primary;
    return target;
}

// A group whose primary "p" is in data centre a, with a replica "r" there and one, "s", in data centre b.
FleetView viewOfGroup(std::set<std::string> evacuated)
{
    FleetView view;
    view.serial = 1;
    Tables tables;
    Pool pool;
    pool.name = "orders";
    pool.databases.push_back({ "orders", {}, 60 });
    tables.pools["orders"] = pool;
    view.tables = std::make_shared<const Tables>(std::move(tables));
    for (const TargetRecord& target : { member("p", "a", true), member("r", "a", false), member("s", "b", false) })
        view.targets.set(target);
    view.groups["orders"] = { GroupRecord::State::Serving, "p", 2 };
    view.evacuated = std::move(evacuated);
    return view;
}

// The members' connections of one instance, whose view is confirmed and which knows the primary's position.
class EvacuationPlacement : public testing::Test {
protected:
    EvacuationPlacement()
    {
        this->freshness->confirm(start);
        this->requirements.service = "orders";
        this->requirements.consistency = ReadConsistency::BoundedAge;
        this->requirements.maxAge = Milliseconds(1000);
        this->groups.refresh(viewOfGroup({}), start);
        this->groups.recordPrimaryPosition("orders", { 2, 5 }, start);
    }

    // Ids of the members on which a read is placed while the ones before don't serve it.
    std::set<std::string> placesOfRead(const FleetView& view)
    {
        std::set<std::string> tried;
        while (auto placement = this->groups.placeRead(view, this->requirements, tried, start + Milliseconds(10)))
            tried.insert(placement->pool->target().id);
        return tried;
    }

    boost::asio::io_context context;
    std::shared_ptr<ViewFreshness> freshness = std::make_shared<ViewFreshness>(Milliseconds(5000));
    TargetGroups groups { this->context.get_executor(), nullptr, this->freshness, "i", "a" };
    ReadRequirements requirements;
};

} // namespace

TEST(Evacuation, LastsFromTheEntryToItsRemovalAndIsLoggedOnceEach)
{
    EvacuationTracker tracker = makeTracker();
    EXPECT_TRUE(tracker.update({}, { "a", "b" }, 1).empty());
    for (std::int64_t revision : { 2, 3, 4 })
        EXPECT_EQ(tracker.update(entry("a", "{}", 2), { "a", "b" }, revision), (std::set<std::string> { "a" }));
    // Writing the entry again changes nothing.
    tracker.update(entry("a", "{}", 5), { "a", "b" }, 5);
    EXPECT_EQ(tracker.takeEvents(), (std::vector<EvacuationEvent> { { Kind::Begun, "a", "" } }));
    EXPECT_TRUE(tracker.update({}, { "a", "b" }, 6).empty());
    tracker.update({}, { "a", "b" }, 7);
    EXPECT_EQ(tracker.takeEvents(), (std::vector<EvacuationEvent> { { Kind::Ended, "a", "" } }));
}

// Guards against an evacuation that ends because all members of the data centre are gone, and come back into service.
TEST(Evacuation, DoesNotEndWhileTheDataCentreHasNoMembers)
{
    EvacuationTracker tracker = makeTracker();
    tracker.update(entry("a", "{}", 1), { "a" }, 1);
    EXPECT_EQ(tracker.update(entry("a", "{}", 1), {}, 2).count("a"), 1u);
    EXPECT_EQ(tracker.update(entry("a", "{}", 1), { "a" }, 3).count("a"), 1u);
    EXPECT_EQ(kindsOf(tracker.takeEvents()), std::vector<Kind> { Kind::Begun });
}

TEST(Evacuation, OfADataCentreWithoutMembersIsLoggedOnceAndBeginsWithItsFirstMember)
{
    EvacuationTracker tracker = makeTracker();
    EXPECT_TRUE(tracker.update(entry("x", "{}", 1), { "a" }, 1).empty());
    EXPECT_TRUE(tracker.update(entry("x", "{}", 1), { "a" }, 2).empty());
    EXPECT_EQ(kindsOf(tracker.takeEvents()), std::vector<Kind> { Kind::Rejected });
    EXPECT_EQ(tracker.update(entry("x", "{}", 1), { "a", "x" }, 3), (std::set<std::string> { "x" }));
    EXPECT_EQ(kindsOf(tracker.takeEvents()), std::vector<Kind> { Kind::Begun });
}

TEST(Evacuation, WithoutMembersThatIsWithdrawnIsNotLoggedAsEnded)
{
    EvacuationTracker tracker = makeTracker();
    tracker.update(entry("x", "{}", 1), { "a" }, 1);
    tracker.takeEvents();
    tracker.update({}, { "a" }, 2);
    EXPECT_TRUE(tracker.takeEvents().empty());
}

TEST(Evacuation, IgnoresAnEntryThatCannotBeReadAndLogsEachRevisionOnce)
{
    EvacuationTracker tracker = makeTracker();
    EXPECT_TRUE(tracker.update(entry("a", "?", 1), { "a" }, 1).empty());
    EXPECT_TRUE(tracker.update(entry("a", "?", 1), { "a" }, 2).empty());
    EXPECT_EQ(kindsOf(tracker.takeEvents()), std::vector<Kind> { Kind::Rejected });
    EXPECT_TRUE(tracker.update(entry("a", "?", 3), { "a" }, 3).empty());
    EXPECT_EQ(kindsOf(tracker.takeEvents()), std::vector<Kind> { Kind::Rejected });
    EXPECT_EQ(tracker.update(entry("a", "{}", 4), { "a" }, 4).count("a"), 1u);
}

// Only the removal of the key withdraws a request.
TEST(Evacuation, GoesOnWhenItsEntryIsOverwrittenByOneThatCannotBeRead)
{
    EvacuationTracker tracker = makeTracker();
    tracker.update(entry("a", "{}", 1), { "a" }, 1);
    EXPECT_EQ(tracker.update(entry("a", "?", 2), { "a" }, 2).count("a"), 1u);
    EXPECT_EQ(kindsOf(tracker.takeEvents()), (std::vector<Kind> { Kind::Begun, Kind::Rejected }));
    EXPECT_TRUE(tracker.update({}, { "a" }, 3).empty());
}

// Guards against members without a data centre that are taken out of service by the prefix itself.
TEST(Evacuation, NeedsTheNameOfADataCentre)
{
    EvacuationTracker tracker = makeTracker();
    EXPECT_TRUE(tracker.update(entry("", "{}", 1), { "" }, 1).empty());
    EXPECT_EQ(kindsOf(tracker.takeEvents()), std::vector<Kind> { Kind::Rejected });
}

TEST(Evacuation, GoesOnWhenTheStoreIsRestoredFromACopyWithoutItsEntry)
{
    EvacuationTracker tracker = makeTracker();
    std::int64_t restored = StoreRevision { 1, 3 }.sequence();
    tracker.update(entry("a", "{}", 5), { "a" }, 5);
    for (std::int64_t later : { 0, 1, 2 })
        EXPECT_EQ(tracker.update({}, { "a" }, restored + later).count("a"), 1u);
    // The operator writes the entry again and removes it.
    EXPECT_EQ(tracker.update(entry("a", "{}", restored + 3), { "a" }, restored + 3).count("a"), 1u);
    EXPECT_TRUE(tracker.update({}, { "a" }, restored + 4).empty());
    EXPECT_EQ(kindsOf(tracker.takeEvents()), (std::vector<Kind> { Kind::Begun, Kind::Ended }));
}

// For any writes and removals: a data centre is evacuated exactly if its key was last written validly since it was
// removed and a member was listed since, and the events lead from one set of evacuated data centres to the next.
RC_GTEST_PROP(Evacuation, FollowsTheEntries, ())
{
    EvacuationTracker tracker = makeTracker();
    std::map<std::string, KeyValue> entries;
    std::set<std::string> valid;
    std::set<std::string> expected;
    std::set<std::string> logged;
    for (std::int64_t revision = 1; revision < 60; ++revision) {
        std::string dataCentre = *rc::gen::element<std::string>("a", "b", "c");
        int action = *rc::gen::inRange(0, 4);
        if (action == 0) {
            entries.erase(dataCentre);
            valid.erase(dataCentre);
            expected.erase(dataCentre);
        } else if (action < 3) {
            entries[dataCentre] = { "evacuate/" + dataCentre, action == 1 ? "{}" : "?", revision };
            if (action == 1)
                valid.insert(dataCentre);
        }
        std::set<std::string> listed { "a" };
        if (*rc::gen::arbitrary<bool>())
            listed.insert("b");
        for (const std::string& name : valid) {
            if (listed.count(name))
                expected.insert(name);
        }
        RC_ASSERT(tracker.update(entries, listed, revision) == expected);
        for (const EvacuationEvent& event : tracker.takeEvents()) {
            if (event.kind == Kind::Begun)
                RC_ASSERT(logged.insert(event.dataCentre).second);
            if (event.kind == Kind::Ended)
                RC_ASSERT(logged.erase(event.dataCentre) == 1u);
        }
        RC_ASSERT(logged == expected);
    }
}

TEST(Evacuation, IsReadFromTheStoreOfThePlatform)
{
    auto documents = std::make_shared<platform::JsonDocumentSource>();
    ViewBuilder builder(documents);
    std::string target
        = R"({"service":"orders","address":"10.0.0.9:80","zone":"a","slots":4,"state":"ready","dbRole":"replica"})";
    auto values = copyOf({ { "servers/m", target, 1 }, { "op/evacuate/a", "{}", 2 }, { "op/evacuate/b", "{}", 3 } });
    EXPECT_EQ(builder.build(values, 3, start).evacuated, (std::set<std::string> { "a" }));
    EXPECT_EQ(kindsOf(builder.takeEvacuationEvents()), (std::vector<Kind> { Kind::Begun, Kind::Rejected }));
    values.erase("op/evacuate/a");
    EXPECT_TRUE(builder.build(values, 4, start).evacuated.empty());
    EXPECT_EQ(kindsOf(builder.takeEvacuationEvents()), std::vector<Kind> { Kind::Ended });
}

// Guards against an odd entry that ends the process, or takes a data centre or anything else out of service.
TEST(Evacuation, AnOddEntryOfThePlatformTakesNothingOutOfService)
{
    std::string target
        = R"({"service":"orders","address":"10.0.0.9:80","zone":"a","slots":4,"state":"ready","dbRole":"replica"})";
    for (const std::string& odd : { std::string(), std::string("?"), std::string("5"), std::string("null"),
             std::string("[]"), std::string("{"), std::string("true"), std::string("\"{}\""), std::string(100000, '['),
             std::string("\xff\xfe\0", 3), std::string(3 << 20, 'a') }) {
        ViewBuilder builder(std::make_shared<platform::JsonDocumentSource>());
        auto values = copyOf({ { "servers/m", target, 1 }, { "op/evacuate/a", odd, 2 }, { "op/evacuate/", "{}", 3 },
            { "op/evacuate", "{}", 4 }, { "op/evacuate/a/b", "{}", 5 } });
        FleetView view = builder.build(values, 5, start);
        EXPECT_TRUE(view.evacuated.empty()) << odd.substr(0, 20);
        EXPECT_TRUE(view.targets.contains("m")) << odd.substr(0, 20);
        EXPECT_EQ(builder.takeEvacuationEvents().size(), 3u) << odd.substr(0, 20);
        builder.build(values, 6, start);
        EXPECT_TRUE(builder.takeEvacuationEvents().empty()) << odd.substr(0, 20);
    }
}

TEST(Evacuation, HandsOverThePrimaryIfAMemberStaysElsewhere)
{
    EXPECT_FALSE(viewOfGroup({}).isToHandOver("orders"));
    EXPECT_FALSE(viewOfGroup({ "b" }).isToHandOver("orders"));
    EXPECT_TRUE(viewOfGroup({ "a" }).isToHandOver("orders"));
    // A promotion among evacuated members would interrupt nothing and help nobody.
    EXPECT_FALSE(viewOfGroup({ "a", "b" }).isToHandOver("orders"));
    EXPECT_FALSE(viewOfGroup({ "a" }).isToHandOver("unknown"));
    FleetView leaving = viewOfGroup({ "a" });
    TargetRecord other = member("s", "b", false);
    other.draining = true;
    leaving.targets.set(other);
    EXPECT_FALSE(leaving.isToHandOver("orders"));
    // A primary that leaves hands over in any case.
    TargetRecord primary = member("p", "a", true);
    primary.draining = true;
    leaving.targets.set(primary);
    EXPECT_TRUE(leaving.isToHandOver("orders"));
}

TEST(Evacuation, MakesMembersCountAsLeavingInTheChoiceOfAPrimary)
{
    std::map<std::string, bool> draining;
    for (const TargetRecord& target : viewOfGroup({ "a" }).promotionMembersOf("orders"))
        draining[target.id] = target.draining;
    EXPECT_EQ(draining, (std::map<std::string, bool> { { "p", true }, { "r", true }, { "s", false } }));
}

TEST_F(EvacuationPlacement, UsesMembersOutsideOfEvacuatedDataCentresOnly)
{
    EXPECT_EQ(this->placesOfRead(viewOfGroup({})), (std::set<std::string> { "p", "r", "s" }));
    EXPECT_EQ(this->placesOfRead(viewOfGroup({ "a" })), (std::set<std::string> { "s" }));
    EXPECT_EQ(this->placesOfRead(viewOfGroup({ "b" })), (std::set<std::string> { "p", "r" }));
    EXPECT_TRUE(this->placesOfRead(viewOfGroup({ "a", "b" })).empty());
    this->requirements.consistency = ReadConsistency::Primary;
    EXPECT_TRUE(this->placesOfRead(viewOfGroup({ "a" })).empty());
    TimePoint now = start + Milliseconds(10);
    EXPECT_TRUE(this->groups.placeWrite(viewOfGroup({}), "orders", now));
    EXPECT_FALSE(this->groups.placeWrite(viewOfGroup({ "a" }), "orders", now));
}

// Guards against a statement that was placed before the evacuation and is sent after it.
TEST_F(EvacuationPlacement, TellsBeforeAStatementIsSentThatItsMemberWasEvacuated)
{
    auto placement = this->groups.placeWrite(viewOfGroup({}), "orders", start + Milliseconds(10));
    ASSERT_TRUE(placement);
    EXPECT_TRUE(TargetGroups::mayUse(viewOfGroup({ "b" }), *placement->pool, start));
    EXPECT_FALSE(TargetGroups::mayUse(viewOfGroup({ "a" }), *placement->pool, start));
}

// Guards against a success that is reported as in doubt, or a position that is ignored, because the reply arrives after
// the evacuation of its primary.
TEST_F(EvacuationPlacement, AReplyToAStatementSentBeforeTheEvacuationCounts)
{
    TimePoint now = start + Milliseconds(500);
    auto placement = this->groups.placeWrite(viewOfGroup({}), "orders", now);
    ASSERT_TRUE(placement);
    SentRequest request = this->groups.requestTo(viewOfGroup({}), placement->pool, now);
    this->groups.recordReplyPosition(viewOfGroup({ "a" }), request, { 2, 9 }, now + Milliseconds(20));
    EXPECT_EQ(this->groups.latestPositions().at("orders").position, (Position { 2, 9 }));
    EXPECT_EQ(viewOfGroup({ "a" }).primaryOf("orders")->id, "p");
}
