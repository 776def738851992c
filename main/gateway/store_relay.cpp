#include "main/gateway/store_relay.h"

#include "core/clock.h"
#include "peers/http/deflate.h"

#include <algorithm>
#include <iterator>

namespace foxtailtally {

namespace {

constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

/** Time for which a list waits that this instance has not read itself yet: when all instances start
 * at once, most of them ask the same one. Below the time that they wait for a list. */
constexpr absl::Duration kListHold = absl::Milliseconds(600);

/** Answers from this size on are compressed, in bytes: a configuration of a thousand routes goes to
 * a whole failure domain at once. */
constexpr std::size_t kLeastDeflated = 1024;

/** Longest that a watch is held, whatever its caller asks for. */
constexpr absl::Duration kLongestWatch = absl::Seconds(5);

} // namespace

StoreRelay::StoreRelay(event_base *base)
    : timer(base, [this] { this->onTimer(); })
    , server(base, *this)
{ }

void StoreRelay::addKind(const std::string &kind, const KindWatcher &watcher)
{
    this->kinds[kind] = &watcher;
}

void StoreRelay::onChanged(const std::string &kind)
{
    this->answerDue([&kind](const Waiting &request) { return request.kind == kind; }, Clock::now());
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
    this->server.onClosed(connection);
}

void StoreRelay::onTimer()
{
    const absl::Time now = Clock::now();
    this->answerDue([now](const Waiting &request) { return request.until <= now; }, now);
    this->startTimer(now);
}

void StoreRelay::answerDue(const std::function<bool(const Waiting &)> &isDue, absl::Time now)
{
    std::vector<Waiting> due;
    std::copy_if(this->waiting.begin(), this->waiting.end(), std::back_inserter(due), isDue);
    std::erase_if(this->waiting, isDue);
    for (const Waiting &request : due)
        this->answerWaiting(request, now);
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
    const platform::RelayNote note = {cache.age(now), !watcher.isSettled(now)};
    HttpHeaders headers = platform::relayHeaders(note);
    const EncodedAnswer *encodedBody = this->encodedAnswer(waiting, cache);
    if (!encodedBody) {
        waiting.connection->answer(kStatusGone, headers, {});
        return;
    }
    if (encodedBody->isDeflated)
        headers.add("Content-Encoding", "deflate");
    waiting.connection->answer(200, headers, encodedBody->body);
}

const StoreRelay::EncodedAnswer *StoreRelay::encodedAnswer(const Waiting &waiting,
                                                           const KindCache &cache)
{
    std::deque<EncodedAnswer> &kept = this->encoded[waiting.kind];
    const auto same = std::find_if(kept.begin(), kept.end(), [&](const EncodedAnswer &answer) {
        return answer.from == waiting.watchFrom && answer.to == cache.revision();
    });
    if (same != kept.end())
        return &*same;
    EncodedAnswer answer = {waiting.watchFrom, cache.revision(), {}, false};
    if (waiting.watchFrom) {
        const std::optional<platform::ObjectChanges> changes =
            cache.changesSince(*waiting.watchFrom);
        if (!changes)
            return nullptr;
        answer.body = platform::encodeChanges(*changes);
    } else {
        answer.body = platform::encodePage(cache.page());
    }
    if (answer.body.size() >= kLeastDeflated) {
        if (Result<std::string> shorter = compressDeflate(answer.body); shorter.ok()) {
            answer.body = std::move(*shorter);
            answer.isDeflated = true;
        }
    }
    if (kept.size() == kKeptAnswers)
        kept.pop_front();
    kept.push_back(std::move(answer));
    return &kept.back();
}

void StoreRelay::forget(InboundConnection &connection)
{
    std::erase_if(this->waiting,
                  [&connection](const Waiting &watch) { return watch.connection == &connection; });
}

} // namespace foxtailtally
