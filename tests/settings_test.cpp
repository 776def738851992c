#include "core/settings.h"

#include <gtest/gtest.h>

namespace foxtailtally {

namespace {

const std::vector<SettingSpec> kSchema = {
    {"instance", "id", SettingKind::Text, "", 0, 0, true, ""},
    {"limits", "grace", SettingKind::Duration, "5 s", 1, 60, false, ""},
    {"limits", "body", SettingKind::Bytes, "8 MiB", 1024, 67108864, false, ""},
    {"limits", "streams", SettingKind::Count, "100", 1, 1000, false, ""},
};

} // namespace

TEST(SettingsTest, ReadsValuesWithUnitsAndDefaults)
{
    std::vector<SettingsProblem> problems;
    const auto settings = Settings::parse("[instance]\nid = a\n[limits]\ngrace = 1500 ms\n",
                                          "t.ini", kSchema, problems);
    ASSERT_TRUE(settings.ok());
    EXPECT_EQ(settings->text("instance", "id"), "a");
    EXPECT_EQ(settings->duration("limits", "grace"), absl::Milliseconds(1500));
    EXPECT_EQ(settings->bytes("limits", "body"), 8 * 1024 * 1024);
    EXPECT_EQ(settings->count("limits", "streams"), 100);
}

// Guards against a check that stops after the first problem of a settings file.
TEST(SettingsTest, ReportsEveryProblemWithFileSectionKeyAndRange)
{
    std::vector<SettingsProblem> problems;
    const auto settings =
        Settings::parse("[limits]\ngrace = 5\nbody = 1 B\nstreams = many\ncolour = red\n", "t.ini",
                        kSchema, problems);
    EXPECT_EQ(settings.error(), Error::SettingsInvalid);
    ASSERT_EQ(problems.size(), 5U);
    EXPECT_EQ(problems[0].describe(),
              "t.ini: [limits] grace: number or unit missing or unknown, allowed: 1 s to 60 s");
    EXPECT_EQ(problems[1].kind, SettingsProblem::Kind::OutOfRange);
    EXPECT_EQ(problems[2].kind, SettingsProblem::Kind::BadValue);
    EXPECT_EQ(problems[3].kind, SettingsProblem::Kind::UnknownKey);
    EXPECT_EQ(problems[4].kind, SettingsProblem::Kind::Missing);
}

// Guards against lists that lose entries: the parser splits lines of 200 bytes.
TEST(SettingsTest, ListsContinueOnIndentedLinesAndLongLinesAreReported)
{
    const std::vector<SettingSpec> schema = {
        {"peers", "seeds", SettingKind::List, "", 0, 0, false, ""}};
    std::vector<SettingsProblem> problems;
    const auto settings =
        Settings::parse("[peers]\nseeds = a, b\n  c\n", "t.ini", schema, problems);
    ASSERT_TRUE(settings.ok());
    EXPECT_EQ(settings->list("peers", "seeds"), (std::vector<std::string> {"a", "b", "c"}));
    const auto tooLong = Settings::parse("[peers]\nseeds = " + std::string(200, 'a') + "\n",
                                         "t.ini", schema, problems);
    EXPECT_EQ(tooLong.error(), Error::SettingsInvalid);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems.front().kind, SettingsProblem::Kind::LineTooLong);
}

} // namespace foxtailtally
