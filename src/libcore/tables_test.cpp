// The operators' tables and the settings: valid input is accepted, invalid input is rejected with an error that names
// the invalid member, and updates that arrive late never revert newer ones.

#include "catkinlock/settings.h"
#include "catkinlock/tables.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

TableEntry workspaceEntry(int name, std::int64_t revision)
{
    return { "workspace/w" + std::to_string(name), R"({"rate": )" + std::to_string(revision) + R"(, "burst": 5})",
        revision, false };
}

Tables applyAll(const Tables& before, std::int64_t revision, const std::vector<TableEntry>& entries)
{
    std::vector<Error> rejected;
    return applyEntries(before, revision, entries, rejected);
}

const char* const validSettings = "[instance]\nname = \"a\"\ndata_centre = \"hakata\"\nhttp = \"127.0.0.1:0\"\n"
                                  "peer = \"127.0.0.1:0\"\n[platform]\naddress = \"127.0.0.1:2379\"\n"
                                  "[fleet]\nsecret = \"sixteen letters!\"\n";

} // namespace

// Peers and the platform deliver updates in any order and more than once. An instance that applied an older update
// after a newer one would keep an outdated configuration.
RC_GTEST_PROP(Tables, AnyOrderOfUpdatesEndsAtTheNewest, ())
{
    std::vector<TableEntry> history;
    for (std::int64_t revision = 1; revision <= 30; ++revision) {
        TableEntry entry = workspaceEntry(*rc::gen::inRange(0, 5), revision);
        entry.deleted = *rc::gen::inRange(0, 4) == 0;
        history.push_back(entry);
    }
    Tables inOrder;
    for (const TableEntry& entry : history)
        inOrder = applyAll(inOrder, entry.revision, { entry });
    auto shuffled = *rc::gen::container<std::vector<TableEntry>>(60, rc::gen::elementOf(history));
    shuffled.insert(shuffled.end(), history.begin(), history.end());
    Tables anyOrder;
    for (const TableEntry& entry : shuffled) {
        Tables next = applyAll(anyOrder, entry.revision, { entry });
        RC_ASSERT(next.revision >= anyOrder.revision);
        anyOrder = next;
    }
    RC_ASSERT(anyOrder == inOrder);
}

TEST(Tables, AnInvalidDocumentLeavesTheLastOneInForce)
{
    Tables first = applyAll({}, 1, { { "route/orders", R"({"pool": "p"})", 1, false } });
    std::vector<Error> rejected;
    Tables second = applyEntries(first, 2, { { "route/orders", R"({"pool": 7})", 2, false } }, rejected);
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NE(rejected[0].message.find("route orders.pool"), std::string::npos);
    EXPECT_EQ(second.routes.at("orders").pool, "p");
    EXPECT_EQ(second.revision, 2);
}

RC_GTEST_PROP(Tables, AnyDocumentIsReadOrRefused, (const std::string& text))
{
    for (const char* kind : { "route/a", "pool/a", "workspace/a", "key/a", "instance/a", "else/a", "route/" })
        validateEntry({ kind, text, 1, false });
}

TEST(Tables, ErrorsNameTheInvalidMember)
{
    auto errorOf = [](const std::string& key, const std::string& text) {
        auto checked = validateEntry({ key, text, 1, false });
        return checked ? "" : checked.error().message;
    };
    EXPECT_EQ(errorOf("workspace/w", R"({"rate": 5, "burst": 5})"), "");
    EXPECT_NE(errorOf("workspace/w", R"({"rate": 0, "burst": 5})").find("workspace w.rate"), std::string::npos);
    EXPECT_NE(errorOf("workspace/w", R"({"rate": 5, "burst": 5, "brst": 1})").find("brst"), std::string::npos);
    EXPECT_NE(errorOf("route/r", R"({"pool": "p", "max_age_ms": 5})").find("read_only"), std::string::npos);
    EXPECT_NE(errorOf("pool/p", R"({"databases": []})").find("databases"), std::string::npos);
    const char* duplicateMember = R"({"databases": [{"name": "d", "connections": 5, "members": [{"name": "a",
        "address": "127.0.0.1:1"}, {"name": "a", "address": "127.0.0.1:2"}]}]})";
    EXPECT_NE(errorOf("pool/p", duplicateMember).find("members[1]"), std::string::npos);
}

// A statement that waits longer is late even if it is served then, and could have been refused in time to be retried.
TEST(Tables, AStatementWaitsForCapacityAtMostAQuarterOfItsObjective)
{
    Route route;
    route.latencyObjectiveMs = 600;
    EXPECT_EQ(capacityWait(route), std::chrono::milliseconds(150));
    route.latencyObjectiveMs = 200;
    EXPECT_EQ(capacityWait(route), std::chrono::milliseconds(50));
    route.latencyObjectiveMs = 0;
    EXPECT_EQ(capacityWait(route), std::chrono::milliseconds(50));
}

TEST(Settings, ParsesAValidFile)
{
    auto settings = parseSettings(validSettings, "a.toml");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->name, "a");
    EXPECT_EQ(settings->slots, 64u);
}

TEST(Settings, ReportsEveryErrorWithItsLine)
{
    std::string text = std::string(validSettings) + "slots = 0\nslotz = 3\n[limits]\nbody_bytes = \"big\"\n";
    auto settings = parseSettings(text, "a.toml");
    ASSERT_FALSE(settings);
    ASSERT_EQ(settings.error().size(), 3u);
    auto hasError = [&](const std::string& wanted) {
        return std::any_of(settings.error().begin(), settings.error().end(),
            [&](const Error& error) { return error.message.starts_with(wanted); });
    };
    EXPECT_TRUE(hasError("a.toml:10: fleet.slots must be a whole number from 1 to 65536"));
    EXPECT_TRUE(hasError("a.toml:11: fleet.slotz is not a known key"));
    EXPECT_TRUE(hasError("a.toml:13: limits.body_bytes must be"));
}

RC_GTEST_PROP(Settings, AnyTextIsReadOrRefused, (const std::string& text)) { parseSettings(text, "a.toml"); }
