#pragma once

#include <absl/time/time.h>
#include <algorithm>

namespace foxtailtally {

/** The phases of a graceful stop. */
class StopPolicy
{
public:
    /** Time for which a stopping instance still takes requests: the load balancer probes once a
     * second and removes an instance after two probes that are not ready. A request taken later
     * might be truncated when the process ends. */
    static constexpr absl::Duration kBalancerLag = absl::Milliseconds(2600);
    /** A stopping instance ends this long before it would be killed. */
    static constexpr absl::Duration kMargin = absl::Milliseconds(400);

    /** @p limit: time between the stop signal and the kill. */
    explicit StopPolicy(absl::Duration limit)
        : limit(limit)
    { }

    void begin(absl::Time now) { this->beganAt = std::min(this->beganAt, now); }
    bool isStopping() const { return this->beganAt != absl::InfiniteFuture(); }
    /** New requests are served; later ones are told to retry at once at another instance. */
    bool mayTakeRequests(absl::Time now) const { return now < this->beganAt + kBalancerLag; }
    /** Idle connections are closed. */
    bool closesIdle(absl::Time now) const { return !this->mayTakeRequests(now); }
    /** The process has to end even if requests are still running. */
    bool isOver(absl::Time now) const { return now >= this->beganAt + this->limit - kMargin; }

private:
    absl::Duration limit;
    absl::Time beganAt = absl::InfiniteFuture();
};

} // namespace foxtailtally
