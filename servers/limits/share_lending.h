#pragma once

#include "core/ids.h"

#include <absl/time/time.h>

namespace foxtailtally {

/**
 * Every instance owns an equal share of each rate limit of its failure domain's servers and lends
 * it to the aggregator that it follows, or to itself if it aggregates. An aggregator issues tokens
 * at the rate of the shares that are lent to it, so two instances that both aggregate never issue
 * more than the limit together.
 *
 * The aggregator uses a share for kTerm after it sent the message that the lender last echoed. The
 * lender received that message later, and waits for kReclaimDelay after it last heard the
 * aggregator before it lends the share to another one.
 */
class ShareLending
{
public:
    static constexpr absl::Duration kTerm = absl::Milliseconds(700);
    /** Longer than kTerm by the rate error of two clocks and some milliseconds of rounding. */
    static constexpr absl::Duration kReclaimDelay = absl::Milliseconds(800);

    /** An earlier process of this instance may have lent its share until @p startedAt. */
    ShareLending(InstanceId self, absl::Time startedAt)
        : self(std::move(self))
        , freeAt(startedAt + kReclaimDelay)
    { }

    /** This instance follows @p aggregator, which may be itself and was last heard at @p heardAt.
     */
    void update(const InstanceId &aggregator, absl::Time heardAt, absl::Time now);
    /** Whether the share is lent to the aggregator of the last update. */
    bool isLent() const { return this->isLentNow; }

private:
    InstanceId self;
    InstanceId borrower;
    bool isLentNow = false;
    /** When the share may be lent to another aggregator than the borrower. */
    absl::Time freeAt;
};

} // namespace foxtailtally
