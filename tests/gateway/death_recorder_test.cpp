#include "main/gateway/death_recorder.h"

#include "core/hash.h"
#include "platform/store_objects.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const CrashReport kReport = {fingerprintOf("call"), BackendServerId("i-7f3a91c2"),
                             1'700'000'000'123, absl::FromUnixMillis(1'700'000'100'456)};

TEST(DeathRecorder, ParsesItsObjectNames)
{
    const CrashKey key = crashKey(kReport);
    const std::string name = DeathRecorder::objectName(key);
    EXPECT_EQ(DeathRecorder::parseObjectName(name), key);
    EXPECT_EQ(name.substr(0, 32), fingerprintText(kReport.fingerprint));
    CrashReport otherIncarnation = kReport;
    ++otherIncarnation.incarnation;
    EXPECT_NE(DeathRecorder::objectName(crashKey(otherIncarnation)), name);
}

// Other writers may put objects with any name into the store.
TEST(DeathRecorder, RejectsOtherObjectNames)
{
    const std::string good = DeathRecorder::objectName(crashKey(kReport));
    EXPECT_FALSE(DeathRecorder::parseObjectName(""));
    EXPECT_FALSE(DeathRecorder::parseObjectName("main"));
    EXPECT_FALSE(DeathRecorder::parseObjectName(good.substr(1)));
    EXPECT_FALSE(DeathRecorder::parseObjectName(good.substr(0, 33)));
    EXPECT_FALSE(DeathRecorder::parseObjectName(good + "x"));
    EXPECT_FALSE(DeathRecorder::parseObjectName("G" + good.substr(1)));
}

TEST(StoreObjects, CrashReportsRoundTrip)
{
    const std::string body = platform::encodeCrashReport("name", kReport);
    const std::size_t spec = body.find("\"Spec\":") + 7;
    const std::string text = body.substr(spec, body.size() - spec - 1);
    const Result<CrashReport> read = platform::decodeCrashReport({"name", 1, text});
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(crashKey(*read), crashKey(kReport));
    EXPECT_EQ(read->server, kReport.server);
    EXPECT_EQ(read->incarnation, kReport.incarnation);
    EXPECT_EQ(read->diedAt, kReport.diedAt);
    for (const std::string &odd : {std::string(), std::string("{}"), std::string("[]"),
                                   text.substr(0, text.size() / 2), std::string("\xff")})
        EXPECT_FALSE(platform::decodeCrashReport({"name", 1, odd}).ok());
}

} // namespace
} // namespace foxtailtally
