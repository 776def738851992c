#include "main/gateway/exchange_message.h"

#include "core/error.h"
#include "core/hash.h"

#include <cstring>
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
const absl::Time kLater = kNow + absl::Seconds(50);

/** Keeps what a datagram held. */
class Kept final : public MessageSink
{
public:
    void onReport(ReportMessage &message) override { this->report = message; }
    void onBundle(BundleMessage &message) override { this->bundle = message; }
    void onQuarantine(QuarantineMessage &message) override { this->quarantine = message; }

    std::optional<ReportMessage> report;
    std::optional<BundleMessage> bundle;
    std::optional<QuarantineMessage> quarantine;
};

Kept decoded(const std::string &bytes, absl::Time now = kNow)
{
    Kept kept;
    EXPECT_FALSE(decodeMessage(bytes, now, kept));
    return kept;
}

/** A stream at server 100 with two holders of memory and @p readers that only read. */
std::vector<StreamPart> splitStream(std::uint32_t stream, int readers)
{
    StreamPart part;
    part.server = 100;
    part.stream = stream;
    part.placedAt = kNow - absl::Milliseconds(320);
    part.prefillMs = 125;
    part.memoryTokens = 9000;
    part.eventGapObjectiveMs = 1000;
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

MessageHead head()
{
    MessageHead result;
    result.instance = "instance-1";
    result.domain = "east";
    result.relayPort = 7342;
    result.incarnation = 7;
    result.sequence = 12;
    result.stamp = 345;
    result.echo = 678;
    result.hasLostStore = true;
    result.states[1] = {530, 531, kNow - absl::Milliseconds(250)};
    result.suspects = {200, 201};
    return result;
}

ServerLoadEntry entry(ServerKey server)
{
    StreamPart waiting;
    waiting.placedAt = kNow - absl::Milliseconds(40);
    waiting.prefillMs = 90;
    waiting.memoryTokens = 6400;
    waiting.firstEventDueMs = 400;
    waiting.value = 1.3F;
    StreamPart writing = waiting;
    writing.isDecoding = true;
    writing.eventGapObjectiveMs = 300;
    StreamPart helping = waiting;
    helping.isHelper = helping.isSplit = true;
    helping.memoryTokens = 0;
    helping.prefillMs = 700;
    ServerLoadEntry result;
    result.server = server;
    for (const StreamPart &part : {waiting, writing, helping})
        result.load.add(part, kNow);
    return result;
}

TEST(ExchangeMessage, AReportKeepsWhatItCarries)
{
    const ReportMessage sent = {head(), splitStream(5, 14)};
    const Kept kept = decoded(encodeReport(sent, kNow), kLater);
    ASSERT_TRUE(kept.report);
    const MessageHead &read = kept.report->head;
    EXPECT_EQ(read.instance, "instance-1");
    EXPECT_EQ(read.domain, "east");
    EXPECT_EQ(read.relayPort, 7342);
    EXPECT_EQ(read.incarnation, 7U);
    EXPECT_EQ(read.sequence, 12U);
    EXPECT_EQ(read.stamp, 345U);
    EXPECT_EQ(read.echo, 678U);
    EXPECT_TRUE(read.hasLostStore);
    EXPECT_EQ(read.suspects, sent.head.suspects);
    EXPECT_EQ(read.states[1].contentRevision, 530);
    EXPECT_EQ(read.states[0].contentRevision, -1);
    EXPECT_EQ(read.states[0].confirmedAt, absl::InfinitePast());
    ASSERT_EQ(kept.report->parts.size(), sent.parts.size());
    for (std::size_t i = 0; i < sent.parts.size(); ++i) {
        const StreamPart &a = sent.parts[i];
        const StreamPart &b = kept.report->parts[i];
        EXPECT_EQ(a.server, b.server);
        EXPECT_EQ(kNow - a.placedAt, kLater - b.placedAt);
        EXPECT_EQ(a.prefillMs, b.prefillMs);
        EXPECT_EQ(a.memoryTokens, b.memoryTokens);
        EXPECT_EQ(a.isHelper, b.isHelper);
        EXPECT_EQ(a.isSplit, b.isSplit);
        EXPECT_EQ(a.isDecoding, b.isDecoding);
        EXPECT_EQ(a.eventGapObjectiveMs, b.eventGapObjectiveMs);
        EXPECT_EQ(a.firstEventDueMs, b.firstEventDueMs);
        EXPECT_EQ(a.value, b.value);
    }
}

// A state that is told as fresher than it is would be honoured beyond its bound.
TEST(ExchangeMessage, AStateArrivesNoFresherThanItWas)
{
    MessageHead sent = head();
    for (int micros = 0; micros < 3000; micros += 137) {
        sent.states[0] = {1, 1, kNow - absl::Microseconds(micros)};
        const Kept kept = decoded(encodeReport({sent, {}}, kNow), kLater);
        EXPECT_GE(kLater - kept.report->head.states[0].confirmedAt, absl::Microseconds(micros));
    }
}

TEST(ExchangeMessage, ABundleKeepsTheSums)
{
    const BundleMessage sent = {head(), 295, {entry(3)}, {entry(4), {5, {}}}};
    const std::vector<std::string> datagrams = encodeBundle(sent, kNow);
    ASSERT_EQ(datagrams.size(), 1U);
    const Kept kept = decoded(datagrams.front(), kLater);
    ASSERT_TRUE(kept.bundle);
    EXPECT_EQ(kept.bundle->instances, 295);
    ASSERT_EQ(kept.bundle->ownDomain.size(), 1U);
    ASSERT_EQ(kept.bundle->elsewhere.size(), 2U);
    EXPECT_TRUE(kept.bundle->elsewhere[1].load.isIdle());
    ServerLoad a = sent.ownDomain[0].load;
    ServerLoad b = kept.bundle->ownDomain[0].load;
    a.updateTimeLeft(kNow);
    b.updateTimeLeft(kLater);
    EXPECT_EQ(kept.bundle->ownDomain[0].server, 3U);
    EXPECT_EQ(a.streams, b.streams);
    EXPECT_EQ(a.decodingStreams, b.decodingStreams);
    EXPECT_EQ(a.shortStreams, b.shortStreams);
    EXPECT_EQ(a.arrivals, b.arrivals);
    EXPECT_EQ(a.shortArrivals, b.shortArrivals);
    EXPECT_EQ(a.memoryTokens, b.memoryTokens);
    EXPECT_NEAR(a.prefillLeftMs, b.prefillLeftMs, 1);
    EXPECT_NEAR(a.splitPrefillLeftMs, b.splitPrefillLeftMs, 1);
    ASSERT_EQ(b.eventGapRisks.size(), 1U);
    EXPECT_EQ(b.eventGapRisks[0].objectiveMs, 300);
    EXPECT_NEAR(b.eventGapRisks[0].value, 1.3F, 0.05);
    ASSERT_EQ(b.firstEventRisks.size(), 1U);
    EXPECT_EQ(a.firstEventRisks[0].dueAt - kNow, b.firstEventRisks[0].dueAt - kLater);
}

TEST(ExchangeMessage, TheEchoIsSetForEachReceiver)
{
    std::vector<std::string> datagrams = encodeBundle({head(), 1, {entry(3)}, {}}, kNow);
    setEcho(datagrams.front(), 0x1122334455667788);
    const Kept kept = decoded(datagrams.front());
    EXPECT_EQ(kept.bundle->head.echo, 0x1122334455667788U);
    EXPECT_EQ(kept.bundle->head.stamp, 345U);
    EXPECT_EQ(kept.bundle->ownDomain.size(), 1U);
}

// 90 instances that told each part of a split read in full spent 112 KB a second each.
TEST(ExchangeMessage, WritesWhatPartsHaveInCommonOnce)
{
    const ReportMessage none = {head(), {}};
    const ReportMessage one = {head(), splitStream(5, 14)};
    EXPECT_LT(encodeReport(one, kNow).size() - encodeReport(none, kNow).size(), 100U);
}

TEST(ExchangeMessage, AReportLeavesOutWhatFindsNoRoom)
{
    ReportMessage message = {head(), {}};
    for (std::uint32_t stream = 1; stream <= 200; ++stream) {
        const std::vector<StreamPart> parts = splitStream(stream, 14);
        message.parts.insert(message.parts.end(), parts.begin(), parts.end());
    }
    const std::string bytes = encodeReport(message, kNow);
    EXPECT_LE(bytes.size(), kMaxDatagram);
    EXPECT_GT(bytes.size(), kMaxDatagram - 200);
    EXPECT_TRUE(decoded(bytes).report);
}

TEST(ExchangeMessage, ABundleTakesAsManyDatagramsAsItNeeds)
{
    BundleMessage message = {head(), 1, {}, {}};
    for (ServerKey server = 1; server <= 600; ++server) {
        message.ownDomain.push_back(entry(server));
        message.elsewhere.push_back(entry(1000 + server));
    }
    std::size_t own = 0;
    std::size_t elsewhere = 0;
    std::uint64_t sequence = message.head.sequence;
    for (const std::string &datagram : encodeBundle(message, kNow)) {
        EXPECT_LE(datagram.size(), kMaxDatagram);
        const Kept kept = decoded(datagram);
        ASSERT_TRUE(kept.bundle);
        EXPECT_EQ(kept.bundle->head.sequence, sequence++);
        own += kept.bundle->ownDomain.size();
        elsewhere += kept.bundle->elsewhere.size();
    }
    EXPECT_EQ(own, 600U);
    EXPECT_EQ(elsewhere, 600U);
}

CrashReport suspectReport(int number)
{
    return {fingerprintOf(std::to_string(number)), BackendServerId("i-0123456789"),
            1'700'000'000'000, kNow - absl::Milliseconds(number)};
}

TEST(ExchangeMessage, WhatIsKnownOfCrashingCallsTakesAsManyDatagramsAsItNeeds)
{
    QuarantineMessage message;
    message.head = head();
    message.head.quarantineDigest = 77;
    for (int number = 0; number < 300; ++number) {
        message.deaths.push_back(suspectReport(number));
        message.served.push_back({fingerprintOf(std::to_string(number)), kNow});
    }
    std::vector<CrashReport> deaths;
    std::size_t served = 0;
    std::uint64_t sequence = message.head.sequence;
    for (const std::string &datagram : encodeQuarantine(message, kNow)) {
        EXPECT_LE(datagram.size(), kMaxDatagram);
        const Kept kept = decoded(datagram, kLater);
        ASSERT_TRUE(kept.quarantine);
        EXPECT_EQ(kept.quarantine->head.sequence, sequence++);
        EXPECT_EQ(kept.quarantine->head.quarantineDigest, 77U);
        deaths.insert(deaths.end(), kept.quarantine->deaths.begin(), kept.quarantine->deaths.end());
        served += kept.quarantine->served.size();
    }
    ASSERT_EQ(deaths.size(), message.deaths.size());
    for (std::size_t i = 0; i < deaths.size(); ++i) {
        EXPECT_EQ(deaths[i].fingerprint, message.deaths[i].fingerprint);
        EXPECT_EQ(deaths[i].server, message.deaths[i].server);
        EXPECT_EQ(deaths[i].incarnation, message.deaths[i].incarnation);
        EXPECT_EQ(kLater - deaths[i].diedAt, kNow - message.deaths[i].diedAt);
    }
    EXPECT_EQ(served, message.served.size());
    EXPECT_TRUE(encodeQuarantine({head(), {}, {}}, kNow).empty());
}

TEST(ExchangeMessage, AHeadWithoutRoomForAnEntryEnds)
{
    BundleMessage message = {head(), 1, {entry(1)}, {}};
    message.head.suspects.assign(255, 7);
    message.head.instance = std::string(255, 'x');
    message.head.domain = std::string(255, 'y');
    EXPECT_EQ(encodeBundle(message, kNow).size(), 1U);
}

TEST(ExchangeMessage, RejectsDamagedDatagramsWithoutHarm)
{
    const std::vector<std::string> good = {
        encodeReport({head(), splitStream(5, 3)}, kNow),
        encodeBundle({head(), 2, {entry(3), entry(4)}, {entry(5)}}, kNow).front(),
        encodeQuarantine({head(), {suspectReport(1)}, {{fingerprintOf("2"), kNow}}}, kNow).front()};
    EXPECT_TRUE(rc::check("damaged datagrams", [&good] {
        std::string bytes = good[*rc::gen::inRange<std::size_t>(0, good.size())];
        const int changes = *rc::gen::inRange(0, 4);
        for (int i = 0; i < changes; ++i)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                static_cast<char>(*rc::gen::inRange(0, 256));
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        Kept kept;
        const bool isRead = !decodeMessage(bytes, kNow, kept);
        RC_ASSERT(
            isRead
            == (kept.report.has_value() || kept.bundle.has_value() || kept.quarantine.has_value()));
        RC_ASSERT(!kept.report || kept.report->parts.size() <= kMaxDatagram);
    }));
}

} // namespace
} // namespace foxtailtally
