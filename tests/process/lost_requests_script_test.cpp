#include <absl/strings/str_cat.h>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

namespace foxtailtally {
namespace {

/** Output of scripts/lost-requests for a log with the given text. */
std::string tableOf(const std::string &log)
{
    std::string file = (std::filesystem::temp_directory_path() / "lost-requests-XXXXXX").string();
    const int descriptor = ::mkstemp(file.data());
    EXPECT_GE(descriptor, 0);
    ::close(descriptor);
    std::ofstream(file) << log;
    FILE *output = ::popen((FOXTAILTALLY_SOURCE_DIR "/scripts/lost-requests " + file).c_str(), "r");
    std::string text;
    for (int byte = 0; (byte = std::fgetc(output)) != EOF;)
        text += static_cast<char>(byte);
    EXPECT_EQ(::pclose(output), 0);
    std::filesystem::remove(file);
    return text;
}

std::string line(int second, const std::string &event, const std::string &fields = "")
{
    return absl::StrCat("{\"time\":\"2026-01-01T00:0", second / 60, ":",
                        second % 60 < 10 ? "0" : "", second % 60, ".000Z\",\"event\":\"", event,
                        "\"", fields, "}\n");
}

std::string lost(int second, bool isBesideChange, const std::string &cause = "broken_off",
                 const std::string &end = "cancelled", int age = 100)
{
    return line(
        second, "request_lost",
        absl::StrCat(",\"cause\":\"", cause, "\",\"age_ms\":", age,
                     ",\"left_ms\":900,\"config_changed\":", isBesideChange ? "true" : "false",
                     ",\"attempts\":[{\"end\":\"", end, "\"}]"));
}

// A process of 120 s with one change, beside which 12 s count.
const std::string kStart = line(0, "started") + line(0, "config_adopted");
const std::string kChange = line(60, "config_adopted");
const std::string kEnd = line(59, "other") + line(119, "other") + line(120, "other");

// Guards against an instance that loses more requests beside changes and is not marked.
TEST(LostRequestsScript, MarksLossesBesideAChange)
{
    const std::string table =
        tableOf(kStart + lost(30, false) + kChange + lost(61, true) + lost(62, true) + kEnd);
    // Two in 12 s and one in 108 s.
    EXPECT_NE(table.find("10.00       0.56  over three times"), std::string::npos) << table;
}

// Guards against an alarm for losses that come as often at other times.
TEST(LostRequestsScript, DoesNotMarkLossesAtAllTimes)
{
    std::string log = kStart + kChange + lost(61, true);
    for (int second = 1; second < 10; ++second)
        log += lost(second, false);
    const std::string table = tableOf(log + kEnd);
    EXPECT_EQ(table.find("over three times"), std::string::npos) << table;
    EXPECT_NE(table.find("5.00       5.00"), std::string::npos) << table;
}

// Guards against rates that include what the rule excuses: deadlines, servers that broke the
// response off, and requests that had used seven tenths of their time.
TEST(LostRequestsScript, LeavesOutExcusedLosses)
{
    const std::string table =
        tableOf(kStart + kChange + lost(61, true, "timed_out_streaming")
                + lost(62, true, "broken_off", "lost")
                + lost(63, true, "broken_off", "cancelled", 2100) + "no line\n" + kEnd);
    EXPECT_EQ(table.find("over three times"), std::string::npos) << table;
    EXPECT_NE(table.find("0.00       0.00"), std::string::npos) << table;
    EXPECT_NE(table.find("broken_off                            2        0       2"),
              std::string::npos)
        << table;
}

} // namespace
} // namespace foxtailtally
