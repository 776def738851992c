#pragma once

#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"

#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace foxtailtally {

class ControlApiEvents
{
public:
    virtual ~ControlApiEvents() = default;
    /** Asked when the bytes of the call are about to be written; false if this instance no longer
     * holds the lease under which the call was prepared. */
    virtual bool mayWriteControlCall() = 0;
    /** The control API has responded with @p status. */
    virtual void onControlAnswer(int status) = 0;
    /** There is no response. @p mayHaveRun: the call may have been carried out, or may be later. */
    virtual void onNoControlAnswer(std::string_view cause, bool mayHaveRun) = 0;
};

/** Calls the control API, one call at a time. */
class ControlApi final : private OutboundEvents, private IdleEvents
{
public:
    ControlApi(event_base *base, const std::string &address, ControlApiEvents &events);

    /** "ip:port" of the control API. */
    const std::string &address() const { return this->apiAddress; }
    bool hasCall() const { return this->isCalling; }
    /** Sends @p request, a complete HTTP request, unless a call is in progress. */
    void send(std::string request);
    /** Drops the call in progress; no event follows. */
    void cancel();

private:
    bool mayWrite(OutboundConnection &connection) override;
    void onResponseHead(OutboundConnection &connection, const ResponseHead &head) override;
    void onResponseBody(OutboundConnection &connection, std::string_view data) override;
    void onResponseComplete(OutboundConnection &connection) override;
    void onCallFailed(OutboundConnection &connection, std::error_code error) override;
    void onIdleClosed(OutboundConnection &connection) override;
    void onTimeout();
    /** Ends the call without a response. */
    void fail(std::string_view cause);

    event_base *base;
    std::string apiAddress;
    ControlApiEvents &events;
    LoopTimer timeout;
    std::unique_ptr<OutboundConnection> connection;
    bool isCalling = false;
    bool wasWritten = false;
    int status = 0;
};

} // namespace foxtailtally
