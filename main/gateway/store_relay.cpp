#include "main/gateway/store_relay.h"

#include "core/clock.h"
#include "main/gateway/listener.h"

#include <algorithm>

namespace foxtailtally {

namespace {

constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

/** Time for which a list waits that this instance has not read itself yet: when all instances start
 * at once, most of them ask the same one. Below the time that they wait for a list. */
constexpr absl::Duration kListHold = absl::Milliseconds(600);

/** Longest that a watch is held, whatever its caller asks for. */
constexpr absl::Duration kLongestWatch = absl::Seconds(5);

} // namespace

StoreRelay::StoreRelay(event_base *base)
    : base(base)
    , timer(base, [this] { this->onTimer(); })
{ }

StoreRelay::~StoreRelay()
{
    if (this->listener)
        evconnlistener_free(this->listener);
}

void StoreRelay::addKind(const std::string &kind, const KindWatcher &watcher)
{
    this->kinds[kind] = &watcher;
}

std::error_code StoreRelay::start(const std::string &address)
{
    const Result<evconnlistener *> opened = listenOn(
        this->base, address,
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            static_cast<StoreRelay *>(object)->onAccept(socket);
        },
        this);
    if (!opened.ok())
        return opened.error();
    this->listener = *opened;
    return {};
}

void StoreRelay::onChanged(const std::string &kind)
{
    const absl::Time now = Clock::now();
    std::vector<Waiting> ready;
    std::erase_if(this->waiting, [&](const Waiting &watch) {
        if (watch.kind != kind)
            return false;
        ready.push_back(watch);
        return true;
    });
    for (const Waiting &watch : ready)
        this->answerWaiting(watch, now);
}

void StoreRelay::onTick()
{
    std::erase_if(this->connections, [this](const auto &connection) {
        return std::find(this->closed.begin(), this->closed.end(), connection.get())
            != this->closed.end();
    });
    this->closed.clear();
}

void StoreRelay::onAccept(int socket)
{
    InboundEvents &events = *this;
    this->connections.push_back(
        std::make_unique<InboundConnection>(this->base, socket, events, InboundLimits()));
}

void StoreRelay::onRequestHead(InboundConnection &connection)
{
    connection.discardBody();
}

void StoreRelay::onRequestComplete(InboundConnection &connection)
{
    const absl::Time now = Clock::now();
    const platform::StoreQuery query = platform::parseStoreTarget(connection.head().target);
    const auto found = this->kinds.find(query.kind);
    if (found == this->kinds.end()) {
        connection.answer(kStatusUnavailable, {}, {});
        return;
    }
    const KindCache &cache = found->second->cache();
    const absl::Duration wait = query.watchFrom ? std::min(query.wait, kLongestWatch) : kListHold;
    const Waiting request = {&connection, query.kind, query.watchFrom, now + wait};
    if (this->canAnswer(request, cache)) {
        this->answerWaiting(request, now);
        return;
    }
    this->waiting.push_back(request);
    this->startTimer(now);
}

bool StoreRelay::canAnswer(const Waiting &request, const KindCache &cache) const
{
    if (!cache.isKnown() || !request.watchFrom)
        return cache.isKnown();
    const auto changes = cache.changesSince(*request.watchFrom);
    return !changes || !changes->changes.empty();
}

void StoreRelay::onCallerGone(InboundConnection &connection)
{
    this->forget(connection);
}

void StoreRelay::onWritable(InboundConnection &)
{ }

void StoreRelay::onRequestRejected(InboundConnection &connection, int status)
{
    connection.answer(status, {}, {});
}

void StoreRelay::onClosed(InboundConnection &connection)
{
    this->forget(connection);
    this->closed.push_back(&connection);
}

void StoreRelay::onTimer()
{
    const absl::Time now = Clock::now();
    std::vector<Waiting> over;
    std::erase_if(this->waiting, [&](const Waiting &watch) {
        if (watch.until > now)
            return false;
        over.push_back(watch);
        return true;
    });
    for (const Waiting &watch : over)
        this->answerWaiting(watch, now);
    this->startTimer(now);
}

void StoreRelay::startTimer(absl::Time now)
{
    if (this->waiting.empty())
        return;
    const auto first =
        std::min_element(this->waiting.begin(), this->waiting.end(),
                         [](const Waiting &a, const Waiting &b) { return a.until < b.until; });
    this->timer.start(first->until - now + absl::Milliseconds(1));
}

void StoreRelay::answerWaiting(const Waiting &waiting, absl::Time now)
{
    const KindWatcher &watcher = *this->kinds.at(waiting.kind);
    const KindCache &cache = watcher.cache();
    if (!cache.isKnown()) {
        waiting.connection->answer(kStatusUnavailable, {}, {});
        return;
    }
    if (!waiting.watchFrom) {
        this->answer(*waiting.connection, watcher, 200, platform::encodePage(cache.page()), now);
        return;
    }
    const std::optional<platform::ObjectChanges> changes = cache.changesSince(*waiting.watchFrom);
    if (changes)
        this->answer(*waiting.connection, watcher, 200, this->encodedChanges(waiting, *changes),
                     now);
    else
        this->answer(*waiting.connection, watcher, kStatusGone, {}, now);
}

const std::string &StoreRelay::encodedChanges(const Waiting &waiting,
                                              const platform::ObjectChanges &changes)
{
    EncodedChanges &last = this->encoded[waiting.kind];
    if (last.from != *waiting.watchFrom || last.to != changes.revision)
        last = {*waiting.watchFrom, changes.revision, platform::encodeChanges(changes)};
    return last.body;
}

void StoreRelay::answer(InboundConnection &connection, const KindWatcher &watcher, int status,
                        const std::string &body, absl::Time now)
{
    const platform::RelayNote note = {watcher.cache().age(now), !watcher.isSettled(now)};
    connection.answer(status, platform::relayHeaders(note), body);
}

void StoreRelay::forget(InboundConnection &connection)
{
    std::erase_if(this->waiting,
                  [&connection](const Waiting &watch) { return watch.connection == &connection; });
}

} // namespace foxtailtally
