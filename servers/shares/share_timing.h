#pragma once

#include "core/result.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** Time for which a borrower may use a loan, counted from the request that the loan answers. */
constexpr absl::Duration kLoanTerm = absl::Seconds(6);
/** Interval between a borrower's requests to a lender that responds. */
constexpr absl::Duration kLoanRenewal = absl::Seconds(2);
/** Interval between requests to a lender that has not responded. */
constexpr absl::Duration kLoanRetry = absl::Milliseconds(500);
/**
 * Time a lender adds to the term before it reuses a share. Two clocks that each differ from real
 * time by 1% need 0.13 s of it; the rest covers a pause of the borrower between reading the clock
 * and sending a grant, in addition to the start-by time after which a grant is void.
 */
constexpr absl::Duration kLoanReuseMargin = absl::Seconds(2);
/** Time within which a granted permit must be started, as measured by the entry instance. */
constexpr absl::Duration kPermitStartBy = absl::Seconds(1);
/**
 * Bound on the clock rate error plus the time to reach the engine, for a permit that is started at
 * the last moment.
 */
constexpr absl::Duration kPermitStartMargin = absl::Seconds(1);
/** Bound on the age of an engine's load report when it is received. */
constexpr absl::Duration kLoadReportLag = absl::Seconds(3);

/** Bound on the time for which a live instance may be missing from the platform's list. */
constexpr absl::Duration kInstanceListLag = absl::Seconds(10);

/** Times of the loan protocol. All instances of a domain use the same values. */
struct ShareTiming
{
    absl::Duration term = kLoanTerm;
    absl::Duration renewal = kLoanRenewal;
    absl::Duration retry = kLoanRetry;
    absl::Duration reuseMargin = kLoanReuseMargin;
    /** Time after the end of a right to grant within which its last permits reach the engine. */
    absl::Duration startBound = kPermitStartBy + kPermitStartMargin;
    absl::Duration reportLag = kLoadReportLag;
    absl::Duration listLag = kInstanceListLag;

    /** Time after which a lender may reuse a share that it has lent. */
    absl::Duration reuseAfter() const { return this->term + this->reuseMargin; }
};

/** Builds a checked ShareTiming. */
class ShareTimingBuilder
{
public:
    ShareTimingBuilder &setTerm(absl::Duration term);
    ShareTimingBuilder &setRenewal(absl::Duration renewal);
    ShareTimingBuilder &setRetry(absl::Duration retry);
    ShareTimingBuilder &setReuseMargin(absl::Duration reuseMargin);
    ShareTimingBuilder &setStartBound(absl::Duration startBound);
    ShareTimingBuilder &setReportLag(absl::Duration reportLag);
    ShareTimingBuilder &setListLag(absl::Duration listLag);

    /**
     * Error::SettingsInvalid unless the renewal is below half of the term and the reuse margin
     * covers at least 3% of the term (two clocks with 1% rate error and rounding).
     */
    Result<ShareTiming> build() const;

private:
    ShareTiming timing;
};

} // namespace foxtailtally
