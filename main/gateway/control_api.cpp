#include "main/gateway/control_api.h"

#include "core/error.h"
#include "servers/leadership/leader_election.h"

#include <utility>

namespace foxtailtally {

namespace {

/** Timeout of responses; the API responds within milliseconds, and within half a second while it is
 * slow. The lease is valid for at most 2 s after its renewal. */
constexpr absl::Duration kAnswerTimeout = absl::Seconds(2);

} // namespace

ControlApi::ControlApi(event_base *base, const std::string &address, ControlApiEvents &events)
    : base(base)
    , apiAddress(address)
    , events(events)
    , timeout(base, [this] { this->onTimeout(); })
{ }

void ControlApi::send(std::string request)
{
    if (this->isCalling)
        return;
    this->status = 0;
    this->isCalling = true;
    this->wasWritten = false;
    IdleEvents &idleEvents = *this;
    // A new connection for each call: calls are rare, and a kept connection may have been closed
    // by the API, which would leave open whether the call was carried out.
    this->connection =
        std::make_unique<OutboundConnection>(this->base, this->apiAddress, idleEvents);
    this->timeout.start(kAnswerTimeout);
    if (!this->connection->isUsable())
        return;
    // A packet that the network lost must not be sent again when another instance holds the lease.
    this->connection->limitTransit(LeaderElection::kTransit);
    this->connection->call(std::move(request), false, {}, *this);
}

void ControlApi::cancel()
{
    this->timeout.stop();
    this->isCalling = false;
    if (this->connection)
        this->connection->cancel();
}

bool ControlApi::mayWrite(OutboundConnection &)
{
    this->wasWritten = this->events.mayWriteControlCall();
    return this->wasWritten;
}

void ControlApi::onResponseHead(OutboundConnection &, const ResponseHead &head)
{
    this->status = head.status;
}

void ControlApi::onResponseBody(OutboundConnection &, std::string_view)
{ }

void ControlApi::onResponseComplete(OutboundConnection &)
{
    this->timeout.stop();
    this->isCalling = false;
    this->events.onControlAnswer(this->status);
}

void ControlApi::onCallFailed(OutboundConnection &, std::error_code error)
{
    this->fail(errorName(error));
}

void ControlApi::onIdleClosed(OutboundConnection &)
{
    // Each call opens its own connection.
}

void ControlApi::onTimeout()
{
    this->connection->cancel();
    this->fail("no answer");
}

void ControlApi::fail(std::string_view cause)
{
    this->timeout.stop();
    this->isCalling = false;
    this->events.onNoControlAnswer(cause, this->wasWritten);
}

} // namespace foxtailtally
