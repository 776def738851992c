#include "main/gateway/kind_watcher.h"

#include "core/clock.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/str_cat.h>
#include <functional>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {
namespace {

constexpr std::size_t kMaxKeptBytes = std::size_t {1} << 20;

/** Records what a watcher reports. */
class RecordedEvents final : public KindEvents
{
public:
    void onObjects(std::vector<platform::StoredObject> &objects, bool, absl::Time) override
    {
        ++this->lists;
        this->listed = objects.size();
    }
    void onChange(platform::ObjectChange &, bool storeUnsettled, absl::Time) override
    {
        ++this->changes;
        this->unsettledChanges += storeUnsettled ? 1 : 0;
    }
    void onUnnamed(std::size_t count) override { this->unnamed += count; }
    void onConfirmed(absl::Time) override { }
    void onCacheChanged() override { }

    int lists = 0;
    std::size_t listed = 0;
    int changes = 0;
    /** Changes that may be due to an outage of the store. */
    int unsettledChanges = 0;
    std::size_t unnamed = 0;
};

/** A watcher and a store whose responses the test writes. */
class KindWatcherTest : public testing::Test
{
protected:
    KindWatcherTest()
        : source({InstanceId("n1"), FailureDomainId("d0"), "127.0.0.1:1", "127.0.0.1:2", 1.0})
        , watcher(this->loop.base(), this->store.address(), this->source, StoreKind::Servers,
                  "servers", {absl::Milliseconds(1)}, kMaxKeptBytes, this->events)
    { }
    ~KindWatcherTest() override
    {
        for (const int socket : this->sockets)
            ::close(socket);
    }

    /** Runs the watcher against @p respond, which gets a request's target, until @p condition. */
    bool runUntil(const std::function<std::string(const std::string &)> &respond,
                  const std::function<bool()> &condition)
    {
        return this->loop.runUntil([&] {
            if (const int socket = this->store.accept(); socket >= 0)
                this->sockets.push_back(socket);
            for (const int socket : this->sockets) {
                const std::string request = readAvailable(socket);
                if (request.empty())
                    continue;
                const std::string line = request.substr(0, request.find("\r\n"));
                this->requestLines.push_back(line);
                const std::string body = respond(line);
                if (!body.empty())
                    writeAll(socket,
                             absl::StrCat(this->headStart, "Content-Length: ", body.size(),
                                          "\r\n\r\n", body));
            }
            return condition();
        });
    }

    /** Status line and first headers of all responses. */
    std::string headStart = "HTTP/1.1 200 OK\r\n";
    TestLoop loop;
    RawServer store;
    StoreSource source;
    RecordedEvents events;
    KindWatcher watcher;
    std::vector<int> sockets;
    std::vector<std::string> requestLines;
};

// A page of entries without names, with more to follow, passed for the whole list: all servers were
// removed.
TEST_F(KindWatcherTest, DoesNotTakeAPageThatCannotBeContinuedForAList)
{
    this->watcher.start();
    const auto respond = [](const std::string &) {
        return std::string(R"({"Entries":[{"Metadata":{}}],"More":true,"StoreRevision":9})");
    };
    ASSERT_TRUE(this->runUntil(respond, [this] { return this->requestLines.size() >= 3; }));
    EXPECT_EQ(this->events.lists, 0);
    EXPECT_GE(this->events.unnamed, 2U);
}

// Guards against a list of the store that is taken from a response that is no HTTP.
TEST_F(KindWatcherTest, TakesNoListFromAnInvalidResponse)
{
    this->watcher.start();
    const auto respond = [](const std::string &) {
        return std::string(R"({"Entries":[],"More":false,"StoreRevision":9})");
    };
    for (const std::string start :
         {"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX Name: 1\r\n"}) {
        this->headStart = start;
        const std::size_t before = this->requestLines.size();
        ASSERT_TRUE(this->runUntil(
            respond, [this, before] { return this->requestLines.size() >= before + 3; }));
        EXPECT_EQ(this->events.lists, 0) << start;
    }
    this->headStart = "HTTP/1.1 200 OK\r\n";
    EXPECT_TRUE(this->runUntil(respond, [this] { return this->events.lists > 0; }));
}

// The store repeated a page for ever, and the list was never complete.
TEST_F(KindWatcherTest, DoesNotRequestTheSamePageWithoutPause)
{
    this->watcher.start();
    const auto respond = [](const std::string &) {
        return std::string(
            R"({"Entries":[{"Metadata":{"Name":"a"}}],"More":true,"StoreRevision":9})");
    };
    const absl::Time start = absl::Now();
    ASSERT_TRUE(
        this->runUntil(respond, [start] { return absl::Now() - start > absl::Milliseconds(200); }));
    EXPECT_LT(this->requestLines.size(), 5U);
    EXPECT_EQ(this->events.lists, 0);
}

// A name with a space, at the end of a page, made a request that the store could not read, so that
// the list stood still.
TEST_F(KindWatcherTest, ContinuesAfterANameOfAnotherWriter)
{
    this->watcher.start();
    const auto respond = [](const std::string &line) {
        return line.find("After=") == std::string::npos
            ? std::string(R"({"Entries":[{"Metadata":{"Name":"i 1&Watch=7\r\nX: y"}}],"More":true,)"
                          R"("StoreRevision":9})")
            : std::string(R"({"Entries":[{"Metadata":{"Name":"z"}}],"StoreRevision":9})");
    };
    ASSERT_TRUE(this->runUntil(respond, [this] { return this->events.lists > 0; }));
    EXPECT_EQ(this->events.listed, 2U);
    EXPECT_EQ(this->requestLines.at(1),
              "GET /objects/servers?After=i%201%26Watch%3D7%0D%0AX%3A%20y HTTP/1.1");
}

// An odd object in a response to a watch stopped the watch.
TEST_F(KindWatcherTest, FollowsChangesBesideOddOnes)
{
    this->watcher.start();
    const auto respond = [this](const std::string &line) -> std::string {
        if (line.find("Watch=") == std::string::npos)
            return R"({"Entries":[{"Metadata":{"Name":"a"},"Spec":{"b":1e999}}],"StoreRevision":9})";
        if (line.find("Watch=9&") != std::string::npos)
            return R"({"events":[{"Object":7},{"Object":{"Metadata":{"Name":"a"},"Spec":-1e999}}],)"
                   R"("StoreRevision":12})";
        if (line.find("Watch=12&") != std::string::npos)
            return R"({"events":[{"Object":{"Metadata":null}}],"StoreRevision":15})";
        if (line.find("Watch=15&") != std::string::npos)
            return R"({"events":[{"Object":{"Metadata":{"Name":"b"}}}],"StoreRevision":16})";
        return {};
    };
    ASSERT_TRUE(this->runUntil(respond, [this] { return this->events.changes == 2; }));
    EXPECT_EQ(this->events.lists, 1);
    EXPECT_EQ(this->events.unnamed, 2U);
    EXPECT_EQ(this->watcher.cache().position().revision, 16);
}

// A watch whose response was too long was sent again from the same revision; its response could
// only grow, so the instance acted by an old version until the store had dropped its history.
TEST_F(KindWatcherTest, ListsAfterAResponseThatIsTooLong)
{
    constexpr std::size_t kAnswerBytes = std::size_t {6} << 20;
    const std::string piece(std::size_t {64} << 10, ' ');
    std::size_t sent = 0;
    int slowSocket = -1;
    this->watcher.start();
    const auto respond = [&](const std::string &line) -> std::string {
        if (line.find("Watch=") == std::string::npos)
            return R"({"Entries":[],"StoreRevision":9})";
        if (slowSocket >= 0)
            return {};
        slowSocket = this->sockets.back();
        writeAll(slowSocket,
                 absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", kAnswerBytes, "\r\n\r\n"));
        return {};
    };
    ASSERT_TRUE(this->runUntil(respond, [&] {
        if (slowSocket >= 0 && sent < kAnswerBytes && this->requestLines.size() == 2) {
            writeAll(slowSocket, piece);
            sent += piece.size();
        }
        return this->requestLines.size() >= 3;
    }));
    EXPECT_EQ(this->requestLines.at(2).find("Watch="), std::string::npos)
        << this->requestLines.at(2);
    // The store has answered, so that servers that it removes have not expired in an outage.
    EXPECT_TRUE(this->watcher.isSettled(Clock::now()));
}

// The same for a response that the store, or the link, broke off.
TEST_F(KindWatcherTest, ListsAfterAResponseThatBreaksOff)
{
    bool hasBroken = false;
    this->watcher.start();
    const auto respond = [&](const std::string &line) -> std::string {
        if (line.find("Watch=") == std::string::npos)
            return R"({"Entries":[],"StoreRevision":9})";
        if (std::exchange(hasBroken, true))
            return {};
        writeAll(this->sockets.back(), "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{");
        ::shutdown(this->sockets.back(), SHUT_RDWR);
        return {};
    };
    ASSERT_TRUE(this->runUntil(respond, [this] { return this->requestLines.size() >= 3; }));
    EXPECT_EQ(this->requestLines.at(2).find("Watch="), std::string::npos)
        << this->requestLines.at(2);
}

/** Responses of a store that cuts off the first watch, and whose next @p refused calls fail. */
class CuttingStore
{
public:
    CuttingStore(std::vector<int> &sockets, int refused)
        : sockets(sockets)
        , refused(refused)
    { }

    std::string operator()(const std::string &line)
    {
        if (line.find("Watch=") == std::string::npos)
            return R"({"Entries":[{"Metadata":{"Name":"a"}}],"StoreRevision":9})";
        if (this->watches++ <= this->refused) {
            resetConnection(std::exchange(this->sockets.back(), -1));
            return {};
        }
        return R"({"events":[{"Deleted":true,"Object":{"Metadata":{"Name":"a"}}}],)"
               R"("StoreRevision":10})";
    }

private:
    std::vector<int> &sockets;
    int refused;
    int watches = 0;
};

// A watch that the store cut off passed for an outage: a server that was removed just afterwards
// got requests for longer than the drain bound.
TEST_F(KindWatcherTest, DoesNotTakeACutWatchForAnOutage)
{
    this->watcher.start();
    CuttingStore store(this->sockets, 0);
    ASSERT_TRUE(this->runUntil([&](const std::string &line) { return store(line); },
                               [this] { return this->events.changes > 0; }));
    EXPECT_EQ(this->events.unsettledChanges, 0);
}

// Entries expire in an outage, of which the reset of the waiting watch is the first sign.
TEST_F(KindWatcherTest, TakesACutWatchAndAFailedCallForAnOutage)
{
    this->watcher.start();
    CuttingStore store(this->sockets, 1);
    ASSERT_TRUE(this->runUntil([&](const std::string &line) { return store(line); },
                               [this] { return this->events.changes > 0; }));
    EXPECT_EQ(this->events.unsettledChanges, this->events.changes);
}

// Only one kind calls the store while it is away; the others are cut off and then answered.
TEST_F(KindWatcherTest, TakesACutWatchForAnOutageThatAnotherKindSaw)
{
    this->watcher.start();
    CuttingStore store(this->sockets, 0);
    absl::Time cutAt = absl::InfiniteFuture();
    bool hasFailed = false;
    const auto respond = [&](const std::string &line) {
        const std::string body = store(line);
        if (body.empty())
            cutAt = Clock::now();
        return body;
    };
    ASSERT_TRUE(this->runUntil(respond, [&] {
        const absl::Time now = Clock::now();
        if (!hasFailed && now - cutAt > absl::Milliseconds(50)) {
            this->source.onStoreFailed(now);
            hasFailed = true;
        }
        return this->events.changes > 0;
    }));
    EXPECT_TRUE(hasFailed);
    EXPECT_EQ(this->events.unsettledChanges, this->events.changes);
}

// Earlier versions of a large configuration were parsed too, which took longer than the next
// changes.
TEST(StoreChanges, DecodesTheLastOfSeveralConfigurations)
{
    platform::ObjectChanges changes;
    for (std::int64_t revision = 5; revision <= 8; ++revision)
        changes.changes.push_back({{"main", revision, "{}"}, false});
    changes.changes.push_back({{"other", 9, "{}"}, true});
    changes.revision = 9;
    const std::string body = platform::encodeChanges(changes);
    const auto configs = platform::decodeChanges(body, platform::kConfigKind);
    ASSERT_TRUE(configs.ok());
    ASSERT_EQ(configs->changes.size(), 2U);
    EXPECT_EQ(configs->changes.at(0).object.revision, 8);
    EXPECT_EQ(configs->changes.at(1).object.name, "other");
    EXPECT_TRUE(configs->changes.at(1).isDeleted);
    EXPECT_EQ(configs->revision, 9);
    // The steps of a server count: one that drained before it was removed stays so.
    const auto servers = platform::decodeChanges(body, platform::kServerKind);
    ASSERT_TRUE(servers.ok());
    EXPECT_EQ(servers->changes.size(), 5U);
}

// A timer that was early by a millisecond was not started again: the watch stood still until
// another instance sent something.
TEST_F(KindWatcherTest, GoesOnAfterAnEarlyTimer)
{
    constexpr std::int64_t kChanges = 25;
    KindWatcher slow(this->loop.base(), this->store.address(), this->source, StoreKind::Servers,
                     "servers", {absl::Milliseconds(60)}, kMaxKeptBytes, this->events);
    slow.start();
    std::int64_t revision = 9;
    const auto respond = [&](const std::string &line) -> std::string {
        if (line.find("Watch=") == std::string::npos)
            return R"({"Entries":[],"StoreRevision":9})";
        ++revision;
        return absl::StrCat(R"({"events":[{"Object":{"Metadata":{"Name":"a"}}}],"StoreRevision":)",
                            revision, "}");
    };
    EXPECT_TRUE(this->runUntil(respond, [this] { return this->events.changes >= kChanges; }));
}

} // namespace
} // namespace foxtailtally
