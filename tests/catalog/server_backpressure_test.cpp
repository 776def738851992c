#include "servers/catalog/server_backpressure.h"

#include "core/random.h"
#include "servers/catalog/server_directory.h"

#include <absl/container/btree_map.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST(ServerBackpressure, HonoursPauses)
{
    struct Case
    {
        const char *name;
        absl::Duration pause;
        absl::Duration after;
        bool mayGetWork;
    };
    const std::vector<Case> cases = {
        {"none", absl::ZeroDuration(), absl::ZeroDuration(), true},
        {"negative", absl::Seconds(-5), absl::ZeroDuration(), true},
        {"within", absl::Seconds(2), absl::Milliseconds(1999), false},
        {"over", absl::Seconds(2), absl::Seconds(2), true},
        {"fraction", absl::Milliseconds(250), absl::Milliseconds(249), false},
        {"huge", absl::InfiniteDuration(), ServerBackpressure::kMaxPause - absl::Seconds(1), false},
        {"huge is bounded", absl::InfiniteDuration(), ServerBackpressure::kMaxPause, true},
    };
    for (const Case &entry : cases) {
        ServerBackpressure backpressure;
        backpressure.onPause(1, entry.pause, kNow);
        EXPECT_EQ(backpressure.mayGetWork(1, kNow + entry.after), entry.mayGetWork) << entry.name;
        EXPECT_TRUE(backpressure.mayGetWork(2, kNow));
    }
}

/** Reference model of the backpressure of one server. */
struct Model
{
    absl::Time leavingSince = absl::InfiniteFuture();
    absl::Time pausedUntil = absl::InfinitePast();
};

// For any sequence of reports: no server gets work during a pause that it asked for, or after it
// has reported that it drains.
RC_GTEST_PROP(ServerBackpressure, HoldsInAnyOrderOfReports, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    ServerBackpressure backpressure;
    absl::btree_map<ServerKey, Model> models;
    absl::Time now = kNow;
    for (int step = 0; step < 60; ++step) {
        const auto server = static_cast<ServerKey>(random.below(4));
        Model &model = models[server];
        switch (random.below(5)) {
        case 0:
            backpressure.onDraining(server, now);
            model.leavingSince = std::min(model.leavingSince, now);
            break;
        case 1: {
            const absl::Duration pause = absl::Milliseconds(random.below(4000));
            backpressure.onPause(server, pause, now);
            if (pause > absl::ZeroDuration())
                model.pausedUntil = std::max(model.pausedUntil, now + pause);
            break;
        }
        case 2:
            backpressure.onTick(now);
            break;
        default:
            // The process may have been suspended for a while.
            now += absl::Milliseconds(random.below(10) == 0 ? 10000 : random.below(800));
        }
        for (const auto &[key, expected] : models) {
            const bool mayGetWork = expected.leavingSince > now && expected.pausedUntil <= now;
            RC_ASSERT(backpressure.mayGetWork(key, now) == mayGetWork);
        }
    }
}

TEST(ServerBackpressure, IsBoundedAndExpires)
{
    ServerBackpressure backpressure;
    for (ServerKey server = 0; server < 2 * ServerBackpressure::kMaxServers; ++server)
        backpressure.onDraining(server, kNow + absl::Milliseconds(server));
    EXPECT_EQ(backpressure.size(), ServerBackpressure::kMaxServers);
    EXPECT_FALSE(backpressure.mayGetWork(2 * ServerBackpressure::kMaxServers - 1, kNow));
    backpressure.onTick(kNow + 2 * ServerBackpressure::kDrainingRetention);
    EXPECT_EQ(backpressure.size(), 0U);
}

ServerEntry entry(const std::string &id, Incarnation incarnation)
{
    ServerEntry result;
    result.id = BackendServerId(id);
    result.incarnation = incarnation;
    result.service = "desk";
    result.address = "127.0.0.1:80";
    result.domain = FailureDomainId("east");
    return result;
}

TEST(ServerDirectory, GivesNoWorkToAnIncarnationThatDrains)
{
    ServerDirectory directory;
    directory.onEntry(entry("a", 1), kNow);
    const ServerKey first = directory.find(BackendServerId("a"))->key;
    directory.backpressure().onDraining(first, kNow);
    EXPECT_TRUE(directory.usable("desk", kNow).empty());
    // The store may still list the server as ready.
    directory.onEntry(entry("a", 1), kNow);
    EXPECT_TRUE(directory.usable("desk", kNow).empty());
    directory.onEntry(entry("a", 2), kNow);
    EXPECT_EQ(directory.usable("desk", kNow).size(), 1U);
    // A delayed list contains the old incarnation again.
    directory.onEntry(entry("a", 1), kNow);
    EXPECT_TRUE(directory.usable("desk", kNow).empty());
}

TEST(ServerDirectory, ReturnsTheEndOfTheFirstPause)
{
    ServerDirectory directory;
    EXPECT_FALSE(directory.pausedUntil("desk", kNow));
    directory.onEntry(entry("a", 1), kNow);
    directory.onEntry(entry("b", 1), kNow);
    const ServerKey a = directory.find(BackendServerId("a"))->key;
    const ServerKey b = directory.find(BackendServerId("b"))->key;
    directory.backpressure().onPause(a, absl::Seconds(3), kNow);
    EXPECT_FALSE(directory.pausedUntil("desk", kNow));
    directory.backpressure().onPause(b, absl::Seconds(2), kNow);
    EXPECT_EQ(directory.pausedUntil("desk", kNow), kNow + absl::Seconds(2));
    EXPECT_FALSE(directory.pausedUntil("desk", kNow + absl::Seconds(2)));
    // The pause of a draining server does not count.
    directory.backpressure().onDraining(b, kNow);
    EXPECT_EQ(directory.pausedUntil("desk", kNow), kNow + absl::Seconds(3));
}

} // namespace
} // namespace foxtailtally
