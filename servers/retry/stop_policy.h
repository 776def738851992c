#pragma once

#include "servers/catalog/serving_config.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** What a call asks of the servers of its service. */
struct CallDemand
{
    /** Not null. */
    const Route *route = nullptr;
    /** Null if the configuration does not have the service. */
    const Service *service = nullptr;
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
};

/** Time from sending a call to a server to the end of the response, as far as it is known before.
 */
absl::Duration expectedCallTime(const CallDemand &demand);

/** The phases of a graceful stop. */
class StopPolicy
{
public:
    /** Time for which a stopping instance still takes requests: the load balancer probes once a
     * second and removes an instance after two probes that are not ready. */
    static constexpr absl::Duration kBalancerLag = absl::Milliseconds(2600);
    /** A stopping instance ends this long before it would be killed. */
    static constexpr absl::Duration kMargin = absl::Milliseconds(400);
    /** Time to write the last responses before the instance ends. */
    static constexpr absl::Duration kLastResponsesTime = absl::Milliseconds(250);
    /** Retry-After of a call that the instance refuses because it stops: other instances take it.
     */
    static constexpr absl::Duration kRetryAfter = absl::Milliseconds(200);

    /** @p limit: time between the stop signal and the kill. */
    explicit StopPolicy(absl::Duration limit)
        : limit(limit)
    { }

    void begin(absl::Time now);
    bool isStopping() const { return this->beganAt != absl::InfiniteFuture(); }
    /** New requests are served; later ones are told to retry at once at another instance. */
    bool mayTakeRequests(absl::Time now) const { return now < this->beganAt + kBalancerLag; }
    /** A call that is expected to take @p expected can still be sent to a server; later ones would
     * be cut off while the server is at work. */
    bool maySend(absl::Duration expected, absl::Time now) const;
    /** Idle connections are closed. */
    bool closesIdle(absl::Time now) const { return !this->mayTakeRequests(now); }
    /** Every open call has its response by then, and no new connection is accepted. */
    absl::Time answersBy() const { return this->endsAt() - kLastResponsesTime; }
    /** The process ends by then even if connections are open. */
    absl::Time endsAt() const { return this->beganAt + this->limit - kMargin; }

private:
    absl::Duration limit;
    absl::Time beganAt = absl::InfiniteFuture();
};

} // namespace foxtailtally
