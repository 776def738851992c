#pragma once

#include <absl/time/time.h>
#include <algorithm>

namespace foxtailtally {

/** The steps of a planned stop. */
class StopPolicy
{
public:
    /** Time for which a stopping instance still takes requests: the balancer asks once a second and
     * takes an instance out after two answers. What is taken later might be cut at the end. */
    static constexpr absl::Duration kBalancerLag = absl::Milliseconds(2600);
    /** A stopping instance ends this long before it would be killed. */
    static constexpr absl::Duration kMargin = absl::Milliseconds(400);

    /** @p limit: time between the signal and the kill. */
    explicit StopPolicy(absl::Duration limit)
        : limit(limit)
    { }

    void begin(absl::Time now) { this->beganAt = std::min(this->beganAt, now); }
    bool isStopping() const { return this->beganAt != absl::InfiniteFuture(); }
    /** New requests may be served; later ones are told to come back at once, elsewhere. */
    bool mayTakeRequests(absl::Time now) const { return now < this->beganAt + kBalancerLag; }
    /** Connections without a request are closed. */
    bool closesIdle(absl::Time now) const { return !this->mayTakeRequests(now); }
    /** The process has to end, whatever still runs. */
    bool isOver(absl::Time now) const { return now >= this->beganAt + this->limit - kMargin; }

private:
    absl::Duration limit;
    absl::Time beganAt = absl::InfiniteFuture();
};

} // namespace foxtailtally
