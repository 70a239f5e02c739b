// Tests that the time limits of a view's path add up to the bounds that they are derived from.

#include "catkinlock/front_settings.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

// Settings with these values of the bounds; all other keys are valid.
std::string settingsText(const std::string& apply, const std::string& revocation)
{
    return "[instance]\nname = \"entry-1\"\ndata_centre = \"dc\"\ncallers = \"10.0.0.1:1\"\nready = \"10.0.0.1:2\"\n"
           "ready_path = \"/ready\"\npeer = \"10.0.0.1:3\"\n[platform]\nadapter = \"lines\"\nstore = \"10.0.0.2:1\"\n"
           "promotions = \"10.0.0.2:2\"\n[fleet]\nsecret = \"a secret of the test fleet\"\napply_ms = "
        + apply + "\nrevocation_ms = " + revocation + "\n";
}

} // namespace

// Either a view is confirmed and built within both bounds although two attempts fail, or the bounds are refused.
RC_GTEST_PROP(ViewBudget, KeepsTheBoundsOrRefusesThem, ())
{
    Milliseconds apply(*rc::gen::inRange(500, 600'000));
    Milliseconds revocation(*rc::gen::inRange(500, 600'000));
    auto budget = deriveViewBudget(apply, revocation);
    if (!budget) {
        RC_ASSERT(std::min(apply, revocation) < Milliseconds(2200));
        return;
    }
    RC_ASSERT(budget->oldestView() < apply);
    RC_ASSERT(budget->oldestView() < budget->maxAge);
    RC_ASSERT(budget->maxAge < revocation);
    // A follower's view is twice as old as one poll of its relay right before the next confirmation.
    RC_ASSERT(budget->storeHold * 2 < budget->overdueAfter);
    RC_ASSERT(budget->storeHold < budget->relayHold);
    RC_ASSERT(budget->oldestView()
        >= budget->overdueAfter + budget->overdueSpread + budget->attemptTimeout + budget->attemptTimeout);
}

TEST(FrontSettings, TheDrainTimeOfAMemberIsASetting)
{
    std::string text = settingsText("3000", "5000");
    EXPECT_EQ(parseFrontSettings(text, "f.toml")->memberDrainMs, 7000u);
    EXPECT_EQ(parseFrontSettings(text + "member_drain_ms = 1000\n", "f.toml")->memberDrainMs, 1000u);
    EXPECT_FALSE(parseFrontSettings(text + "member_drain_ms = 999\n", "f.toml"));
    EXPECT_FALSE(parseFrontSettings(text + "member_drain_ms = 600001\n", "f.toml"));
}

TEST(ViewBudget, SettingsWhoseBoundsCannotBeKeptAreRefused)
{
    EXPECT_TRUE(parseFrontSettings(settingsText("3000", "5000"), "f.toml"));
    auto tooShort = parseFrontSettings(settingsText("900", "5000"), "f.toml");
    ASSERT_FALSE(tooShort);
    ASSERT_EQ(tooShort.error().size(), 1u);
    EXPECT_NE(tooShort.error()[0].message.find("fleet.apply_ms"), std::string::npos);
    EXPECT_NE(tooShort.error()[0].message.find("can't be in force within 900 ms"), std::string::npos);
    EXPECT_FALSE(parseFrontSettings(settingsText("3000", "1000"), "f.toml"));
}
