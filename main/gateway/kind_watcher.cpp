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

/** Time for an answer of the store; it answers in milliseconds, and up to a quarter of a second
 * while it is slow. */
constexpr absl::Duration kAnswerTime = absl::Milliseconds(900);

/** Time for an answer of another instance to begin, and then to go on. */
constexpr absl::Duration kRelayAnswerTime = absl::Milliseconds(400);

/** Interval at which it is decided again whether to read the store. */
constexpr absl::Duration kLookInterval = absl::Milliseconds(100);

/** A history that is gone again within this time is asked for after a pause: a list that is as old
 * would be followed by the same answer for ever. */
constexpr absl::Duration kRepeatedGone = absl::Seconds(1);
constexpr absl::Duration kGonePause = absl::Milliseconds(300);

/** Servers whose entries lapsed register again within this time of the store's return. */
constexpr absl::Duration kSettleTime = absl::Milliseconds(2500);

/** Longest body of an answer, in bytes; the store's pages and values end at a megabyte each. */
constexpr std::size_t kMaxBodyBytes = std::size_t {4} << 20;

constexpr int kStatusGone = 410;

} // namespace

KindWatcher::KindWatcher(event_base *base, const std::string &storeAddress, StoreSource &source,
                         StoreKind kind, std::string_view kindName, const Timing &timing,
                         KindEvents &events)
    : base(base)
    , storeAddress(storeAddress)
    , source(source)
    , kind(kind)
    , kindName(kindName)
    , timing(timing)
    , events(events)
    , timer(base, [this] { this->onTimer(); })
{ }

void KindWatcher::start()
{
    this->hasStarted = true;
    this->proceed();
}

void KindWatcher::onTold()
{
    if (!this->hasStarted || !this->known.isKnown())
        return this->proceed();
    const absl::Time confirmedAt = this->source.confirmedByOthers(this->kind);
    if (confirmedAt > this->known.confirmedSince())
        this->confirm(confirmedAt);
    this->proceed();
}

bool KindWatcher::isSettled(absl::Time now) const
{
    return now - this->storeFailedAt > kSettleTime;
}

void KindWatcher::proceed()
{
    const absl::Time now = Clock::now();
    if (!this->hasStarted || this->phase != Phase::Idle || now < this->pausedUntil)
        return;
    this->retired.reset();
    const StoreSource::Step step = this->source.next(this->kind, now);
    switch (step.action) {
    case StoreSource::Action::Wait:
        this->timer.start(kLookInterval);
        return;
    case StoreSource::Action::Fetch:
        if (this->mustList)
            this->list(step.address, {});
        else
            this->watch(step.address, absl::ZeroDuration());
        return;
    case StoreSource::Action::ReadStore:
        if (this->mustList)
            this->list(this->storeAddress, {});
        else
            this->watch(this->storeAddress, step.watch);
        return;
    }
}

void KindWatcher::pauseFor(absl::Duration pause)
{
    this->phase = Phase::Idle;
    this->pausedUntil = Clock::now() + pause;
    this->timer.start(pause);
}

void KindWatcher::list(const std::string &address, std::string_view after)
{
    this->phase = Phase::Listing;
    if (after.empty()) {
        this->listed.clear();
        this->listStartedAt = Clock::now();
    }
    const bool isStore = address == this->storeAddress;
    this->send(address,
               platform::listTarget(this->kindName, after, isStore && this->timing.mayListBeStale),
               isStore ? kAnswerTime : kRelayAnswerTime);
}

void KindWatcher::watch(const std::string &address, absl::Duration wait)
{
    const bool isStore = address == this->storeAddress;
    this->phase = isStore ? Phase::Watching : Phase::Fetching;
    this->watchAsked = wait;
    this->send(address, platform::watchTarget(this->kindName, this->revision, wait),
               wait + (isStore ? kAnswerTime : kRelayAnswerTime));
}

void KindWatcher::send(const std::string &address, const std::string &target, absl::Duration limit)
{
    const bool hasMoved = address != this->asked;
    this->asked = address;
    this->note = {};
    this->isDeflated = false;
    if (!this->connection || !this->connection->isReusable() || hasMoved) {
        this->retired = std::move(this->connection);
        IdleEvents &idleEvents = *this;
        this->connection = std::make_unique<OutboundConnection>(this->base, address, idleEvents);
    }
    this->status = 0;
    this->body.clear();
    this->sentAt = Clock::now();
    this->timer.start(limit);
    this->connection->call(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", address, "\r\n\r\n"),
                           false, {}, *this);
}

void KindWatcher::onResponseHead(OutboundConnection &, const ResponseHead &head)
{
    this->status = head.status;
    this->noteAnswer();
    this->note = platform::decodeRelayNote(head.headers);
    this->isDeflated = head.headers.valueOr("Content-Encoding", "") == "deflate";
}

void KindWatcher::onResponseBody(OutboundConnection &, std::string_view data)
{
    if (this->body.size() + data.size() > kMaxBodyBytes) {
        this->onFailure("answer too long", false);
        return;
    }
    this->body.append(data);
    this->noteAnswer();
}

void KindWatcher::noteAnswer()
{
    // A long configuration takes its time over a narrow link that all followers share.
    this->timer.start(this->asksStore() ? kAnswerTime : kRelayAnswerTime);
}

void KindWatcher::onResponseComplete(OutboundConnection &)
{
    const absl::Time now = Clock::now();
    if (this->note.isUnsettled)
        this->storeFailedAt = now;
    if (this->status == kStatusGone) {
        this->onHistoryGone(now);
        return;
    }
    if (this->status != 200) {
        this->onFailure(absl::StrCat("status ", this->status), false);
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
    if (this->asksStore())
        this->source.onStoreAnswered();
    if (this->phase == Phase::Listing)
        this->onPage(now);
    else
        this->onChanges(now);
}

void KindWatcher::onHistoryGone(absl::Time now)
{
    logEvent(LogLevel::Info, "store_history_gone",
             {{"kind", this->kindName}, {"source", this->asked}});
    this->mustList = true;
    const bool isRepeated = now - this->historyGoneAt < kRepeatedGone;
    this->historyGoneAt = now;
    this->pauseFor(isRepeated ? kGonePause : absl::ZeroDuration());
}

void KindWatcher::onPage(absl::Time now)
{
    Result<platform::ObjectPage> page = platform::decodePage(this->body);
    if (!page.ok()) {
        this->onFailure("unreadable list", true);
        return;
    }
    for (platform::StoredObject &object : page->objects)
        this->listed.push_back(std::move(object));
    if (page->hasMore && !this->listed.empty()) {
        const std::string after = this->listed.back().name;
        this->list(this->asked, after);
        return;
    }
    this->revision = page->revision;
    this->mustList = false;
    if (this->failures > 0)
        logEvent(LogLevel::Info, "store_regained", {{"kind", this->kindName}});
    this->failures = 0;
    this->known.replace(this->listed, this->revision);
    this->events.onObjects(this->listed, !this->isSettled(now), now);
    this->listed.clear();
    this->confirm(this->listStartedAt - this->note.age);
    this->events.onCacheChanged();
    this->pauseFor(absl::ZeroDuration());
}

void KindWatcher::onChanges(absl::Time now)
{
    const Result<platform::ObjectChanges> changes = platform::decodeChanges(this->body);
    if (!changes.ok()) {
        this->onFailure("unreadable changes", true);
        return;
    }
    if (this->failures > 0)
        logEvent(LogLevel::Info, "store_regained", {{"kind", this->kindName}});
    this->failures = 0;
    const bool hasChanged = !changes->changes.empty();
    if (hasChanged)
        this->known.apply(changes->changes, changes->revision);
    else
        this->known.advance(changes->revision);
    for (const platform::ObjectChange &change : changes->changes)
        this->events.onChange(change, !this->isSettled(now), now);
    this->revision = std::max(this->revision, changes->revision);
    // An empty answer was given when the time asked for was over; one with changes, at any time
    // since the call.
    const bool waitedFully = !hasChanged && now - this->sentAt >= this->watchAsked;
    const absl::Time answeredAfter = waitedFully ? this->sentAt + this->watchAsked : this->sentAt;
    this->confirm(answeredAfter - this->note.age);
    if (hasChanged)
        this->events.onCacheChanged();
    this->pauseFor(hasChanged ? this->timing.gather : absl::ZeroDuration());
}

void KindWatcher::confirm(absl::Time moment)
{
    this->known.confirm(moment);
    this->report();
    this->events.onConfirmed(moment);
}

void KindWatcher::report()
{
    if (this->known.isKnown())
        this->source.onHeld(
            this->kind,
            {this->known.contentRevision(), this->known.revision(), this->known.confirmedSince()});
}

void KindWatcher::onCallFailed(OutboundConnection &, std::error_code error)
{
    this->onFailure(errorName(error), false);
}

void KindWatcher::onIdleClosed(OutboundConnection &)
{
    // send() opens another connection.
}

void KindWatcher::onFailure(std::string_view cause, bool mustListAgain)
{
    const absl::Time now = Clock::now();
    this->mustList = this->mustList || mustListAgain;
    if (this->asksStore()) {
        this->storeFailedAt = now;
        this->source.onStoreFailed(now);
    } else {
        this->source.onFetchFailed(this->asked, now);
    }
    if (this->failures++ == 0)
        logEvent(LogLevel::Warning, "store_lost",
                 {{"kind", this->kindName}, {"source", this->asked}, {"cause", cause}});
    if (this->connection && this->connection->hasCall())
        this->connection->cancel();
    this->pauseFor(absl::ZeroDuration());
}

void KindWatcher::onTimer()
{
    if (this->phase == Phase::Idle) {
        this->proceed();
        return;
    }
    this->status = 0;
    this->onFailure("no answer", false);
}

} // namespace foxtailtally
