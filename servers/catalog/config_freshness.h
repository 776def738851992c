#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

/**
 * Until when calls with a key may be accepted. A key that was taken away may not be honoured longer
 * than the revocation bound after the store acknowledged the change, also when this instance has
 * lost the store. So the configuration counts only while it was confirmed as the newest within that
 * bound.
 */
class ConfigFreshness
{
public:
    /** Margin for calls that are on their way to a server when the bound ends. */
    static constexpr absl::Duration kMargin = absl::Milliseconds(400);
    /** Share of the bound after which the instance asks callers to use other instances. */
    static constexpr double kReadyShare = 0.55;

    explicit ConfigFreshness(absl::Duration revocationBound)
        : bound(revocationBound)
    { }

    /** The held configuration was the newest one at @p moment. */
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
