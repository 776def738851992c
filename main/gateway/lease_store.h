#pragma once

#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"
#include "servers/leadership/leader_election.h"

#include <absl/time/time.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct event_base;

namespace foxtailtally {

/** Carries out the calls of a LeaderElection to the store, one at a time, and reports their
 * outcomes to it. */
class LeaseStore final : private OutboundEvents, private IdleEvents
{
public:
    /** @p onDone is called from the loop after each outcome. */
    LeaseStore(event_base *base, const std::string &storeAddress, LeaderElection &election,
               std::function<void()> onDone);

    bool hasCall() const { return this->isCalling; }
    void read(absl::Time now);
    void write(const WriteLease &write, absl::Time now);

private:
    void send(std::string_view method, const std::string &target, std::string_view body,
              absl::Time now);
    void onResponseHead(OutboundConnection &connection, const ResponseHead &head) override;
    void onResponseBody(OutboundConnection &connection, std::string_view data) override;
    void onResponseComplete(OutboundConnection &connection) override;
    void onCallFailed(OutboundConnection &connection, std::error_code error) override;
    void onIdleClosed(OutboundConnection &connection) override;
    void onTimeout();

    /** Report the outcome of the call to the election. */
    void endRead(absl::Time now);
    void endWrite(absl::Time now);
    /** There is no response. @p wasSent: the store may have received the call. */
    void endWithoutAnswer(bool wasSent, absl::Time now);
    void finish();

    event_base *base;
    std::string storeAddress;
    LeaderElection &election;
    LoopTimer timeout;
    /** Calls onDone after the callback of the connection, which may be replaced then. */
    LoopTimer doneTimer;
    std::unique_ptr<OutboundConnection> connection;
    absl::Time lastAnswerAt = absl::InfinitePast();
    bool isCalling = false;
    bool isWrite = false;
    int status = 0;
    /** Era of the response; empty if the response names it in a form that cannot be read. */
    std::optional<std::int64_t> era;
    std::string body;
};

} // namespace foxtailtally
