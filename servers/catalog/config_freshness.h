#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

/**
 * Decides whether calls with a key may be accepted. A revoked key must not be accepted for longer
 * than the revocation bound after the store acknowledged the change, even if this instance has lost
 * the store. So keys are accepted only if the configuration was confirmed to be the newest within
 * that bound.
 */
class ConfigFreshness
{
public:
    /** Margin for calls that are being forwarded to a server when the bound ends. */
    static constexpr absl::Duration kMargin = absl::Milliseconds(400);
    /** Share of the bound after which the instance is not ready, so that callers use others. */
    static constexpr double kReadyShare = 0.55;

    explicit ConfigFreshness(absl::Duration revocationBound)
        : bound(revocationBound)
    { }

    /** The configuration of this instance was the newest one at @p moment. */
    void confirm(absl::Time moment)
    {
        if (moment > this->confirmedAt)
            this->confirmedAt = moment;
    }
    bool mayAcceptKeys(absl::Time now) const { return this->age(now) < this->bound - kMargin; }
    bool isReady(absl::Time now) const { return this->age(now) < this->bound * kReadyShare; }
    absl::Duration age(absl::Time now) const { return now - this->confirmedAt; }

private:
    absl::Duration bound;
    absl::Time confirmedAt = absl::InfinitePast();
};

} // namespace foxtailtally
