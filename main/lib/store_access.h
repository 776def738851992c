#pragma once

#include "peers/platform/platform_client.h"
#include "servers/configuration/store_call.h"

namespace foxtailtally {

/** Sends @p call to the platform and blocks until its reply or timeout. */
StoreReply performStoreCall(const PlatformClient &platform, const StoreCall &call);

} // namespace foxtailtally
