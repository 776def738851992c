#include "main/gateway/server_call.h"

#include "core/clock.h"
#include "core/error.h"
#include "main/gateway/cold_servers.h"
#include "main/gateway/server_evidence.h"

namespace foxtailtally {

namespace {

/** Time to establish a connection; servers are a few milliseconds away, and a lost packet is
 * retransmitted after longer than this. */
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(180);

/** Time from the sending of a call to the reset of a connection that the server had dropped: a
 * round trip, and the retransmission of one lost packet. What breaks later has been accepted. */
constexpr absl::Duration kDropNoticeTime = absl::Milliseconds(500);

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

ServerCall::ServerCall(GatewayContext &context, AttemptTarget target, ServerCallEvents &events)
    : context(context)
    , server(std::move(target))
    , events(events)
    , connectTimer(context.base, [this] { this->onConnectTimer(); })
{ }

ServerCall::~ServerCall()
{
    this->cancel();
}

void ServerCall::send(OutboundRequest request, bool isHeadRequest, const std::string &callId,
                      bool needsNewConnection, absl::Time now)
{
    this->startedAt = now;
    this->callId = callId;
    const absl::Duration maxIdle = needsNewConnection
        ? absl::ZeroDuration()
        : this->context.connectionReuse.maxIdleTime(this->server.key, this->server.service, now);
    this->connection = this->context.pool.acquire(this->server.address, maxIdle, now);
    this->isConnectionReused = this->connection->hasCompletedCalls();
    this->idleTime = this->connection->idleBefore();
    ServerActivity &activity = this->context.activity[this->server.key];
    ++activity.outstanding;
    this->addSuspectCount(1);
    if (now - activity.secondStartedAt >= absl::Seconds(1)) {
        activity.secondStartedAt = now;
        activity.sentInSecond = 0;
    }
    ++activity.sentInSecond;
    if (!this->connection->isConnected()) {
        this->connectTimer.start(kConnectTimeout);
    } else if (!this->beginWrite(now)) {
        // Ends the call from the loop, since the caller of this function does not expect it to end.
        this->isWithheld = true;
        this->connectTimer.start(absl::ZeroDuration());
        return;
    }
    this->connection->call(std::move(request), isHeadRequest, platform::callCorrelation(callId),
                           *this);
}

bool ServerCall::beginWrite(absl::Time now)
{
    if (!this->events.mayWrite(*this, now))
        return false;
    this->context.activity[this->server.key].sent.add(RequestKind::Call, now);
    this->written = true;
    return true;
}

bool ServerCall::mayWrite(OutboundConnection &)
{
    return this->beginWrite(Clock::now());
}

void ServerCall::cancel()
{
    if (!this->connection)
        return;
    this->connection->cancel();
    this->discardConnection();
}

void ServerCall::abandon(std::error_code cause)
{
    this->failureCause = cause;
    this->cancel();
}

void ServerCall::pauseReading(bool isPaused)
{
    if (this->connection)
        this->connection->pauseReading(isPaused);
}

void ServerCall::onResponseHead(OutboundConnection &, const ResponseHead &head)
{
    const absl::Time now = Clock::now();
    ServerActivity &activity = this->context.activity[this->server.key];
    activity.lastByteAt = now;
    this->receivedAt = now;
    const platform::ServerReply reply = platform::decodeServerReply(head);
    // A connection that has carried other calls may bring another response to one of them.
    if (this->isConnectionReused && !reply.hasCallId) {
        recordUnattributedResponse(this->context, {this->callId, this->startedAt}, this->server,
                                   head.status);
        this->loseResponse();
        return;
    }
    recordBackpressure(this->context, this->server.key, reply, {this->callId, this->startedAt},
                       now);
    this->faultyAddress = reply.faultyServer;
    this->misdirected = reply.isMisdirected;
    this->context.reachability.onConnected(this->server.key, this->server.domain, now);
    if (!this->misdirected)
        this->context.unconfirmedLosses.onHeard(this->server.key, this->startedAt, now);
    if (reply.outstanding) {
        activity.reportedCalls = *reply.outstanding;
        activity.reportedAt = now;
    }
    if (reply.coldLeft) {
        this->context.directory.onCold(this->server.id, *reply.coldLeft, now);
        updateColdLimits(this->context, now);
    }
    if (reply.notRun) {
        this->connection->cancel();
        this->end(AttemptEnd::Rejected);
        return;
    }
    const bool isUsable =
        !reply.isEncoded && (!isSuccess(head.status) || (reply.isSigned && reply.hasCallId));
    if (!isUsable) {
        this->loseResponse();
        return;
    }
    this->events.onReply(*this, head, reply);
}

void ServerCall::loseResponse()
{
    this->failureCause = Error::ProtocolViolation;
    this->connection->cancel();
    this->end(AttemptEnd::Lost);
}

void ServerCall::onResponseBody(OutboundConnection &, std::string_view data)
{
    const absl::Time now = Clock::now();
    this->context.activity[this->server.key].lastByteAt = now;
    this->receivedAt = now;
    this->context.unconfirmedLosses.onHeard(this->server.key, this->startedAt, now);
    this->events.onReplyBody(*this, data);
}

void ServerCall::onResponseComplete(OutboundConnection &)
{
    this->connectTimer.stop();
    this->context.pool.release(this->server.address, std::move(this->connection), Clock::now());
    this->uncountCall();
    this->events.onReplyComplete(*this);
}

void ServerCall::onCallFailed(OutboundConnection &ended, std::error_code error)
{
    this->failureCause = error;
    this->endCause = ended.endCause();
    const absl::Time now = Clock::now();
    const bool wasDropped = this->isConnectionReused && !ended.hasReceivedBytes()
        && error == Error::ConnectionLost && this->endCause == ConnectionEnd::ClosedByPeer
        && this->context.inputSince(now) - this->startedAt <= kDropNoticeTime;
    if (this->endCause == ConnectionEnd::Refused)
        this->context.unconfirmedLosses.onRefused(this->server.key);
    else if (this->endCause == ConnectionEnd::ClosedByPeer && !wasDropped)
        this->context.unconfirmedLosses.onBroken(this->server.key);
    if (wasDropped) {
        this->end(AttemptEnd::Dropped);
        return;
    }
    if (error == Error::PermissionExpired)
        this->end(AttemptEnd::NotPermitted);
    else
        this->end(error == Error::ConnectionFailed ? AttemptEnd::NotSent : AttemptEnd::Lost);
}

void ServerCall::onConnectTimer()
{
    if (!this->connection)
        return;
    if (this->isWithheld) {
        this->failureCause = Error::PermissionExpired;
        this->end(AttemptEnd::NotPermitted);
        return;
    }
    if (this->connection->isConnected())
        return;
    this->connection->cancel();
    this->end(AttemptEnd::NotSent);
}

void ServerCall::end(AttemptEnd end)
{
    this->discardConnection();
    this->events.onAttemptEnded(*this, end);
}

void ServerCall::discardConnection()
{
    this->connectTimer.stop();
    this->hasReceived = this->connection && this->connection->hasReceivedBytes();
    this->context.pool.discard(std::move(this->connection));
    this->uncountCall();
}

void ServerCall::clearSuspicion()
{
    this->addSuspectCount(-1);
    this->server.suspicion = SuspectRun::None;
    this->server.suspectParts.clear();
}

void ServerCall::addSuspectCount(std::int64_t change)
{
    ServerActivity &activity = this->context.activity[this->server.key];
    if (this->server.suspicion == SuspectRun::Early)
        activity.earlySuspects += change;
    if (this->server.suspicion == SuspectRun::Last)
        activity.lastSuspects += change;
    if (change > 0)
        this->context.suspectPartRuns.add(this->server.suspectParts, this->startedAt);
    else
        this->context.suspectPartRuns.remove(this->server.suspectParts);
}

void ServerCall::uncountCall()
{
    --this->context.activity[this->server.key].outstanding;
    this->addSuspectCount(-1);
}

} // namespace foxtailtally
