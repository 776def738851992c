#include "servers/limits/cold_limit.h"

#include "servers/limits/token_claims.h"
#include "servers/limits/token_issuer.h"

#include <algorithm>

namespace foxtailtally {

double coldTokenRate(double coldPerSecond, double factor, double slack)
{
    // The requests of a second have tokens that were issued in that second or within the term of a
    // token before it; at its beginning a bucket may have been full.
    const absl::Duration issuedWithin =
        absl::Seconds(1) + TokenClaims::kTokenTerm + TokenIssuer::kBurstTime;
    const double bound = coldPerSecond * factor + slack;
    const double rate = (bound - TokenIssuer::kBurstTokens) / absl::ToDoubleSeconds(issuedWithin);
    return std::clamp(rate, 0.0, std::max(0.0, coldPerSecond));
}

} // namespace foxtailtally
