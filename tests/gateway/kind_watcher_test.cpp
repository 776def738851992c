#include "main/gateway/kind_watcher.h"

#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/str_cat.h>
#include <functional>
#include <gtest/gtest.h>
#include <unistd.h>

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
    void onChange(platform::ObjectChange &, bool, absl::Time) override { ++this->changes; }
    void onUnnamed(std::size_t count) override { this->unnamed += count; }
    void onConfirmed(absl::Time) override { }
    void onCacheChanged() override { }

    int lists = 0;
    std::size_t listed = 0;
    int changes = 0;
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
                             absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(),
                                          "\r\n\r\n", body));
            }
            return condition();
        });
    }

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
