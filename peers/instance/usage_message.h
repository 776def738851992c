#pragma once

#include "core/result.h"
#include "servers/usage/usage_envelope.h"

#include <absl/time/time.h>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** Whether a datagram between instances is about usage. */
bool isUsageDatagram(std::span<const char> bytes);

/** Datagrams of at most kMaxDatagram bytes with the content of @p envelope; a row that is too long
 * for one is divided. Times are sent as ages. */
std::vector<std::string> encodeUsageEnvelope(const UsageEnvelope &envelope, absl::Time now);

/** Decodes a datagram; ages become times before @p now. */
Result<UsageEnvelope> decodeUsageEnvelope(std::span<const char> bytes, absl::Time now);

} // namespace foxtailtally
