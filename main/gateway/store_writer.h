#pragma once

#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"

#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace foxtailtally {

class StoreWriterEvents
{
public:
    virtual ~StoreWriterEvents() = default;
    /** The store has responded with @p status. */
    virtual void onStoreAnswer(int status) = 0;
    /** No response arrived; the call may have been executed. */
    virtual void onNoStoreAnswer(std::string_view cause) = 0;
};

/** Changes objects in the store, one call at a time. */
class StoreWriter final : private OutboundEvents, private IdleEvents
{
public:
    StoreWriter(event_base *base, const std::string &storeAddress, StoreWriterEvents &events);

    /** @p body may be empty. */
    void send(std::string_view method, std::string_view target, std::string_view body);

private:
    void onResponseHead(OutboundConnection &connection, const ResponseHead &head) override;
    void onResponseBody(OutboundConnection &connection, std::string_view data) override;
    void onResponseComplete(OutboundConnection &connection) override;
    void onCallFailed(OutboundConnection &connection, std::error_code error) override;
    void onIdleClosed(OutboundConnection &connection) override;

    event_base *base;
    std::string storeAddress;
    StoreWriterEvents &events;
    LoopTimer timeout;
    std::unique_ptr<OutboundConnection> connection;
    int status = 0;
};

} // namespace foxtailtally
