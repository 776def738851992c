#include "main/gateway/kind_watcher.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/text.h"
#include "peers/http/deflate.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Timeout of store responses; the store responds within milliseconds, and within a quarter of a
 * second while it is slow. */
constexpr absl::Duration kStoreAnswerTimeout = absl::Milliseconds(900);

/** The same if another instance has announced a change that the store should have reported. */
constexpr absl::Duration kOvertakenAnswerTimeout = absl::Milliseconds(300);

/** Timeout until a response of another instance begins, and between two parts of it. */
constexpr absl::Duration kRelayAnswerTimeout = absl::Milliseconds(400);

/** Interval at which StoreSource decides again whether to read the store. */
constexpr absl::Duration kSourceCheckInterval = absl::Milliseconds(100);

/** If the history is gone again within this window, the next list waits for kHistoryGoneDelay: a
 * list as old as the last one would get the same response forever. */
constexpr absl::Duration kRepeatedHistoryGoneWindow = absl::Seconds(1);
constexpr absl::Duration kHistoryGoneDelay = absl::Milliseconds(300);

/** Largest response body; pages and values of the store are limited to a megabyte each. */
constexpr std::size_t kMaxBodyBytes = std::size_t {4} << 20;

/** Delay after a response of an earlier era; the same source may send it again. */
constexpr absl::Duration kOutdatedResponseDelay = absl::Milliseconds(100);

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;

} // namespace

KindWatcher::KindWatcher(event_base *base, const std::string &storeAddress, StoreSource &source,
                         StoreKind kind, std::string_view kindName, const Timing &timing,
                         std::size_t maxKeptBytes, KindEvents &events)
    : base(base)
    , storeAddress(storeAddress)
    , source(source)
    , kind(kind)
    , kindName(kindName)
    , timing(timing)
    , events(events)
    , timer(base, [this] { this->onTimer(); })
    , objectCache(maxKeptBytes)
{ }

void KindWatcher::start()
{
    this->hasStarted = true;
    this->startNextCall();
}

void KindWatcher::onPeerUpdate()
{
    if (!this->hasStarted || !this->objectCache.isKnown())
        return this->startNextCall();
    const absl::Time confirmedAt = this->source.confirmedByOthers(this->kind);
    if (confirmedAt > this->objectCache.lastConfirmedAt())
        this->confirm(confirmedAt);
    const absl::Time now = Clock::now();
    if (this->isWaitingInVain(now)) {
        if (this->connection->hasCall())
            this->connection->cancel();
        this->becomeIdleFor(absl::ZeroDuration());
    }
    this->shortenAnswerTimeout(now);
    this->startNextCall();
}

bool KindWatcher::isWaitingInVain(absl::Time now) const
{
    if (this->phase != Phase::Watching && this->phase != Phase::Fetching)
        return false;
    // The store would answer this watch at its next change, with what it lists in the new era.
    if (this->isOutdated())
        return true;
    return this->phase == Phase::Watching && this->source.mustFetchList(this->kind, now);
}

void KindWatcher::shortenAnswerTimeout(absl::Time now)
{
    const bool isUnanswered =
        this->phase == Phase::Watching && this->connection->hasCall() && this->status == 0;
    if (!isUnanswered || !this->source.isOvertaken(this->kind, now))
        return;
    const absl::Duration left = this->sentAt + this->watchTime + kOvertakenAnswerTimeout - now;
    this->timer.start(std::max(absl::ZeroDuration(), left));
}

bool KindWatcher::isSettled(absl::Time now) const
{
    return this->outages.isSettled(now);
}

void KindWatcher::startNextCall()
{
    const absl::Time now = Clock::now();
    if (!this->hasStarted || this->phase != Phase::Idle)
        return;
    if (now < this->pausedUntil) {
        // Timers of the loop may fire early, as it counts from the beginning of its last pass.
        this->timer.start(this->pausedUntil - now);
        return;
    }
    this->retiredConnection.reset();
    const StoreSource::Step step = this->source.next(this->kind, now);
    switch (step.action) {
    case StoreSource::Action::Wait:
        this->timer.start(kSourceCheckInterval);
        return;
    case StoreSource::Action::Fetch:
        if (this->mustList || step.mustList || this->isOutdated())
            this->list(step.address, {});
        else
            this->watch(step.address, absl::ZeroDuration());
        return;
    case StoreSource::Action::ReadStore:
        if (this->mustList || this->isOutdated())
            this->list(this->storeAddress, {});
        else
            this->watch(this->storeAddress, step.watch);
        return;
    }
}

void KindWatcher::becomeIdleFor(absl::Duration pause)
{
    this->phase = Phase::Idle;
    this->pausedUntil = Clock::now() + pause;
    this->timer.start(pause);
}

void KindWatcher::list(const std::string &address, std::string_view after)
{
    this->phase = Phase::Listing;
    this->listedAfter = std::string(after);
    if (after.empty()) {
        this->listedSoFar.clear();
        this->listStartedAt = Clock::now();
    }
    const bool isStore = address == this->storeAddress;
    // A stale list may show the state before a restore.
    const bool allowsStale = isStore && this->timing.allowsStaleList && !this->isOutdated();
    this->send(address, platform::listTarget(this->kindName, after, allowsStale),
               isStore ? kStoreAnswerTimeout : kRelayAnswerTimeout);
}

void KindWatcher::watch(const std::string &address, absl::Duration wait)
{
    const bool isStore = address == this->storeAddress;
    this->phase = isStore ? Phase::Watching : Phase::Fetching;
    this->watchTime = wait;
    this->send(address, platform::watchTarget(this->kindName, this->position.revision, wait),
               wait + (isStore ? kStoreAnswerTimeout : kRelayAnswerTimeout));
}

void KindWatcher::send(const std::string &address, const std::string &target,
                       absl::Duration timeout)
{
    const bool isNewAddress = address != this->sourceAddress;
    this->sourceAddress = address;
    this->relayFreshness = {};
    this->isDeflated = false;
    if (!this->connection || !this->connection->isReusable() || isNewAddress) {
        this->retiredConnection = std::move(this->connection);
        IdleEvents &idleEvents = *this;
        this->connection = std::make_unique<OutboundConnection>(this->base, address, idleEvents);
    }
    this->status = 0;
    // Frees the memory of a large response.
    this->body = std::string();
    this->sentAt = Clock::now();
    this->timer.start(timeout);
    this->responseEra.reset();
    std::string request = absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", address, "\r\n");
    if (!this->isSourceStore()) {
        HttpHeaders headers;
        platform::addStoreEra(headers, this->position.era);
        for (const HttpHeader &header : headers.all())
            absl::StrAppend(&request, header.name, ": ", header.value, "\r\n");
    }
    request += "\r\n";
    this->connection->call(request, false, {}, *this);
}

void KindWatcher::onResponseHead(OutboundConnection &, const ResponseHead &head)
{
    this->status = head.status;
    this->restartAnswerTimeout();
    this->relayFreshness = platform::decodeRelayFreshness(head.headers);
    if (const Result<std::int64_t> era = platform::decodeStoreEra(head.headers); era.ok())
        this->responseEra = *era;
    this->isDeflated = head.headers.valueOr("Content-Encoding", "") == "deflate";
}

void KindWatcher::onResponseBody(OutboundConnection &, std::string_view data)
{
    if (this->body.size() + data.size() > kMaxBodyBytes) {
        if (this->hasBegunChanges())
            this->onLongAnswer();
        else
            this->onFailure("answer too long", false);
        return;
    }
    this->body.append(data);
    this->restartAnswerTimeout();
}

void KindWatcher::onLongAnswer()
{
    logEvent(LogLevel::Info, "store_answer_long",
             {{"kind", this->kindName},
              {"source", this->sourceAddress},
              {"revision", this->position.revision}});
    this->mustList = true;
    this->connection->cancel();
    this->becomeIdleFor(absl::ZeroDuration());
}

bool KindWatcher::hasBegunChanges() const
{
    return this->status == kStatusOk
        && (this->phase == Phase::Watching || this->phase == Phase::Fetching);
}

void KindWatcher::restartAnswerTimeout()
{
    // A large configuration takes long over a slow link that all followers share.
    this->timer.start(this->isSourceStore() ? kStoreAnswerTimeout : kRelayAnswerTimeout);
}

void KindWatcher::onResponseComplete(OutboundConnection &)
{
    const absl::Time now = Clock::now();
    if (this->relayFreshness.isUnsettled)
        this->outages.onFailed(now);
    if (this->status != kStatusOk && this->status != kStatusGone) {
        this->onFailure(absl::StrCat("status ", this->status), false);
        return;
    }
    this->outages.onAnswered(this->source.lastStoreFailureAt());
    if (!this->responseEra) {
        this->onFailure("unreadable era", false);
        return;
    }
    if (*this->responseEra < this->source.era()) {
        this->onOutdatedResponse(now);
        return;
    }
    if (*this->responseEra > this->source.era()) {
        this->source.onEra(*this->responseEra);
        this->events.onLaterEra();
    }
    if (this->status == kStatusGone) {
        this->onHistoryGone(now);
        return;
    }
    if (this->isDeflated) {
        Result<std::string> whole = decompressDeflate(this->body, kMaxBodyBytes);
        if (!whole.ok()) {
            this->onFailure(errorName(whole.error()), true);
            return;
        }
        this->body = std::move(*whole);
    }
    if (this->isSourceStore())
        this->source.onStoreAnswered();
    else
        this->source.onFetched(this->kind);
    const bool isFirstPage = this->phase == Phase::Listing && this->listedAfter.empty();
    const std::int64_t callEra =
        this->phase == Phase::Listing ? this->listPosition.era : this->position.era;
    if (!isFirstPage && *this->responseEra != callEra)
        this->onLaterEra();
    else if (this->phase == Phase::Listing)
        this->onPage(now);
    else
        this->onChanges(now);
}

void KindWatcher::onOutdatedResponse(absl::Time now)
{
    logEvent(LogLevel::Info, "store_answer_outdated",
             {{"kind", this->kindName},
              {"source", this->sourceAddress},
              {"era", *this->responseEra},
              {"known_era", this->source.era()}});
    if (this->isSourceStore())
        this->source.onStoreFailed(now);
    else
        this->source.onFetchFailed(this->kind, this->sourceAddress, now);
    // The next call uses a new connection; this one may lead to a process that is gone.
    this->sourceAddress.clear();
    this->becomeIdleFor(kOutdatedResponseDelay);
}

void KindWatcher::onLaterEra()
{
    this->mustList = true;
    this->becomeIdleFor(absl::ZeroDuration());
}

void KindWatcher::onHistoryGone(absl::Time now)
{
    logEvent(LogLevel::Info, "store_history_gone",
             {{"kind", this->kindName}, {"source", this->sourceAddress}});
    this->mustList = true;
    // The store has answered: a list need not wait like a call after a failure.
    if (this->isSourceStore())
        this->source.onStoreAnswered();
    const bool isRepeated = now - this->historyGoneAt < kRepeatedHistoryGoneWindow;
    this->historyGoneAt = now;
    this->becomeIdleFor(isRepeated ? kHistoryGoneDelay : absl::ZeroDuration());
}

void KindWatcher::onPage(absl::Time now)
{
    Result<platform::ObjectPage> page = platform::decodePage(this->body, this->kindName);
    if (!page.ok()) {
        this->onFailure("unreadable list", true);
        return;
    }
    if (page->unnamed > 0)
        this->events.onUnnamed(page->unnamed);
    // Objects of earlier pages may have changed since; a watch from here reports these changes.
    if (this->listedAfter.empty())
        this->listPosition = {*this->responseEra, page->revision};
    const std::string lastName = page->objects.empty() ? std::string() : page->objects.back().name;
    for (platform::StoredObject &object : page->objects) {
        // Only instances retain objects.
        object.isRetained = object.isRetained && !this->isSourceStore();
        this->listedSoFar.push_back(std::move(object));
    }
    if (page->hasMore) {
        // A page without names leaves nothing to continue from.
        if (lastName.empty() || lastName == this->listedAfter)
            this->onFailure("list cannot be continued", true);
        else
            this->list(this->sourceAddress, lastName);
        return;
    }
    const StorePosition held = this->objectCache.position();
    const bool isRestored = this->objectCache.isKnown() && this->listPosition.era > held.era;
    this->position = this->listPosition;
    this->mustList = false;
    if (this->consecutiveFailures > 0)
        logEvent(LogLevel::Info, "store_regained", {{"kind", this->kindName}});
    this->consecutiveFailures = 0;
    if (isRestored)
        this->events.onRestored(held, this->position, now);
    this->events.onObjects(this->listedSoFar, !this->isSettled(now), now);
    if (isRestored)
        logEvent(LogLevel::Warning, "store_era",
                 {{"kind", this->kindName},
                  {"old_era", held.era},
                  {"new_era", this->position.era},
                  {"held_revision", held.revision},
                  {"found_revision", this->position.revision},
                  {"listed", this->listedSoFar.size()},
                  {"retained", this->events.retainedObjects()}});
    this->objectCache.replace(this->listedSoFar, this->position);
    this->listedSoFar.clear();
    this->confirm(this->listStartedAt - this->relayFreshness.age);
    this->events.onCacheChanged();
    this->becomeIdleFor(absl::ZeroDuration());
}

void KindWatcher::onChanges(absl::Time now)
{
    Result<platform::ObjectChanges> changes = platform::decodeChanges(this->body, this->kindName);
    if (!changes.ok()) {
        this->onFailure("unreadable changes", true);
        return;
    }
    if (this->consecutiveFailures > 0)
        logEvent(LogLevel::Info, "store_regained", {{"kind", this->kindName}});
    this->consecutiveFailures = 0;
    if (changes->unnamed > 0)
        this->events.onUnnamed(changes->unnamed);
    const bool hasChanged = !changes->changes.empty();
    const bool isEmpty = !hasChanged && changes->unnamed == 0;
    for (platform::ObjectChange &change : changes->changes) {
        change.object.isRetained = change.object.isRetained && !this->isSourceStore();
        this->events.onChange(change, !this->isSettled(now), now);
    }
    const StorePosition reached = {*this->responseEra, changes->revision};
    if (hasChanged)
        this->objectCache.apply(changes->changes, reached);
    else
        this->objectCache.advance(reached);
    this->position = std::max(this->position, reached);
    // An empty response was sent when the requested wait was over; one with changes, at any time
    // since the call.
    const bool waitedFully = isEmpty && now - this->sentAt >= this->watchTime;
    const absl::Time answeredAfter = waitedFully ? this->sentAt + this->watchTime : this->sentAt;
    this->confirm(answeredAfter - this->relayFreshness.age);
    if (hasChanged)
        this->events.onCacheChanged();
    this->becomeIdleFor(isEmpty ? absl::ZeroDuration() : this->timing.batchDelay);
}

void KindWatcher::confirm(absl::Time moment)
{
    const bool isNewest =
        this->events.isNewest() && !this->source.isVersionOvertaken(this->kind, Clock::now());
    if (isNewest)
        this->objectCache.confirm(moment);
    this->reportState();
    if (isNewest)
        this->events.onConfirmed(moment);
}

void KindWatcher::reportState()
{
    if (this->objectCache.isKnown())
        this->source.setHeldState(this->kind,
                                  {this->objectCache.contentPosition(),
                                   this->objectCache.position(),
                                   this->objectCache.lastConfirmedAt(), this->events.version()});
}

void KindWatcher::onCallFailed(OutboundConnection &connection, std::error_code error)
{
    const absl::Time now = Clock::now();
    const StoreOutages::LostCall lost = {this->phase == Phase::Watching,
                                         connection.endCause() == ConnectionEnd::ClosedByPeer,
                                         this->status != 0, this->sentAt, this->watchTime};
    if (StoreOutages::isCutWatch(lost, now))
        this->onWatchCut(now);
    else
        this->onFailure(errorName(error), this->hasBegunChanges());
}

void KindWatcher::onWatchCut(absl::Time now)
{
    logEvent(LogLevel::Info, "store_watch_cut", {{"kind", this->kindName}});
    this->outages.onWatchCut(now);
    this->source.onWatchCut(now);
    this->becomeIdleFor(absl::ZeroDuration());
}

void KindWatcher::onIdleClosed(OutboundConnection &)
{
    // send() opens a new connection.
}

void KindWatcher::onFailure(std::string_view cause, bool mustListAgain)
{
    const absl::Time now = Clock::now();
    this->mustList = this->mustList || mustListAgain;
    if (this->isSourceStore()) {
        this->outages.onFailed(now);
        this->source.onStoreFailed(now);
    } else {
        this->source.onFetchFailed(this->kind, this->sourceAddress, now);
    }
    if (this->consecutiveFailures++ == 0)
        logEvent(LogLevel::Warning, "store_lost",
                 {{"kind", this->kindName}, {"source", this->sourceAddress}, {"cause", cause}});
    if (this->connection && this->connection->hasCall())
        this->connection->cancel();
    this->becomeIdleFor(absl::ZeroDuration());
}

void KindWatcher::onTimer()
{
    if (this->phase == Phase::Idle) {
        this->startNextCall();
        return;
    }
    this->onFailure("no answer", this->hasBegunChanges());
}

} // namespace foxtailtally
