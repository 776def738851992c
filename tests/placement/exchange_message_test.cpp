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

/** Records the decoded content of a datagram. */
class DecodedMessages final : public MessageSink
{
public:
    void onReport(ReportMessage &message) override { this->report = message; }
    void onBundle(BundleMessage &message) override { this->bundle = message; }
    void onQuarantine(QuarantineMessage &message) override { this->quarantine = message; }

    std::optional<ReportMessage> report;
    std::optional<BundleMessage> bundle;
    std::optional<QuarantineMessage> quarantine;
};

DecodedMessages decoded(const std::string &bytes, absl::Time now = kNow)
{
    DecodedMessages messages;
    EXPECT_FALSE(decodeMessage(bytes, now, messages));
    return messages;
}

/** A stream at server 100 with two helpers that hold memory and @p prefillHelpers that only
 * prefill. */
std::vector<StreamPart> streamWithHelpers(std::uint32_t stream, int prefillHelpers)
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
    for (int i = 0; i < 2 + prefillHelpers; ++i) {
        part.server = 101 + static_cast<ServerKey>(i);
        part.memoryTokens = i < 2 ? 9000 : 0;
        parts.push_back(part);
    }
    return parts;
}

MessageHeader header()
{
    MessageHeader result;
    result.instance = "instance-1";
    result.domain = "east";
    result.relayPort = 7342;
    result.incarnation = 7;
    result.sequence = 12;
    result.stamp = 345;
    result.echo = 678;
    result.hasLostStore = true;
    result.states[1] = {{3, 530}, {3, 531}, kNow - absl::Milliseconds(250)};
    result.states[0].version = 17;
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

TEST(ExchangeMessage, ReportsRoundTrip)
{
    const ReportMessage sent = {header(), streamWithHelpers(5, 14)};
    const DecodedMessages messages = decoded(encodeReport(sent, kNow), kLater);
    ASSERT_TRUE(messages.report);
    const MessageHeader &read = messages.report->header;
    EXPECT_EQ(read.instance, "instance-1");
    EXPECT_EQ(read.domain, "east");
    EXPECT_EQ(read.relayPort, 7342);
    EXPECT_EQ(read.incarnation, 7U);
    EXPECT_EQ(read.sequence, 12U);
    EXPECT_EQ(read.stamp, 345U);
    EXPECT_EQ(read.echo, 678U);
    EXPECT_TRUE(read.hasLostStore);
    EXPECT_FALSE(read.lendsShare);
    EXPECT_EQ(read.suspects, sent.header.suspects);
    EXPECT_EQ(read.states[1].content, (StorePosition {3, 530}));
    EXPECT_EQ(read.states[0].version, 17);
    EXPECT_FALSE(read.states[0].content.isKnown());
    EXPECT_EQ(read.states[0].confirmedAt, absl::InfinitePast());
    ASSERT_EQ(messages.report->parts.size(), sent.parts.size());
    for (std::size_t i = 0; i < sent.parts.size(); ++i) {
        const StreamPart &a = sent.parts[i];
        const StreamPart &b = messages.report->parts[i];
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

TEST(ExchangeMessage, TellsWhetherTheSenderLendsItsShare)
{
    ReportMessage sent = {header(), {}};
    sent.header.lendsShare = true;
    sent.header.hasLostStore = false;
    const DecodedMessages messages = decoded(encodeReport(sent, kNow), kLater);
    ASSERT_TRUE(messages.report);
    EXPECT_TRUE(messages.report->header.lendsShare);
    EXPECT_FALSE(messages.report->header.hasLostStore);
}

// Guards against rounding of ages: a state that is sent as fresher than it is would be trusted
// beyond its bound.
TEST(ExchangeMessage, AStateArrivesNoFresherThanItWas)
{
    MessageHeader sent = header();
    for (int micros = 0; micros < 3000; micros += 137) {
        sent.states[0] = {{0, 1}, {0, 1}, kNow - absl::Microseconds(micros)};
        const DecodedMessages messages = decoded(encodeReport({sent, {}}, kNow), kLater);
        EXPECT_GE(kLater - messages.report->header.states[0].confirmedAt,
                  absl::Microseconds(micros));
    }
}

TEST(ExchangeMessage, BundlesRoundTrip)
{
    const BundleMessage sent = {header(), 295, {entry(3)}, {entry(4), {5, {}}}};
    const std::vector<std::string> datagrams = encodeBundle(sent, kNow);
    ASSERT_EQ(datagrams.size(), 1U);
    const DecodedMessages messages = decoded(datagrams.front(), kLater);
    ASSERT_TRUE(messages.bundle);
    EXPECT_EQ(messages.bundle->instances, 295);
    ASSERT_EQ(messages.bundle->ownDomain.size(), 1U);
    ASSERT_EQ(messages.bundle->otherDomains.size(), 2U);
    EXPECT_TRUE(messages.bundle->otherDomains[1].load.isIdle());
    ServerLoad a = sent.ownDomain[0].load;
    ServerLoad b = messages.bundle->ownDomain[0].load;
    a.updateTimeLeft(kNow);
    b.updateTimeLeft(kLater);
    EXPECT_EQ(messages.bundle->ownDomain[0].server, 3U);
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

/** The load of entry() and of three streams that wait with the priority of late ones. */
ServerLoadEntry deferredEntry(ServerKey server)
{
    ServerLoadEntry result = entry(server);
    StreamPart deferred;
    deferred.placedAt = kNow - absl::Milliseconds(20);
    deferred.prefillMs = 30;
    deferred.memoryTokens = 6400;
    deferred.isDeferred = true;
    for (int i = 0; i < 3; ++i)
        result.load.add(deferred, kNow);
    return result;
}

// Guards against late streams of other instances that count as delay for timely ones.
TEST(ExchangeMessage, TellsDeferredStreamsApart)
{
    const BundleMessage sent = {header(), 295, {entry(3)}, {deferredEntry(4), {5, {}}}};
    const DecodedMessages messages = decoded(encodeBundle(sent, kNow).front(), kLater);
    ASSERT_TRUE(messages.bundle);
    ASSERT_EQ(messages.bundle->ownDomain.size(), 1U);
    EXPECT_EQ(messages.bundle->ownDomain[0].load.deferredStreams, 0);
    ASSERT_EQ(messages.bundle->otherDomains.size(), 2U);
    ServerLoad a = sent.otherDomains[0].load;
    ServerLoad b = messages.bundle->otherDomains[0].load;
    a.updateTimeLeft(kNow);
    b.updateTimeLeft(kLater);
    EXPECT_EQ(b.streams, 5);
    EXPECT_EQ(b.deferredStreams, 3);
    EXPECT_EQ(b.deferredMemoryTokens, a.deferredMemoryTokens);
    EXPECT_NEAR(b.deferredPrefillLeftMs, a.deferredPrefillLeftMs, 1);
    EXPECT_NEAR(b.prefillLeftMs, a.prefillLeftMs, 1);
    EXPECT_TRUE(messages.bundle->otherDomains[1].load.isIdle());

    ReportMessage report = {header(), streamWithHelpers(5, 0)};
    report.parts[0].isDeferred = true;
    EXPECT_TRUE(decoded(encodeReport(report, kNow)).report->parts[0].isDeferred);
    EXPECT_FALSE(decoded(encodeReport({header(), streamWithHelpers(5, 0)}, kNow))
                     .report->parts[0]
                     .isDeferred);
}

// Guards against datagrams that instances of the previous version cannot read although no stream
// is deferred, and against entries that grow by more than the design allows.
TEST(ExchangeMessage, UsesTheNewFormatForDeferredStreamsOnly)
{
    const std::string without = encodeBundle({header(), 1, {entry(3)}, {}}, kNow).front();
    const std::string with = encodeBundle({header(), 1, {deferredEntry(3)}, {}}, kNow).front();
    EXPECT_EQ(without[0], 7);
    EXPECT_EQ(with[0], 8);
    // Two of the ten bytes replace none: the waiting streams add up to one entry.
    EXPECT_LE(with.size(), without.size() + 10 + 4);
}

TEST(ExchangeMessage, SetsTheEchoForEachReceiver)
{
    std::vector<std::string> datagrams = encodeBundle({header(), 1, {entry(3)}, {}}, kNow);
    setEcho(datagrams.front(), 0x1122334455667788);
    const DecodedMessages messages = decoded(datagrams.front());
    EXPECT_EQ(messages.bundle->header.echo, 0x1122334455667788U);
    EXPECT_EQ(messages.bundle->header.stamp, 345U);
    EXPECT_EQ(messages.bundle->ownDomain.size(), 1U);
}

// Guards against the cost of large reports: with each part of a split prompt written in full, each
// of 90 instances sent 112 KB per second.
TEST(ExchangeMessage, WritesCommonFieldsOfPartsOnce)
{
    const ReportMessage none = {header(), {}};
    const ReportMessage one = {header(), streamWithHelpers(5, 14)};
    EXPECT_LT(encodeReport(one, kNow).size() - encodeReport(none, kNow).size(), 100U);
}

TEST(ExchangeMessage, ReportsLeaveOutStreamsThatDoNotFit)
{
    ReportMessage message = {header(), {}};
    for (std::uint32_t stream = 1; stream <= 200; ++stream) {
        const std::vector<StreamPart> parts = streamWithHelpers(stream, 14);
        message.parts.insert(message.parts.end(), parts.begin(), parts.end());
    }
    const std::string bytes = encodeReport(message, kNow);
    EXPECT_LE(bytes.size(), kMaxDatagram);
    EXPECT_GT(bytes.size(), kMaxDatagram - 200);
    EXPECT_TRUE(decoded(bytes).report);
}

TEST(ExchangeMessage, SplitsBundlesIntoDatagrams)
{
    BundleMessage message = {header(), 1, {}, {}};
    for (ServerKey server = 1; server <= 600; ++server) {
        message.ownDomain.push_back(entry(server));
        message.otherDomains.push_back(entry(1000 + server));
    }
    std::size_t own = 0;
    std::size_t otherDomains = 0;
    std::uint64_t sequence = message.header.sequence;
    for (const std::string &datagram : encodeBundle(message, kNow)) {
        EXPECT_LE(datagram.size(), kMaxDatagram);
        const DecodedMessages messages = decoded(datagram);
        ASSERT_TRUE(messages.bundle);
        EXPECT_EQ(messages.bundle->header.sequence, sequence++);
        own += messages.bundle->ownDomain.size();
        otherDomains += messages.bundle->otherDomains.size();
    }
    EXPECT_EQ(own, 600U);
    EXPECT_EQ(otherDomains, 600U);
}

CrashReport suspectReport(int number)
{
    return {fingerprintOf(std::to_string(number)), BackendServerId("i-0123456789"),
            1'700'000'000'000, kNow - absl::Milliseconds(number),
            kNow - absl::Milliseconds(number + number % 3 * 500)};
}

TEST(ExchangeMessage, SplitsQuarantineReportsIntoDatagrams)
{
    QuarantineMessage message;
    message.header = header();
    message.header.quarantineDigest = 77;
    for (int number = 0; number < 300; ++number) {
        message.deaths.push_back(suspectReport(number));
        message.served.push_back({fingerprintOf(std::to_string(number)), kNow,
                                  number % 2 == 0 ? kServedRetention : absl::ZeroDuration()});
    }
    std::vector<CrashReport> deaths;
    std::vector<ServedReport> served;
    std::uint64_t sequence = message.header.sequence;
    for (const std::string &datagram : encodeQuarantine(message, kNow)) {
        EXPECT_LE(datagram.size(), kMaxDatagram);
        const DecodedMessages messages = decoded(datagram, kLater);
        ASSERT_TRUE(messages.quarantine);
        EXPECT_EQ(messages.quarantine->header.sequence, sequence++);
        EXPECT_EQ(messages.quarantine->header.quarantineDigest, 77U);
        deaths.insert(deaths.end(), messages.quarantine->deaths.begin(),
                      messages.quarantine->deaths.end());
        served.insert(served.end(), messages.quarantine->served.begin(),
                      messages.quarantine->served.end());
    }
    ASSERT_EQ(deaths.size(), message.deaths.size());
    for (std::size_t i = 0; i < deaths.size(); ++i) {
        EXPECT_EQ(deaths[i].fingerprint, message.deaths[i].fingerprint);
        EXPECT_EQ(deaths[i].server, message.deaths[i].server);
        EXPECT_EQ(deaths[i].incarnation, message.deaths[i].incarnation);
        EXPECT_EQ(kLater - deaths[i].diedAt, kNow - message.deaths[i].diedAt);
        EXPECT_EQ(kLater - deaths[i].causeSince, kNow - message.deaths[i].causeSince);
    }
    ASSERT_EQ(served.size(), message.served.size());
    for (std::size_t i = 0; i < served.size(); ++i) {
        EXPECT_EQ(served[i].fingerprint, message.served[i].fingerprint);
        EXPECT_EQ(served[i].trustedFor, message.served[i].trustedFor);
    }
    EXPECT_TRUE(encodeQuarantine({header(), {}, {}, {}}, kNow).empty());
}

TEST(ExchangeMessage, CarriesTrials)
{
    QuarantineMessage message;
    message.header = header();
    for (int number = 0; number < 200; ++number) {
        message.deaths.push_back(suspectReport(number));
        message.deaths.back().wasTrial = number % 3 == 0;
        message.trials.push_back(
            {fingerprintOf(std::to_string(number)), kNow - absl::Milliseconds(number)});
    }
    std::vector<CrashReport> deaths;
    std::vector<TrialReport> trials;
    for (const std::string &datagram : encodeQuarantine(message, kNow)) {
        EXPECT_LE(datagram.size(), kMaxDatagram);
        const DecodedMessages messages = decoded(datagram, kLater);
        ASSERT_TRUE(messages.quarantine);
        deaths.insert(deaths.end(), messages.quarantine->deaths.begin(),
                      messages.quarantine->deaths.end());
        trials.insert(trials.end(), messages.quarantine->trials.begin(),
                      messages.quarantine->trials.end());
    }
    ASSERT_EQ(deaths.size(), message.deaths.size());
    for (std::size_t i = 0; i < deaths.size(); ++i) {
        EXPECT_EQ(crashKey(deaths[i]), crashKey(message.deaths[i]));
        EXPECT_EQ(deaths[i].wasTrial, message.deaths[i].wasTrial);
    }
    ASSERT_EQ(trials.size(), message.trials.size());
    for (std::size_t i = 0; i < trials.size(); ++i) {
        EXPECT_EQ(trials[i].fingerprint, message.trials[i].fingerprint);
        EXPECT_EQ(kLater - trials[i].startedAt, kNow - message.trials[i].startedAt);
    }
}

TEST(ExchangeMessage, StopsWhenTheHeaderLeavesNoRoom)
{
    BundleMessage message = {header(), 1, {entry(1)}, {}};
    message.header.suspects.assign(255, 7);
    message.header.instance = std::string(255, 'x');
    message.header.domain = std::string(255, 'y');
    EXPECT_EQ(encodeBundle(message, kNow).size(), 1U);
}

TEST(ExchangeMessage, RejectsDamagedDatagrams)
{
    const std::vector<std::string> good = {
        encodeReport({header(), streamWithHelpers(5, 3)}, kNow),
        encodeBundle({header(), 2, {entry(3), entry(4)}, {entry(5)}}, kNow).front(),
        encodeQuarantine({header(), {suspectReport(1)}, {{fingerprintOf("2"), kNow}}, {}}, kNow)
            .front(),
        encodeQuarantine({header(), {suspectReport(1)}, {}, {{fingerprintOf("2"), kNow}}}, kNow)
            .front()};
    EXPECT_TRUE(rc::check("damaged datagrams", [&good] {
        std::string bytes = good[*rc::gen::inRange<std::size_t>(0, good.size())];
        const int changes = *rc::gen::inRange(0, 4);
        for (int i = 0; i < changes; ++i)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                static_cast<char>(*rc::gen::inRange(0, 256));
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        DecodedMessages messages;
        const bool isRead = !decodeMessage(bytes, kNow, messages);
        RC_ASSERT(isRead
                  == (messages.report.has_value() || messages.bundle.has_value()
                      || messages.quarantine.has_value()));
        RC_ASSERT(!messages.report || messages.report->parts.size() <= kMaxDatagram);
    }));
}

} // namespace
} // namespace foxtailtally
