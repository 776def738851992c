#include "main/gateway/lease_store.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/text.h"
#include "platform/lease_objects.h"
#include "platform/store_objects.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

/** An idle connection is used again for this time: a lost packet costs less on an open connection
 * than when one is established. The store closes idle connections without notice. */
constexpr absl::Duration kMaxIdleTime = absl::Seconds(2);

/** Longest response that is read; values of the store have at most a megabyte. */
constexpr std::size_t kMaxBodyBytes = std::size_t {4} << 20;

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

bool isRefused(int status)
{
    return status == kStatusTooManyRequests || status == kStatusUnavailable;
}

} // namespace

LeaseStore::LeaseStore(event_base *base, const std::string &storeAddress, LeaderElection &election,
                       std::function<void()> onDone)
    : base(base)
    , storeAddress(storeAddress)
    , election(election)
    , timeout(base, [this] { this->onTimeout(); })
    , doneTimer(base, std::move(onDone))
{ }

void LeaseStore::read(absl::Time now)
{
    this->isWrite = false;
    this->send("GET", platform::listTarget(platform::kLeaseKind, {}), {}, now);
}

void LeaseStore::write(const WriteLease &write, absl::Time now)
{
    this->isWrite = true;
    if (write.ifRevision == StorePosition::kNoRevision) {
        this->send("POST", platform::listTarget(platform::kLeaseKind, {}),
                   platform::encodeLease(write.record), now);
        return;
    }
    this->send("PUT", platform::objectTarget(platform::kLeaseKind, platform::kLeaseName),
               platform::encodeLease(write.record, write.ifRevision), now);
}

void LeaseStore::send(std::string_view method, const std::string &target, std::string_view body,
                      absl::Time now)
{
    this->isCalling = true;
    this->status = 0;
    this->era.reset();
    this->body.clear();
    const bool isReusable = this->connection && this->connection->isReusable()
        && now - this->lastAnswerAt <= kMaxIdleTime && !this->connection->hasUnreadInput();
    if (!isReusable) {
        IdleEvents &idleEvents = *this;
        this->connection =
            std::make_unique<OutboundConnection>(this->base, this->storeAddress, idleEvents);
    }
    this->timeout.start(LeaderElection::kCallTimeout);
    if (!this->connection->isUsable())
        return;
    this->connection->call(
        absl::StrCat(asAbsl(method), " ", target, " HTTP/1.1\r\nHost: ", this->storeAddress,
                     "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                     "\r\n\r\n", asAbsl(body)),
        false, {}, *this);
}

void LeaseStore::onResponseHead(OutboundConnection &, const ResponseHead &head)
{
    this->status = head.status;
    if (const Result<std::int64_t> decoded = platform::decodeStoreEra(head.headers); decoded.ok())
        this->era = *decoded;
}

void LeaseStore::onResponseBody(OutboundConnection &connection, std::string_view data)
{
    if (this->body.size() + data.size() <= kMaxBodyBytes) {
        this->body.append(data);
        return;
    }
    connection.cancel();
    this->endWithoutAnswer(true, Clock::now());
}

void LeaseStore::onResponseComplete(OutboundConnection &)
{
    const absl::Time now = Clock::now();
    this->lastAnswerAt = now;
    if (this->isWrite)
        this->endWrite(now);
    else
        this->endRead(now);
    this->finish();
}

void LeaseStore::onCallFailed(OutboundConnection &, std::error_code error)
{
    this->endWithoutAnswer(error != Error::ConnectionFailed, Clock::now());
}

void LeaseStore::onIdleClosed(OutboundConnection &)
{
    // The next call opens a connection.
}

void LeaseStore::onTimeout()
{
    const bool wasSent = this->connection->isConnected();
    // A connection that has lost a response returns no further ones.
    this->connection->cancel();
    this->endWithoutAnswer(wasSent, Clock::now());
}

void LeaseStore::endRead(absl::Time now)
{
    if (isRefused(this->status)) {
        this->election.onNotDone(now);
        return;
    }
    if (this->status == kStatusOk && this->era) {
        const Result<ObservedLease> observed = platform::decodeLeaseList(this->body, *this->era);
        if (observed.ok()) {
            this->election.onRead(*observed, now);
            return;
        }
    }
    this->election.onReadFailed(now);
}

void LeaseStore::endWrite(absl::Time now)
{
    if (isRefused(this->status)) {
        this->election.onNotDone(now);
        return;
    }
    if (this->status == kStatusNotFound && this->era) {
        ObservedLease missing;
        missing.store = {*this->era, StorePosition::kNoRevision};
        this->election.onWriteConflict(missing, now);
        return;
    }
    const bool isDone = this->status == kStatusOk || this->status == kStatusCreated;
    if (this->era && (isDone || this->status == kStatusConflict)) {
        const Result<ObservedLease> observed = platform::decodeLeaseObject(this->body, *this->era);
        if (observed.ok()) {
            if (isDone)
                this->election.onWritten(observed->position(), now);
            else
                this->election.onWriteConflict(*observed, now);
            return;
        }
    }
    this->election.onWriteUnknown(now);
}

void LeaseStore::endWithoutAnswer(bool wasSent, absl::Time now)
{
    if (!this->isWrite)
        this->election.onReadFailed(now);
    else if (wasSent)
        this->election.onWriteUnknown(now);
    else
        this->election.onNotDone(now);
    this->finish();
}

void LeaseStore::finish()
{
    this->timeout.stop();
    this->isCalling = false;
    this->doneTimer.start(absl::ZeroDuration());
}

} // namespace foxtailtally
