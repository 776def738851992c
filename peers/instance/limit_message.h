#pragma once

#include "core/result.h"
#include "servers/limits/rate_limiter.h"

#include <absl/time/time.h>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** Whether a datagram between instances is about rate limits. */
bool isLimitDatagram(std::span<const char> bytes);

/** Datagrams of at most kMaxDatagram bytes that carry the messages of @p envelope; times are sent
 * as ages. */
std::vector<std::string> encodeLimitEnvelope(const LimitEnvelope &envelope, absl::Time now);

/** Decodes a datagram; ages become times before @p now. The address of the result is empty. */
Result<LimitEnvelope> decodeLimitEnvelope(std::span<const char> bytes, absl::Time now);

} // namespace foxtailtally
