#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

struct GatewayContext;

/** Limits the requests to cold servers of plain services by tokens, as if the servers had named a
 * rate limit. To be called when servers, the configuration or a server's cold time have changed. */
void updateColdLimits(GatewayContext &context, absl::Time now);

} // namespace foxtailtally
