#include "servers/memory/response_memory.h"

#include "servers/memory/response_buffer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <utility>
#include <vector>

namespace foxtailtally {
namespace {

constexpr std::int64_t kMebibyte = std::int64_t {1} << 20;
/** The smallest and the usual instances. */
constexpr std::int64_t kSmallLimit = 160 * kMebibyte;
constexpr std::int64_t kUsualLimit = 260 * kMebibyte;
constexpr ServerKey kSoundServer = 1000;
/** What a connection delivers at a time. */
constexpr std::size_t kReadBytes = std::size_t {16} << 10;
/** Small responses have less. */
constexpr std::size_t kSmallResponseBytes = std::size_t {32} << 10;

/** Fills one buffer after the other, or all at the same time, until none gets more. */
void growWithoutEnd(std::vector<ResponseBuffer> &buffers, bool isOneByOne)
{
    const std::string block(kReadBytes, 'x');
    for (bool hasGrown = true; hasGrown;) {
        hasGrown = false;
        for (ResponseBuffer &buffer : buffers) {
            bool fits = buffer.tryAppend(block);
            hasGrown = hasGrown || fits;
            while (fits && isOneByOne)
                fits = buffer.tryAppend(block);
        }
    }
}

// Guards against servers that send without end and take the room of the sound ones, however many
// calls they have and in whatever order their responses grow.
TEST(ResponseMemory, KeepsRoomForSoundServers)
{
    for (const std::int64_t limit : {kSmallLimit, kUsualLimit}) {
        for (const ServerKey servers : {1U, 3U, 20U, 149U}) {
            for (const int calls : {1, 12, 600}) {
                for (const bool isOneByOne : {false, true}) {
                    SCOPED_TRACE(testing::Message()
                                 << limit / kMebibyte << " MiB, " << servers << " servers, "
                                 << calls << " calls, " << isOneByOne);
                    MemoryBudget budget(limit);
                    ResponseMemory memory(budget);
                    memory.setServers(servers + 1);
                    std::vector<ResponseBuffer> endless;
                    for (int call = 0; call < calls; ++call)
                        endless.emplace_back(memory, static_cast<ServerKey>(call) % servers);
                    growWithoutEnd(endless, isOneByOne);
                    ResponseBuffer small(memory, kSoundServer);
                    EXPECT_TRUE(small.tryAppend(std::string(kSmallResponseBytes, 'y')));
                    EXPECT_LE(budget.used(MemoryOwner::ResponseBodies),
                              budget.share(MemoryOwner::ResponseBodies));
                }
            }
        }
    }
}

// Guards against a share that is too small for a single large response.
TEST(ResponseMemory, GivesALargeResponseAnEighthOfTheShare)
{
    MemoryBudget budget(kSmallLimit);
    ResponseMemory memory(budget);
    memory.setServers(10);
    ResponseBuffer buffer(memory, kSoundServer);
    const std::int64_t share = budget.share(MemoryOwner::ResponseBodies);
    const std::string block(kReadBytes, 'x');
    while (static_cast<std::int64_t>(buffer.size()) < share / 8)
        ASSERT_TRUE(buffer.tryAppend(block)) << buffer.size();
}

// Guards against calls that fail although their server sends little, beside others of the same
// server that get responses without end.
TEST(ResponseMemory, LeavesRoomBesideOtherBuffersOfAServer)
{
    constexpr int kCalls = 300;
    MemoryBudget budget(kSmallLimit);
    ResponseMemory memory(budget);
    memory.setServers(4);
    std::vector<ResponseBuffer> endless;
    for (int call = 0; call < kCalls; ++call)
        endless.emplace_back(memory, kSoundServer);
    growWithoutEnd(endless, false);
    ResponseBuffer small(memory, kSoundServer);
    EXPECT_TRUE(small.tryAppend(std::string(4096, 'y')));
}

TEST(ResponseBuffer, KeepsNothingWhenItIsEmpty)
{
    MemoryBudget budget(kSmallLimit);
    ResponseMemory memory(budget);
    ResponseBuffer buffer(memory, kSoundServer);
    ASSERT_TRUE(buffer.tryAppend("0123456789"));
    EXPECT_GE(memory.heldFor(kSoundServer), 10);
    buffer.removePrefix(4);
    EXPECT_EQ(buffer.view(), "456789");
    buffer.removePrefix(6);
    EXPECT_EQ(memory.heldFor(kSoundServer), 0);
    EXPECT_EQ(budget.used(MemoryOwner::ResponseBodies), 0);
}

// Guards against a buffer that keeps the capacity of a large event for the small ones after it.
TEST(ResponseBuffer, GivesUnusedCapacityBack)
{
    MemoryBudget budget(kSmallLimit);
    ResponseMemory memory(budget);
    ResponseBuffer buffer(memory, kSoundServer);
    ASSERT_TRUE(buffer.tryAppend(std::string(200000, 'x') + "rest"));
    buffer.removePrefix(200000);
    EXPECT_EQ(buffer.view(), "rest");
    EXPECT_LE(memory.heldFor(kSoundServer), 1024);
}

// Whatever buffers do, they hold what they use, keep the share, and give all of it back.
RC_GTEST_PROP(ResponseMemoryProperty, KeepsTheShareAndLosesNone, ())
{
    MemoryBudget budget(*rc::gen::element(kSmallLimit, kUsualLimit));
    ResponseMemory memory(budget);
    const auto servers = *rc::gen::inRange<ServerKey>(1, 12);
    memory.setServers(servers);
    std::vector<ResponseBuffer> buffers;
    std::vector<std::string> texts;
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
        if (buffers.empty() || *rc::gen::inRange(0, 4) == 0) {
            buffers.emplace_back(memory, *rc::gen::inRange<ServerKey>(0, servers));
            texts.emplace_back();
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, buffers.size());
        const auto bytes = *rc::gen::inRange<std::size_t>(0, 2 * kMebibyte);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
        case 1: {
            const std::string data(bytes, static_cast<char>('a' + step % 26));
            if (buffers[index].tryAppend(data))
                texts[index] += data;
            break;
        }
        case 2:
            buffers[index].removePrefix(bytes);
            texts[index].erase(0, bytes);
            break;
        default: {
            ResponseBuffer moved(std::move(buffers[index]));
            buffers[index] = std::move(moved);
            break;
        }
        }
        std::int64_t held = 0;
        for (std::size_t i = 0; i < buffers.size(); ++i) {
            RC_ASSERT(buffers[i].view() == texts[i]);
            RC_ASSERT(buffers[i].heldBytes() >= static_cast<std::int64_t>(texts[i].size()));
            held += buffers[i].heldBytes();
        }
        RC_ASSERT(held == budget.used(MemoryOwner::ResponseBodies));
        RC_ASSERT(held <= budget.share(MemoryOwner::ResponseBodies));
        // Servers beyond their guarantee leave each of the others its own.
        ResponseBuffer sound(memory, kSoundServer);
        memory.setServers(servers + 1);
        const std::int64_t guaranteed = memory.guaranteedBytes();
        RC_ASSERT(memory.allowance(kSoundServer) >= guaranteed);
        memory.setServers(servers);
    }
    buffers.clear();
    RC_ASSERT(budget.used(MemoryOwner::ResponseBodies) == 0);
}

} // namespace
} // namespace foxtailtally
