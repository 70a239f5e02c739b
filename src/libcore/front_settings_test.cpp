#include "catkinlock/front_settings.h"
#include <gtest/gtest.h>

using namespace catkinlock;

namespace {

// Settings with these lines at the end of the section `fleet`; all others are valid.
std::string settingsText(const std::string& lines)
{
    return "[instance]\nname = \"entry-1\"\ndata_centre = \"dc\"\ncallers = \"10.0.0.1:1\"\nready = \"10.0.0.1:2\"\n"
           "ready_path = \"/ready\"\npeer = \"10.0.0.1:3\"\n[platform]\nadapter = \"lines\"\nstore = \"10.0.0.2:1\"\n"
           "promotions = \"10.0.0.2:2\"\n[fleet]\nsecret = \"a secret of the test fleet\"\n"
        + lines;
}

} // namespace

TEST(FrontSettings, HaveABoundForMembersThatWarmUp)
{
    auto defaults = parseFrontSettings(settingsText(""), "f.toml");
    ASSERT_TRUE(defaults);
    EXPECT_EQ(defaults->warmUpExcess, 1.5);
    EXPECT_EQ(defaults->warmUpSlack, 5);
    auto settings = parseFrontSettings(settingsText("warm_up_excess = 2\nwarm_up_slack = 7.5\n"), "f.toml");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->warmUpExcess, 2);
    EXPECT_EQ(settings->warmUpSlack, 7.5);
    for (const char* odd : { "warm_up_excess = -1\n", "warm_up_excess = 1001\n", "warm_up_excess = nan\n",
             "warm_up_slack = \"5\"\n", "warm_up_slack = -0.5\n", "warm_up_slack = inf\n" })
        EXPECT_FALSE(parseFrontSettings(settingsText(odd), "f.toml")) << odd;
}
