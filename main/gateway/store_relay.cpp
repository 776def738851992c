#include "main/gateway/store_relay.h"

#include "core/clock.h"
#include "peers/http/deflate.h"

#include <algorithm>
#include <iterator>

namespace foxtailtally {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

/** Longest wait of a request for a list that this instance has not read itself yet: when all
 * instances start at once, most of them ask the same one. Shorter than the time for which they wait
 * for a list. */
constexpr absl::Duration kMaxListWait = absl::Milliseconds(600);

/** Responses of at least this size are compressed: a configuration of a thousand routes goes to a
 * whole failure domain at once. */
constexpr std::size_t kMinDeflatedBytes = 1024;

/** Longest time for which a watch is held, whatever its caller asks for. */
constexpr absl::Duration kMaxWatchTime = absl::Seconds(5);

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
    // A newer version may replace the content of a copy without moving its position.
    this->encodedAnswers.erase(kind);
    this->answerDue([&kind](const PendingRequest &request) { return request.kind == kind; },
                    Clock::now());
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
    const Result<std::int64_t> era = platform::decodeStoreEra(connection.head().headers);
    if (!era.ok()) {
        connection.answer(kStatusBadRequest, {}, {});
        return;
    }
    const KindCache &cache = found->second->cache();
    const absl::Duration wait =
        query.watchFrom ? std::min(query.wait, kMaxWatchTime) : kMaxListWait;
    std::optional<StorePosition> watchFrom;
    if (query.watchFrom)
        watchFrom = StorePosition {*era, *query.watchFrom};
    const PendingRequest request = {&connection, query.kind, watchFrom, now + wait};
    if (this->canAnswer(request, cache)) {
        this->answerRequest(request, now);
        return;
    }
    this->pendingRequests.push_back(request);
    this->startTimer(now);
}

bool StoreRelay::canAnswer(const PendingRequest &request, const KindCache &cache) const
{
    if (!cache.isKnown() || !request.watchFrom)
        return cache.isKnown();
    const auto changes = cache.changesSince(*request.watchFrom);
    return !changes || !changes->changes.empty();
}

void StoreRelay::onCallerGone(InboundConnection &connection)
{
    this->removePending(connection);
}

void StoreRelay::onWritable(InboundConnection &)
{ }

void StoreRelay::onRequestRejected(InboundConnection &connection, int status)
{
    connection.answer(status, {}, {});
}

void StoreRelay::onClosed(InboundConnection &connection)
{
    this->removePending(connection);
    this->server.onClosed(connection);
}

void StoreRelay::onTimer()
{
    const absl::Time now = Clock::now();
    this->answerDue([now](const PendingRequest &request) { return request.until <= now; }, now);
    this->startTimer(now);
}

void StoreRelay::answerDue(const std::function<bool(const PendingRequest &)> &isDue, absl::Time now)
{
    std::vector<PendingRequest> due;
    std::copy_if(this->pendingRequests.begin(), this->pendingRequests.end(),
                 std::back_inserter(due), isDue);
    std::erase_if(this->pendingRequests, isDue);
    for (const PendingRequest &request : due)
        this->answerRequest(request, now);
}

void StoreRelay::startTimer(absl::Time now)
{
    if (this->pendingRequests.empty())
        return;
    const auto first = std::min_element(
        this->pendingRequests.begin(), this->pendingRequests.end(),
        [](const PendingRequest &a, const PendingRequest &b) { return a.until < b.until; });
    this->timer.start(first->until - now + absl::Milliseconds(1));
}

void StoreRelay::answerRequest(const PendingRequest &request, absl::Time now)
{
    const KindWatcher &watcher = *this->kinds.at(request.kind);
    const KindCache &cache = watcher.cache();
    if (!cache.isKnown()) {
        request.connection->answer(kStatusUnavailable, {}, {});
        return;
    }
    const platform::RelayFreshness freshness = {cache.age(now), !watcher.isSettled(now)};
    HttpHeaders headers = platform::relayHeaders(freshness);
    platform::addStoreEra(headers, cache.position().era);
    const EncodedAnswer *encodedBody = this->encodedAnswer(request, cache);
    if (!encodedBody) {
        request.connection->answer(kStatusGone, headers, {});
        return;
    }
    if (encodedBody->isDeflated)
        headers.add("Content-Encoding", "deflate");
    request.connection->answer(200, headers, encodedBody->body);
}

const StoreRelay::EncodedAnswer *StoreRelay::encodedAnswer(const PendingRequest &request,
                                                           const KindCache &cache)
{
    std::deque<EncodedAnswer> &kept = this->encodedAnswers[request.kind];
    const auto same = std::find_if(kept.begin(), kept.end(), [&](const EncodedAnswer &answer) {
        return answer.from == request.watchFrom && answer.to == cache.position();
    });
    if (same != kept.end())
        return &*same;
    EncodedAnswer answer = {request.watchFrom, cache.position(), {}, false};
    if (request.watchFrom) {
        const std::optional<platform::ObjectChanges> changes =
            cache.changesSince(*request.watchFrom);
        if (!changes)
            return nullptr;
        answer.body = platform::encodeChanges(*changes);
    } else {
        answer.body = platform::encodePage(cache.page());
    }
    if (answer.body.size() >= kMinDeflatedBytes) {
        if (Result<std::string> shorter = compressDeflate(answer.body); shorter.ok()) {
            answer.body = std::move(*shorter);
            answer.isDeflated = true;
        }
    }
    if (kept.size() == kMaxKeptAnswers)
        kept.pop_front();
    kept.push_back(std::move(answer));
    return &kept.back();
}

void StoreRelay::removePending(InboundConnection &connection)
{
    std::erase_if(this->pendingRequests, [&connection](const PendingRequest &request) {
        return request.connection == &connection;
    });
}

} // namespace foxtailtally
