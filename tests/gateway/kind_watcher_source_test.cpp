#include "main/gateway/kind_watcher.h"

#include "core/clock.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

struct Ignored final : KindEvents
{
    void onObjects(std::vector<platform::StoredObject> &, bool, absl::Time) override { }
    void onChange(platform::ObjectChange &, bool, absl::Time) override
    {
        absl::SleepFor(this->changeDuration);
    }
    void onUnnamed(std::size_t) override { }
    void onConfirmed(absl::Time) override { }
    void onCacheChanged() override { }

    absl::Duration changeDuration = absl::ZeroDuration();
};

/** The store or another instance; the test writes its responses. */
class Source
{
public:
    explicit Source(TestLoop &loop)
        : loop(loop)
    { }
    ~Source() { ::close(this->socket); }

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
        if (this->socket < 0)
            this->socket = this->server.accept();
        if (this->socket >= 0)
            this->received += readAvailable(this->socket);
        return this->received.find("\r\n\r\n") != std::string::npos;
    }
    void answer(const std::string &body) const
    {
        writeAll(
            this->socket,
            absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
    }

private:
    TestLoop &loop;
    RawServer server;
    int socket = -1;
    std::string received;
};

constexpr absl::Duration kBatchDelay = absl::Milliseconds(20);

class KindWatcherSourceTest : public testing::Test
{
protected:
    KindWatcherSourceTest()
        : store(this->loop)
        , other(this->loop)
        , source(InstanceRecord {InstanceId("self"), {}, {}, {}})
        , watcher(this->loop.base(), this->store.address(), this->source, StoreKind::Servers,
                  platform::kServerKind, {kBatchDelay}, this->events)
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
    void announce(std::int64_t revision)
    {
        KindStates states;
        states[static_cast<std::size_t>(StoreKind::Servers)] = {revision, revision, Clock::now()};
        this->source.onPeerUpdate(InstanceId("other"), this->other.address(), false, states,
                                  Clock::now());
        this->watcher.onPeerUpdate();
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

} // namespace
} // namespace foxtailtally
