#include "servers/placement/load_delta_tracker.h"
#include "servers/placement/stream_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
const FailureDomainId kEast("east");

StreamPart randomPart(std::uint32_t stream)
{
    StreamPart part;
    part.server = static_cast<ServerKey>(*rc::gen::inRange(1, 5));
    part.stream = stream;
    part.placedAt = kNow - absl::Milliseconds(*rc::gen::inRange(0, 3000));
    part.prefillMs = static_cast<float>(*rc::gen::inRange(1, 900));
    part.memoryTokens = static_cast<std::uint32_t>(*rc::gen::inRange(0, 50000));
    part.isDecoding = *rc::gen::arbitrary<bool>();
    part.isHelper = *rc::gen::arbitrary<bool>();
    part.isSplit = *rc::gen::arbitrary<bool>();
    part.isLate = *rc::gen::arbitrary<bool>();
    part.eventGapObjectiveMs = static_cast<std::uint16_t>(*rc::gen::element(300, 800, 1200));
    part.firstEventDueMs = static_cast<std::uint16_t>(*rc::gen::inRange(0, 4000));
    part.value = 1.5F;
    return part;
}

bool areEquivalent(const ServerLoad &a, const ServerLoad &b)
{
    return a.streams == b.streams && a.decodingStreams == b.decodingStreams
        && a.shortStreams == b.shortStreams && a.memoryTokens == b.memoryTokens
        && a.eventGapRisks.size() == b.eventGapRisks.size()
        && a.firstEventRisks.size() == b.firstEventRisks.size()
        && std::abs(a.prefillLeftMs - b.prefillLeftMs) < 0.01
        && std::abs(a.splitPrefillLeftMs - b.splitPrefillLeftMs) < 0.01;
}

bool areEquivalent(const ServerLoads &a, const ServerLoads &b)
{
    return std::all_of(a.begin(), a.end(), [&b](const auto &item) {
        const auto found = b.find(item.first);
        return found == b.end() ? item.second.isIdle() : areEquivalent(item.second, found->second);
    });
}

// Sums of groups of streams, merged, equal the sums over all streams.
TEST(ServerLoad, SumsAreThoseOfAllStreams)
{
    EXPECT_TRUE(rc::check("grouped sums", [] {
        const int count = *rc::gen::inRange(0, 8);
        ServerLoad all;
        std::vector<ServerLoad> groups(3);
        for (int i = 0; i < count; ++i) {
            const StreamPart part = randomPart(static_cast<std::uint32_t>(i));
            all.add(part, kNow);
            groups[*rc::gen::inRange<std::size_t>(0, 3)].add(part, kNow);
        }
        ServerLoad merged;
        for (const ServerLoad &group : groups)
            merged.merge(group);
        all.updateTimeLeft(kNow);
        merged.updateTimeLeft(kNow);
        RC_ASSERT(areEquivalent(all, merged));
        RC_ASSERT(all.arrivals == merged.arrivals);
    }));
}

// Sending only the changes, in datagrams that may be lost, brings a receiver up to date within the
// refresh interval and the lifetime of an entry.
TEST(LoadDeltaTracker, ReceiverConvergesDespiteLostDatagrams)
{
    EXPECT_TRUE(rc::check("lost datagrams", [] {
        StreamLedger truth;
        StreamLedger receiver;
        LoadDeltaTracker tracker;
        absl::Time now = kNow;
        const auto send = [&](bool arrives) {
            const std::vector<ServerLoadEntry> entries = tracker.takeChanges(truth.loads(now), now);
            if (arrives)
                receiver.updateOtherDomains(kEast, entries, now);
            receiver.onTick(now);
        };
        const int steps = *rc::gen::inRange(0, 40);
        for (int step = 0; step < steps; ++step) {
            const auto stream = static_cast<std::uint32_t>(*rc::gen::inRange(0, 6));
            if (*rc::gen::arbitrary<bool>())
                truth.place(std::vector {randomPart(stream)});
            else
                truth.remove(stream);
            now += absl::Milliseconds(50);
            send(*rc::gen::inRange(0, 3) > 0);
        }
        for (absl::Duration past;
             past < LoadTable::kEntryLifetime + LoadDeltaTracker::kRefreshInterval;
             past += absl::Milliseconds(50)) {
            now += absl::Milliseconds(50);
            send(true);
        }
        RC_ASSERT(areEquivalent(truth.loads(now), receiver.loads(now)));
        RC_ASSERT(areEquivalent(receiver.loads(now), truth.loads(now)));
    }));
}

TEST(LoadDeltaTracker, SendsOnlyChanges)
{
    StreamLedger ledger;
    StreamPart part;
    part.server = 1;
    part.stream = 1;
    part.placedAt = kNow;
    part.prefillMs = 40;
    ledger.place(std::vector {part});
    LoadDeltaTracker tracker;
    EXPECT_EQ(tracker.takeChanges(ledger.loads(kNow), kNow).size(), 1U);
    const absl::Time soon = kNow + absl::Milliseconds(30);
    EXPECT_TRUE(tracker.takeChanges(ledger.loads(soon), soon).empty());
    ledger.onFirstEvent(1);
    EXPECT_EQ(tracker.takeChanges(ledger.loads(soon), soon).size(), 1U);
    ledger.remove(1);
    const std::vector<ServerLoadEntry> ended = tracker.takeChanges(ledger.loads(soon), soon);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_TRUE(ended[0].load.isIdle());
}

// An instance counts its own streams at once, and not twice when received sums contain them.
TEST(StreamLedger, CountsAnOwnStreamOnce)
{
    StreamLedger ledger;
    StreamPart part;
    part.server = 1;
    part.stream = 1;
    part.placedAt = kNow;
    ledger.place(std::vector {part});
    part.stream = 2;
    part.placedAt = kNow + absl::Milliseconds(30);
    ledger.place(std::vector {part});
    ServerLoadEntry entry;
    entry.server = 1;
    entry.load.streams = 1;
    const absl::Time later = kNow + absl::Milliseconds(40);
    ledger.updateOwnDomain(std::vector {entry}, kNow + absl::Milliseconds(20), later);
    EXPECT_EQ(ledger.loads(later)[1].streams, 2);
    ledger.dropOwnDomain();
    EXPECT_EQ(ledger.loads(later)[1].streams, 2);
}

TEST(StreamLedger, KeepsDomainsApart)
{
    StreamLedger ledger;
    ServerLoadEntry entry;
    entry.server = 1;
    entry.load.streams = 3;
    ledger.updateOtherDomains(kEast, std::vector {entry}, kNow);
    entry.load.streams = 2;
    ledger.updateOwnDomain(std::vector {entry}, kNow, kNow);
    EXPECT_EQ(ledger.ownDomainLoads(kNow)[1].streams, 2);
    EXPECT_EQ(ledger.otherDomainLoads(kNow)[1].streams, 3);
    EXPECT_EQ(ledger.loads(kNow)[1].streams, 5);
    ledger.dropOtherDomains(kEast);
    EXPECT_EQ(ledger.loads(kNow)[1].streams, 2);
}

// A second after it was received, an arrival no longer counts against the rate of a cold server.
TEST(LoadTable, ForgetsArrivalsAfterASecond)
{
    LoadTable table;
    ServerLoadEntry entry;
    entry.server = 1;
    entry.load.streams = entry.load.arrivals = 4;
    table.update(std::vector {entry}, kNow);
    for (const int ms : {0, 999, 1000}) {
        ServerLoads loads;
        table.addTo(loads, kNow + absl::Milliseconds(ms));
        EXPECT_EQ(loads[1].arrivals, ms < 1000 ? 4 : 0);
        EXPECT_EQ(loads[1].streams, 4);
    }
}

} // namespace
} // namespace foxtailtally
