#include "core/random.h"
#include "peers/engine/cache_event_tracker.h"
#include "peers/engine/completion_parser.h"
#include "standins/lib/prefix_cache.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

std::string streamOf(std::int64_t first, const std::vector<std::string> &texts)
{
    std::string stream = ": comment\r\n\r\n";
    std::int64_t offset = first;
    for (const std::string &text : texts) {
        stream += "data: "
            + nlohmann::json {{"offset", offset++}, {"text", text}}.dump(
                -1, ' ', true, nlohmann::json::error_handler_t::replace)
            + (offset % 2 == 0 ? "\n\n" : "\r\n\r\n");
    }
    return absl::StrCat(stream, "data: {\"done\":true,\"offset\":", offset,
                        ",\"cached_tokens\":5}\n\n");
}

struct Parsed
{
    std::vector<CompletionToken> tokens;
    bool failed = false;
    bool done = false;

    bool operator==(const Parsed &) const = default;
};

/** Feeds @p stream in pieces of random size, up to @p maxPiece bytes each. */
Parsed parseInPieces(std::string_view stream, std::int64_t first, std::size_t maxPiece,
                     std::uint64_t seed)
{
    Random random(seed);
    CompletionParser parser(first);
    Parsed parsed;
    while (!stream.empty()) {
        const std::size_t size = std::min<std::size_t>(stream.size(), 1 + random.below(maxPiece));
        const bool failed = static_cast<bool>(parser.feed(stream.substr(0, size), parsed.tokens));
        parsed.failed = parsed.failed || failed;
        stream.remove_prefix(size);
    }
    parsed.done = parser.isDone();
    return parsed;
}

} // namespace

// Guards against tokens that depend on how the network splits the stream.
TEST(CompletionParserTest, EverySplitGivesTheSameTokens)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed, const std::vector<std::string> &texts) {
        const std::int64_t first = *rc::gen::inRange(0, 1000);
        const std::string stream = streamOf(first, texts);
        const Parsed whole = parseInPieces(stream, first, stream.size(), seed);
        RC_ASSERT(!whole.failed);
        RC_ASSERT(whole.done);
        RC_ASSERT(whole.tokens.size() == texts.size());
        RC_ASSERT(parseInPieces(stream, first, 1 + seed % 20, seed) == whole);
    }));
}

// Guards against crashes on corrupted streams, and against corruption that changes the order of
// tokens.
TEST(CompletionParserTest, CorruptedStreamsGiveTheSameResultForEverySplit)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed, const std::vector<std::string> &texts) {
        Random random(seed);
        std::string stream = streamOf(0, texts);
        for (std::uint64_t i = 0; i <= random.below(4); ++i) {
            const std::size_t at = random.below(stream.size());
            switch (random.below(3)) {
            case 0:
                stream[at] = static_cast<char>(random.below(256));
                break;
            case 1:
                stream.erase(at, random.below(30));
                break;
            default:
                stream.insert(at, stream.substr(random.below(stream.size()), random.below(60)));
                break;
            }
            stream += '\n';
        }
        const Parsed whole = parseInPieces(stream, 0, stream.size(), seed);
        RC_ASSERT(parseInPieces(stream, 0, 7, seed) == whole);
        for (std::size_t i = 0; i < whole.tokens.size(); ++i) {
            RC_ASSERT(whole.tokens[i].offset == static_cast<std::int64_t>(i));
        }
    }));
}

TEST(CompletionParserTest, RepeatedOrSkippedOffsetsAndLongLinesAreViolations)
{
    const auto parseError = [](std::string_view stream) {
        CompletionParser parser(3);
        std::vector<CompletionToken> tokens;
        return parser.feed(stream, tokens);
    };
    const std::string good = "data: {\"offset\":3,\"text\":\"a\"}\n\n";
    EXPECT_FALSE(parseError(good));
    EXPECT_EQ(parseError(good + good), Error::ProtocolViolation);
    EXPECT_EQ(parseError("data: {\"offset\":4,\"text\":\"a\"}\n\n"), Error::ProtocolViolation);
    EXPECT_EQ(parseError("data: {\"offset\":-1,\"text\":\"a\"}\n\n"), Error::ProtocolViolation);
    EXPECT_EQ(parseError(good + "data: {\"done\":true,\"offset\":3,\"cached_tokens\":0}\n\n"),
              Error::ProtocolViolation);
    EXPECT_EQ(parseError("HTTP/1.1 200 OK\n"), Error::ProtocolViolation);
    EXPECT_EQ(parseError("data: " + std::string(kMaxSseLineBytes, 'x')), Error::ProtocolViolation);
}

// Guards against a tracker that reports blocks as cached although it missed their eviction.
TEST(CacheEventTrackerTest, KnowsOnlyCachedBlocksOnceAllEventsWereApplied)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        Random random(seed);
        PrefixCache cache(absl::Seconds(1), 0.1);
        CacheEventTracker tracker(64);
        absl::Time now = absl::UnixEpoch();
        for (int i = 0; i < 60; ++i) {
            std::vector<std::uint64_t> blocks(1 + random.below(6));
            const std::uint64_t base = random.below(40);
            for (std::size_t j = 0; j < blocks.size(); ++j) {
                blocks[j] = base + j;
            }
            cache.store(blocks, 16, now, random);
            now += absl::Milliseconds(random.below(400));
            tracker.apply(
                1, {cache.firstSequence(), cache.lastVisible(now), [&] {
                        std::vector<EngineCacheEvent> events;
                        for (const CacheEvent &event : cache.events(tracker.position(), now)) {
                            events.push_back({event.sequence, event.isStored, event.block});
                        }
                        return events;
                    }()});
        }
        // A final page that ends at the last sequence used exposes any events lost at the end.
        now += absl::Seconds(2);
        std::vector<EngineCacheEvent> events;
        for (const CacheEvent &event : cache.events(tracker.position(), now)) {
            events.push_back({event.sequence, event.isStored, event.block});
        }
        tracker.apply(1, {cache.firstSequence(), cache.lastSequence(), events});
        for (std::uint64_t block = 0; block < 50; ++block) {
            const std::vector<std::uint64_t> one = {block};
            if (tracker.matchingBlocks(one) == 1) {
                RC_ASSERT(cache.match(one) == 1);
            }
        }
    }));
}

} // namespace foxtailtally
