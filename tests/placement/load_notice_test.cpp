#include "main/gateway/load_notice.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

/** A stream at server 100 with two holders of memory and @p readers that only read. */
std::vector<StreamPart> splitStream(std::uint32_t stream, int readers)
{
    StreamPart part;
    part.server = 100;
    part.stream = stream;
    part.placedAt = kNow - absl::Milliseconds(320);
    part.readMs = 125;
    part.memoryTokens = 9000;
    part.pauseObjectiveMs = 1000;
    part.firstEventDueMs = 4000;
    part.value = 30.5F;
    part.isSplit = true;
    std::vector<StreamPart> parts = {part};
    part.isHelper = true;
    for (int i = 0; i < 2 + readers; ++i) {
        part.server = 101 + static_cast<ServerKey>(i);
        part.memoryTokens = i < 2 ? 9000 : 0;
        parts.push_back(part);
    }
    return parts;
}

TEST(LoadNotice, KeepsWhatItCarries)
{
    const LoadNotice sent = {"instance-1", 7, 12, true, splitStream(5, 14), {200, 201}};
    const absl::Time later = kNow + absl::Seconds(50);
    const Result<LoadNotice> read = decodeLoad(encodeLoad(sent, kNow), later);
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->instance, sent.instance);
    EXPECT_EQ(read->incarnation, sent.incarnation);
    EXPECT_EQ(read->sequence, sent.sequence);
    EXPECT_EQ(read->suspects, sent.suspects);
    EXPECT_EQ(read->hasLostStore, sent.hasLostStore);
    ASSERT_EQ(read->parts.size(), sent.parts.size());
    for (std::size_t i = 0; i < sent.parts.size(); ++i) {
        const StreamPart &a = sent.parts[i];
        const StreamPart &b = read->parts[i];
        EXPECT_EQ(a.server, b.server);
        EXPECT_EQ(kNow - a.placedAt, later - b.placedAt);
        EXPECT_EQ(a.readMs, b.readMs);
        EXPECT_EQ(a.memoryTokens, b.memoryTokens);
        EXPECT_EQ(a.isHelper, b.isHelper);
        EXPECT_EQ(a.isSplit, b.isSplit);
        EXPECT_EQ(a.isWriting, b.isWriting);
        EXPECT_EQ(a.pauseObjectiveMs, b.pauseObjectiveMs);
        EXPECT_EQ(a.firstEventDueMs, b.firstEventDueMs);
        EXPECT_EQ(a.value, b.value);
    }
}

// 90 instances that told each part of a split read in full spent 112 KB a second each.
TEST(LoadNotice, WritesWhatPartsHaveInCommonOnce)
{
    const LoadNotice notice = {"instance-1", 7, 12, false, splitStream(5, 14), {}};
    EXPECT_LT(encodeLoad(notice, kNow).size(), 200U);
}

TEST(LoadNotice, LeavesOutWhatFindsNoRoom)
{
    LoadNotice notice = {"instance-1", 7, 12, false, {}, {}};
    for (std::uint32_t stream = 1; stream <= 200; ++stream) {
        const std::vector<StreamPart> parts = splitStream(stream, 14);
        notice.parts.insert(notice.parts.end(), parts.begin(), parts.end());
    }
    const std::string bytes = encodeLoad(notice, kNow);
    EXPECT_LE(bytes.size(), kMaxLoadDatagram);
    EXPECT_GT(bytes.size(), kMaxLoadDatagram - 200);
    EXPECT_TRUE(decodeLoad(bytes, kNow).ok());
}

TEST(LoadNotice, RejectsDamagedDatagramsWithoutHarm)
{
    const std::string good = encodeLoad({"instance-1", 7, 12, false, splitStream(5, 3), {9}}, kNow);
    EXPECT_TRUE(rc::check("damaged datagrams", [&good] {
        std::string bytes = good;
        const int changes = *rc::gen::inRange(0, 4);
        for (int i = 0; i < changes; ++i)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                static_cast<char>(*rc::gen::inRange(0, 256));
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const Result<LoadNotice> read = decodeLoad(bytes, kNow);
        const bool isBounded = !read.ok() || read->parts.size() <= kMaxLoadDatagram;
        RC_ASSERT(isBounded);
    }));
}

} // namespace
} // namespace foxtailtally
