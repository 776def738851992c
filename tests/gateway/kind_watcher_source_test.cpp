#include "main/gateway/kind_watcher.h"

#include "core/clock.h"
#include "main/gateway/store_relay.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <functional>
#include <gtest/gtest.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace foxtailtally {
namespace {

struct Ignored final : KindEvents
{
    void onRestored(const StorePosition &held, const StorePosition &found, absl::Time) override
    {
        this->restores.push_back({held, found});
    }
    void onObjects(std::vector<platform::StoredObject> &objects, bool, absl::Time) override
    {
        ++this->lists;
        this->listed = objects.size();
    }
    void onChange(platform::ObjectChange &, bool, absl::Time) override
    {
        ++this->changes;
        absl::SleepFor(this->changeDuration);
    }
    void onUnnamed(std::size_t) override { }
    void onConfirmed(absl::Time moment) override { this->confirmedAt = moment; }
    void onCacheChanged() override
    {
        if (this->cacheChanged)
            this->cacheChanged();
    }
    bool isNewest() const override { return this->newest; }

    std::function<void()> cacheChanged;
    bool newest = true;
    int lists = 0;
    std::size_t listed = 0;
    int changes = 0;
    absl::Time confirmedAt = absl::InfinitePast();
    std::vector<std::pair<StorePosition, StorePosition>> restores;
    absl::Duration changeDuration = absl::ZeroDuration();
};

/** The store or another instance; the test writes its responses. */
class Source
{
public:
    explicit Source(TestLoop &loop)
        : loop(loop)
    { }
    ~Source()
    {
        ::close(this->socket);
        for (const int earlier : this->earlierSockets)
            ::close(earlier);
    }

    std::string address() const { return this->server.address(); }
    /** Runs the loop until a request has arrived and returns its first line. */
    std::string waitForRequest()
    {
        this->received.clear();
        EXPECT_TRUE(this->loop.runUntil([this] { return this->hasRequest(); }));
        return this->received.substr(0, this->received.find("\r\n"));
    }
    bool hasRequest()
    {
        if (const int accepted = this->server.accept(); accepted >= 0)
            this->earlierSockets.push_back(std::exchange(this->socket, accepted));
        if (this->socket >= 0)
            this->received += readAvailable(this->socket);
        return this->received.find("\r\n\r\n") != std::string::npos;
    }
    /** @p era: no header with 0, like a store that does not count its restores. */
    void answer(const std::string &body, std::int64_t era = 0) const
    {
        const std::string header = era > 0 ? absl::StrCat("Store-Era: ", era, "\r\n") : "";
        writeAll(this->socket,
                 absl::StrCat("HTTP/1.1 200 OK\r\n", header, "Content-Length: ", body.size(),
                              "\r\n\r\n", body));
    }
    /** The history since the revision of a watch is gone. */
    void answerGone(std::int64_t era) const
    {
        writeAll(
            this->socket,
            absl::StrCat("HTTP/1.1 410 Gone\r\nStore-Era: ", era, "\r\nContent-Length: 0\r\n\r\n"));
    }
    const std::string &request() const { return this->received; }
    void clearRequest() { this->received.clear(); }

private:
    TestLoop &loop;
    RawServer server;
    int socket = -1;
    std::vector<int> earlierSockets;
    std::string received;
};

constexpr absl::Duration kBatchDelay = absl::Milliseconds(20);
constexpr std::size_t kMaxKeptBytes = std::size_t {1} << 20;

class KindWatcherSourceTest : public testing::Test
{
protected:
    KindWatcherSourceTest()
        : store(this->loop)
        , other(this->loop)
        , source(InstanceRecord {InstanceId("self"), {}, {}, {}})
        , watcher(this->loop.base(), this->store.address(), this->source, StoreKind::Servers,
                  platform::kServerKind, {kBatchDelay}, kMaxKeptBytes, this->events)
    {
        this->watcher.start();
    }

    static platform::ObjectPage page(const std::string &name, std::int64_t revision, bool hasMore)
    {
        platform::ObjectPage page;
        page.objects = {{name, revision, "{}"}};
        page.revision = revision;
        page.hasMore = hasMore;
        return page;
    }
    /** Another instance announces the change with revision @p revision. */
    void announce(std::int64_t revision) { this->announce({0, revision}); }
    void announce(const StorePosition &position, StoreKind kind = StoreKind::Servers,
                  std::int64_t version = 0)
    {
        KindStates states;
        states[static_cast<std::size_t>(kind)] = {position, position, Clock::now(), version};
        this->source.onPeerUpdate(InstanceId("other"), this->other.address(), false, states,
                                  Clock::now());
        this->watcher.onPeerUpdate();
    }

    /** The list that the relay at @p address sends to another instance. */
    std::string relayedList(const std::string &address)
    {
        int port = 0;
        EXPECT_TRUE(absl::SimpleAtoi(address.substr(address.find(':') + 1), &port));
        const int socket = connectTo(port);
        writeAll(socket,
                 absl::StrCat("GET ", platform::listTarget(platform::kServerKind, {}),
                              " HTTP/1.1\r\nHost: relay\r\n\r\n"));
        std::string answer;
        EXPECT_TRUE(this->loop.runUntil([&answer, socket] {
            answer += readAvailable(socket);
            return answer.find("StoreRevision") != std::string::npos;
        }));
        ::close(socket);
        return answer;
    }

    TestLoop loop;
    Ignored events;
    Source store;
    Source other;
    StoreSource source;
    KindWatcher watcher;
};

// Regression: objects that changed while further pages of the list were read kept their old state.
TEST_F(KindWatcherSourceTest, WatchesFromTheRevisionOfTheFirstPage)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 5, true)));
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("b", 7, false)));
    const std::string watch = this->store.waitForRequest();
    EXPECT_NE(watch.find("Watch=5"), std::string::npos) << watch;
}

// Regression: after a change that took some time to apply, an instance that no other one reports to
// never called the store again, as its timer fired before the end of the delay.
TEST_F(KindWatcherSourceTest, WatchesAgainAfterAChangeThatTookLong)
{
    this->events.changeDuration = kBatchDelay / 2;
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 5, false)));
    this->store.waitForRequest();
    this->store.answer(platform::encodeChanges({{{{"a", 6, "{}"}, false}}, 6}));
    EXPECT_NE(this->store.waitForRequest().find("Watch=6"), std::string::npos);
}

// Regression: an instance that waited for a store that does not answer fetched a change that
// another instance had announced only after the time-out of its call.
TEST_F(KindWatcherSourceTest, FetchesAnAnnouncedChangeWhileTheStoreIsSilent)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 5, false)));
    this->store.waitForRequest();
    const absl::Time watchedAt = Clock::now();
    ASSERT_TRUE(this->loop.runUntil([this] {
        this->announce(9);
        return this->other.hasRequest();
    }));
    EXPECT_GT(Clock::now() - watchedAt, StoreSource::kWatchTime);
    EXPECT_LT(Clock::now() - watchedAt, StoreSource::kWatchTime + absl::Milliseconds(600));
}

bool isWatch(const std::string &requestLine)
{
    return requestLine.find("Watch=") != std::string::npos;
}

// A watch from a revision that the restored store has given out again reports only what changed
// after it: the changes before were skipped.
TEST_F(KindWatcherSourceTest, ListsAgainWhenAWatchIsAnsweredInALaterEra)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 50, false)), 3);
    ASSERT_TRUE(isWatch(this->store.waitForRequest()));
    this->store.answer(platform::encodeChanges({{{{"b", 51, "{}"}, false}}, 51}), 4);
    EXPECT_FALSE(isWatch(this->store.waitForRequest()));
    EXPECT_EQ(this->events.changes, 0);
    this->store.answer(platform::encodePage(page("c", 20, false)), 4);
    EXPECT_NE(this->store.waitForRequest().find("Watch=20"), std::string::npos);
    EXPECT_EQ(this->watcher.cache().position(), (StorePosition {4, 20}));
    ASSERT_EQ(this->events.restores.size(), 1U);
    EXPECT_EQ(this->events.restores.front().first, (StorePosition {3, 50}));
    EXPECT_EQ(this->events.restores.front().second, (StorePosition {4, 20}));
}

// Objects of two histories were mixed when the store was restored between two pages.
TEST_F(KindWatcherSourceTest, StartsAListAnewWhenItsPagesAreOfTwoEras)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 50, true)), 3);
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("b", 40, false)), 4);
    const std::string again = this->store.waitForRequest();
    EXPECT_EQ(again.find("After="), std::string::npos) << again;
    EXPECT_EQ(this->events.lists, 0);
    this->store.answer(platform::encodePage(page("c", 40, false)), 4);
    EXPECT_NE(this->store.waitForRequest().find("Watch=40"), std::string::npos);
    EXPECT_EQ(this->events.listed, 1U);
}

// An answer of the lost history that arrived late brought back what the restore had undone, and
// confirmed it.
TEST_F(KindWatcherSourceTest, IgnoresAnAnswerOfAnEarlierEra)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 20, false)), 4);
    this->store.waitForRequest();
    const absl::Time confirmedAt = this->events.confirmedAt;
    this->store.answer(platform::encodeChanges({{{{"b", 90, "{}"}, false}}, 90}), 3);
    EXPECT_NE(this->store.waitForRequest().find("Watch=20"), std::string::npos);
    EXPECT_EQ(this->events.changes, 0);
    EXPECT_EQ(this->events.confirmedAt, confirmedAt);
    EXPECT_EQ(this->watcher.cache().position(), (StorePosition {4, 20}));
}

// A watch of ten seconds went on although another kind had shown that the store was restored.
TEST_F(KindWatcherSourceTest, ListsAtOnceWhenALaterEraIsAnnounced)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 50, false)), 3);
    this->store.waitForRequest();
    const absl::Time announcedAt = Clock::now();
    this->announce({4, 7}, StoreKind::Config);
    EXPECT_FALSE(isWatch(this->store.waitForRequest()));
    EXPECT_LT(Clock::now() - announcedAt, StoreSource::kWatchTime / 2);
}

// An instance that started while the store showed an older version used it for the time of a watch,
// although others had announced the newer one.
TEST_F(KindWatcherSourceTest, FetchesAnAnnouncedVersionBeforeTheWatchEnds)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 50, false)), 3);
    this->store.waitForRequest();
    const absl::Time announcedAt = Clock::now();
    this->announce({3, 50}, StoreKind::Servers, 7);
    EXPECT_FALSE(isWatch(this->other.waitForRequest()));
    EXPECT_LT(Clock::now() - announcedAt, absl::Milliseconds(200));
}

// A relay cannot tell from the revision alone that a request is of another history.
TEST_F(KindWatcherSourceTest, NamesItsEraWhenItFetches)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 50, false)), 3);
    this->store.waitForRequest();
    ASSERT_TRUE(this->loop.runUntil([this] {
        this->announce({3, 60});
        return this->other.hasRequest();
    }));
    EXPECT_NE(this->other.request().find("Watch=50"), std::string::npos);
    EXPECT_NE(this->other.request().find("Store-Era: 3\r\n"), std::string::npos);
}

// A store that answers in an era before the one known, for example without the header, was called
// ten times a second for each kind by every instance.
TEST_F(KindWatcherSourceTest, CallsAStoreOfAnEarlierEraWithTheDelaysAfterFailures)
{
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 20, false)), 4);
    const absl::Time end = Clock::now() + absl::Seconds(1);
    int calls = 0;
    this->loop.runUntil([this, end, &calls] {
        if (this->store.hasRequest()) {
            ++calls;
            this->store.clearRequest();
            this->store.answer(platform::encodePage(page("a", 90, false)), 3);
        }
        return Clock::now() > end;
    });
    EXPECT_LE(calls, 1 + absl::Seconds(1) / StoreSource::kRetryDelay);
}

// A relay went on sending the list that it had encoded, with the older configuration, after a newer
// one from another instance had replaced it at the same position of the restored store.
TEST_F(KindWatcherSourceTest, RelaysWhatHasReplacedAListAtTheSamePosition)
{
    StoreRelay relay(this->loop.base());
    relay.addKind(std::string(platform::kServerKind), this->watcher);
    this->events.cacheChanged = [&relay] { relay.onChanged(std::string(platform::kServerKind)); };
    const std::string relayAddress = RawServer().address();
    ASSERT_FALSE(relay.start(relayAddress));
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("older", 20, false)), 4);
    this->store.waitForRequest();
    EXPECT_NE(this->relayedList(relayAddress).find("older"), std::string::npos);
    this->store.answerGone(4);
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("newer", 20, false)), 4);
    this->store.waitForRequest();
    EXPECT_NE(this->relayedList(relayAddress).find("newer"), std::string::npos);
}

// A restored store that showed an older configuration confirmed the newer one that was held, so
// that a key that had been revoked meanwhile stayed valid.
TEST_F(KindWatcherSourceTest, ConfirmsNothingWhileTheStoreShowsAnOlderState)
{
    this->events.newest = false;
    this->store.waitForRequest();
    this->store.answer(platform::encodePage(page("a", 50, false)), 3);
    this->store.waitForRequest();
    EXPECT_EQ(this->events.confirmedAt, absl::InfinitePast());
    EXPECT_EQ(this->watcher.cache().lastConfirmedAt(), absl::InfinitePast());
}

} // namespace
} // namespace foxtailtally
