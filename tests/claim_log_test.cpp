#include "servers/claims/claim_keys.h"
#include "servers/claims/claim_shard.h"
#include "tests/model_store.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'700'000'000);

Fingerprint digest(std::uint64_t number)
{
    return claimKeyDigest(CustomerId("c"), std::to_string(number));
}

ClaimRecord claimOf(std::uint64_t number)
{
    ClaimRecord record;
    record.fence = number;
    record.at = kStart;
    record.key = digest(number);
    record.body = digest(number + 1'000'000);
    record.attempt = 0xffffffff00000000ULL + number;
    record.deadline = kStart + absl::Minutes(5);
    return record;
}

/** One shard alone on a store. */
struct Bench
{
    Random random {1};
    ModelStore store;
    ClaimShard shard {ClaimSettingsBuilder().setSelf(InstanceId("e"), 1).build().value()};
    absl::Time now = kStart;
    std::map<std::string, ClaimAction> answers;
    std::vector<ClaimGranted> grants;

    void perform(const ClaimActions &actions)
    {
        for (const ClaimAction &action : actions) {
            if (const auto *read = std::get_if<StoreRead>(&action))
                this->store.submit(0, *read, this->now, this->random);
            else if (const auto *list = std::get_if<StoreList>(&action))
                this->store.submit(0, *list, this->now, this->random);
            else if (const auto *write = std::get_if<StoreWrite>(&action))
                this->store.submit(0, *write, this->now, this->random);
            else if (const auto *refused = std::get_if<ClaimRefused>(&action))
                this->answers.emplace(refused->request.str(), *refused);
            else if (const auto *replay = std::get_if<ClaimReplay>(&action))
                this->answers.emplace(replay->request.str(), *replay);
            else if (const auto *grant = std::get_if<ClaimGranted>(&action)) {
                this->answers.emplace(grant->request.str(), *grant);
                this->grants.push_back(*grant);
            }
        }
    }

    void claim(const std::string &request, const std::string &key)
    {
        this->perform(this->shard.claim({RequestId(request), CustomerId("c"), key, digest(1), false,
                                         this->now + absl::Seconds(30), this->now},
                                        this->now));
    }

    void run(absl::Duration duration)
    {
        for (const absl::Time end = this->now + duration; this->now < end;) {
            this->now += absl::Milliseconds(1);
            for (const auto &delivery : this->store.run(this->now))
                this->perform(this->shard.onStoreReply(delivery.reply, this->now));
            if (this->now >= this->shard.nextTickAt())
                this->perform(this->shard.onTick(this->now));
        }
    }

    Refusal refusal(const std::string &request) const
    {
        return std::get<ClaimRefused>(this->answers.at(request)).refusal;
    }

    std::string dated(const std::string &text, absl::Duration age = absl::ZeroDuration()) const
    {
        return std::to_string(absl::ToUnixSeconds(this->now - age)) + "-" + text;
    }
};

} // namespace

// Guards against records that are altered by serialization, and against segments above the object
// size limit.
TEST(ClaimSegmentTest, RecordsSurviveTheStore)
{
    EXPECT_TRUE(rc::check("segment", [] {
        ClaimSegment segment(7, 1);
        std::uint64_t fence = 1;
        for (const std::string &answer : *rc::gen::arbitrary<std::vector<std::string>>()) {
            RC_ASSERT(segment.tryAppend(claimOf(fence)));
            ClaimRecord done;
            done.kind = ClaimRecord::Kind::Done;
            done.fence = fence++;
            done.at = kStart;
            done.answer = answer;
            done.isAnswerKept = true;
            RC_ASSERT(segment.tryAppend(done));
        }
        const auto parsed = ClaimSegment::parse(segment.serialize());
        RC_ASSERT(parsed.ok());
        RC_ASSERT(parsed->records() == segment.records());
        RC_ASSERT(parsed->nextFence() == fence);
    }));
    ClaimSegment full(0, 1);
    std::uint64_t fence = 1;
    while (full.tryAppend(claimOf(fence)))
        ++fence;
    RecordProperty("bytesPerClaim",
                   static_cast<int>(full.serialize().size() / full.records().size()));
    ClaimRecord outcome;
    outcome.kind = ClaimRecord::Kind::Done;
    outcome.fence = 100'000;
    outcome.at = kStart;
    outcome.answer = std::string(400, 'a');
    outcome.isAnswerKept = true;
    ClaimSegment answers(0, 1);
    while (answers.tryAppend(outcome)) { }
    RecordProperty("bytesPerOutcomeOf400",
                   static_cast<int>(answers.serialize().size() / answers.records().size()));
    EXPECT_LE(full.serialize().size(), kMaxSegmentBytes);
    EXPECT_GT(full.records().size(), 400U);
    EXPECT_FALSE(ClaimSegment::parse(full.serialize().substr(0, 1000)).ok());
}

// Guards against a wrong "not run" for expired keys, and against keys accepted after their claims
// have been removed.
TEST(ClaimLogTest, ChecksKeyDates)
{
    Bench bench;
    bench.claim("old", bench.dated("a", absl::Seconds(601)));
    bench.claim("future", bench.dated("a", absl::Seconds(-61)));
    bench.claim("undated", "a-b");
    EXPECT_EQ(bench.refusal("old").reason, RefusalReason::KeyExpired);
    EXPECT_FALSE(bench.refusal("old").notRun);
    EXPECT_EQ(bench.refusal("future").reason, RefusalReason::KeyExpired);
    EXPECT_TRUE(bench.refusal("undated").notRun);
    // The date is checked again when the claim is written, up to 20 ms later.
    bench.claim("oldest", bench.dated("a", absl::Seconds(599)));
    bench.claim("newest", bench.dated("a", absl::Seconds(-60)));
    bench.run(absl::Seconds(1));
    EXPECT_EQ(bench.grants.size(), 2U);
    EXPECT_LE(kMaxKeyAge + kMaxKeyLead, kClaimRetention - absl::Minutes(4));
}

// Guards against requests that wait for an unreachable store, and against granting a refused
// request once the store is reachable again.
TEST(ClaimLogTest, RefusesAtOnceWhileTheStoreIsUnreachable)
{
    Bench bench;
    bench.claim("first", bench.dated("a"));
    bench.run(absl::Seconds(1));
    bench.perform(
        bench.shard.onOutcome({bench.grants[0].key, bench.grants[0].attempt, bench.grants[0].fence,
                               AttemptOutcome::Done, "answer", bench.now},
                              bench.now));
    bench.run(absl::Seconds(1));
    bench.store.isUp = false;
    bench.claim("second", bench.dated("b"));
    bench.run(absl::Milliseconds(100));
    EXPECT_EQ(bench.refusal("second").reason, RefusalReason::StoreUnavailable);
    bench.claim("third", bench.dated("c"));
    EXPECT_EQ(bench.refusal("third").reason, RefusalReason::StoreUnavailable);
    EXPECT_TRUE(bench.refusal("third").notRun);
    EXPECT_GT(bench.refusal("third").retryAfter, absl::ZeroDuration());
    // An outcome that is already in the log is final and needs no store call.
    const std::string known = std::to_string(absl::ToUnixSeconds(kStart)) + "-a";
    bench.claim("replay", known);
    EXPECT_EQ(std::get<ClaimReplay>(bench.answers.at("replay")).answer, "answer");
    bench.store.isUp = true;
    bench.run(absl::Seconds(10));
    bench.claim("fourth", bench.dated("b"));
    bench.run(absl::Seconds(1));
    EXPECT_EQ(bench.grants.size(), 2U);
}

// Guards against a log that misses the last claims of a segment which another instance continued
// and sealed between two pages of the list, and against grants beside an unreadable segment.
TEST(ClaimLogTest, RejectsListsThatChangedWhileRead)
{
    ClaimLog log;
    ClaimSegment first(0, 1);
    ASSERT_TRUE(first.tryAppend(claimOf(1)));
    const ClaimSegment second(1, 5);
    EXPECT_FALSE(log.addListed(0, 1, first.serialize()));
    EXPECT_FALSE(log.addListed(1, 2, second.serialize()));
    EXPECT_FALSE(log.finishLoading());
    log.reset();
    first.seal();
    EXPECT_FALSE(log.addListed(0, 1, first.serialize()));
    EXPECT_FALSE(log.addListed(1, 2, second.serialize()));
    EXPECT_TRUE(log.finishLoading());
    EXPECT_EQ(log.draft().nextFence(), 5U);
    EXPECT_EQ(log.addListed(2, 3, "{}"), Error::DocumentInvalid);

    Bench bench;
    bench.store.objects["claims/0/0003"] = {1, "{}"};
    bench.claim("first", bench.dated("a"));
    bench.run(absl::Seconds(1));
    EXPECT_EQ(bench.refusal("first").reason, RefusalReason::StoreUnavailable);
    EXPECT_EQ(bench.shard.storeError(), Error::DocumentInvalid);
}

// Guards against a log that grows without bound, reuses an object whose claims are still valid, or
// lets fences fall when an object is reused.
TEST(ClaimLogTest, ReusesSlotsAfterTheRetention)
{
    Bench bench;
    std::uint64_t granted = 0;
    for (int round = 0; round < 6; ++round) {
        // More records than fit into all slots.
        for (int request = 0; request < 20'000; ++request) {
            const std::string name = std::to_string(round) + "." + std::to_string(request);
            bench.claim(name, bench.dated(name));
            if (request % 400 == 399)
                bench.run(absl::Milliseconds(60));
        }
        bench.run(absl::Seconds(1));
        EXPECT_GT(bench.grants.size(), granted + (kSegmentSlots - 2) * 400);
        EXPECT_EQ(bench.refusal(std::to_string(round) + ".19999").reason,
                  RefusalReason::ClaimTableFull);
        granted = bench.grants.size();
        EXPECT_LE(bench.store.objects.size(), kSegmentSlots);
        bench.now += absl::Minutes(16);
    }
    for (std::size_t index = 1; index < bench.grants.size(); ++index)
        ASSERT_GT(bench.grants[index].fence, bench.grants[index - 1].fence);
}

// Guards against a shard collector that changes when an unrelated instance leaves.
TEST(ClaimKeysTest, CollectorMovesOnlyWhenItLeaves)
{
    std::vector<InstanceId> live;
    for (int index = 0; index < 20; ++index)
        live.emplace_back("entry-" + std::to_string(index));
    for (std::uint32_t shard = 0; shard < 256; ++shard) {
        const InstanceId collector = shardCollector(shard, live);
        std::vector<InstanceId> fewer = live;
        std::erase(fewer, InstanceId("entry-7"));
        EXPECT_TRUE(collector == InstanceId("entry-7")
                    || shardCollector(shard, fewer) == collector);
        EXPECT_LT(shardOf(digest(shard), 64), 64U);
    }
}

} // namespace foxtailtally
